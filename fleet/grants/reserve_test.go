package grants

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

const mill record.BudgetID = "mb/mill"

func TestReserveSettleAndClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 4, memlog.Options{}, mill)
		defer f.stop()
		h := f.hosts[0]
		require.Equal(t, record.Tokens(10_000), f.topUp(h, mill, "t1", 10_000).Amount)
		require.False(t, f.topUp(h, mill, "t1", 10_000).Applied, "a top-up counts once")

		r, err := h.grants.Reserve(t.Context(), mill, 1, 300, time.Second)
		require.NoError(t, err)
		r.Settle(120)
		r.Settle(200)
		r.Release()
		time.Sleep(3 * time.Second)
		state := f.budget(mill)
		require.Equal(t, record.Tokens(120), state.Settled)
		require.Positive(t, state.Granted)

		require.NoError(t, h.grants.Close(t.Context()))
		state = f.budget(mill)
		require.Zero(t, state.Granted, "a graceful stop returns every grant")
		require.Equal(t, record.Tokens(9_880), state.Available)
		_, err = h.grants.Reserve(t.Context(), mill, 2, 1, time.Second)
		require.ErrorIs(t, err, ErrClosed)
	})
}

func TestSpentBudgetIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, memlog.Options{}, mill)
		defer f.stop()
		f.topUp(f.hosts[0], mill, "t1", 1000)
		for i := range 2 {
			r, err := f.hosts[i].grants.Reserve(t.Context(), mill, record.RequestKey(i), 500, time.Second)
			require.NoError(t, err)
			r.Settle(500)
		}
		start := time.Now()
		_, err := f.hosts[0].grants.Reserve(t.Context(), mill, 3, 1, 5*time.Second)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.False(t, refused.Unreachable)
		require.Less(t, time.Since(start), 3*time.Second)
		f.topUp(f.hosts[1], mill, "t2", 100)
		time.Sleep(spentRefusalTime)
		_, err = f.hosts[0].grants.Reserve(t.Context(), mill, 3, 100, time.Second)
		require.NoError(t, err, "a top-up takes effect at once")
	})
}

func TestRecallMovesUnusedGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 1, memlog.Options{}, mill)
		defer f.stop()
		f.topUp(f.hosts[0], mill, "t1", 5000)
		for i, h := range f.hosts {
			r, err := h.grants.Reserve(t.Context(), mill, record.RequestKey(i), 10, time.Second)
			require.NoError(t, err)
			r.Release()
		}
		r, err := f.hosts[3].grants.Reserve(t.Context(), mill, 100, 5000, time.Second)
		require.NoError(t, err, "unused grants of other hosts are recalled")
		r.Settle(5000)
		time.Sleep(3 * time.Second)
		require.Equal(t, record.Tokens(5000), f.budget(mill).Settled)
	})
}
