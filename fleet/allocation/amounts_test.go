package allocation

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants"
)

// fixedLoan answers each request for a loan with the same amount.
type fixedLoan record.Tokens

// Borrow implements Borrower.
func (l fixedLoan) Borrow(context.Context, record.BudgetID, record.Tokens) record.Tokens {
	return record.Tokens(l)
}

// TestAmountsThatAreNeverValidChangeNothing guards against an amount below zero, or above any budget,
// that reaches the allocations from a request or from another host.
func TestAmountsThatAreNeverValidChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 60_000, 1)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		m := f.hosts[0].manager.Load()
		for _, amount := range []record.Tokens{-1, math.MinInt64, math.MinInt64 + 9189, record.MaxTokens + 1, math.MaxInt64} {
			_, err := m.Reserve(t.Context(), testBudget, 0, amount, 100*time.Millisecond)
			var refused *grants.RefusedError
			require.ErrorAs(t, err, &refused, amount)
			require.False(t, refused.Unreachable)
			require.LessOrEqual(t, m.Lend(t.Context(), testBudget, min(amount, 0)), record.Tokens(0))
		}
		lent := m.Lend(t.Context(), testBudget, math.MaxInt64)
		require.True(t, lent >= 0 && lent <= 60_000, "lent %d", lent)
		time.Sleep(time.Second)
		require.Zero(t, m.difference())
	})
}

// TestLoanOutOfRangeIsLimited guards against a host that states a loan which nobody has asked for.
func TestLoanOutOfRangeIsLimited(t *testing.T) {
	for _, lent := range []record.Tokens{-5_000, math.MinInt64, 1 << 40, math.MaxInt64} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 60_000, 1)
			defer f.stopAll()
			m := New(Options{
				Host: "h9", Log: f.log.Link(9), Stream: testStream, Fleet: f.hosts[0].fleet, Borrower: fixedLoan(lent),
				Policy: escrow.DefaultPolicy(), Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
			})
			m.SetTable(f.table())
			// Nothing was read from the log, so that all is borrowed.
			res, err := m.Reserve(t.Context(), testBudget, 0, 640, 100*time.Millisecond)
			require.Equal(t, lent > 0, err == nil, "%v", err)
			if res != nil {
				res.Settle(640)
			}
			_, _ = m.Reserve(t.Context(), testBudget, 0, 640, 100*time.Millisecond)
			require.Zero(t, m.difference())
			m.mu.Lock()
			defer m.mu.Unlock()
			require.Zero(t, m.allocation(testBudget).Free)
		})
	}
}
