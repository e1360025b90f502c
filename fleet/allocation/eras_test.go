package allocation

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// TestRandomRestoresDoNotOverspend plays random histories in which the log comes back from
// copies of up to some seconds ago, among deaths, cuts, lost answers and late writes.
func TestRandomRestoresDoNotOverspend(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomRestores(t, 1000+seed) })
		})
	}
}

func runRandomRestores(t *testing.T, seed uint64) {
	f := newFleet(t, 4, 400_000, seed)
	defer f.stopAll()
	f.lostLoanShare = 0.1
	time.Sleep(2 * time.Second) // each host has claimed for the first time
	copies := []*memkeyed.Copy{f.log.Copy()}
	copiedAt := time.Now()
	for step := range 700 {
		f.randomStep(seed, step)
		time.Sleep(time.Duration(f.random() * float64(40*time.Millisecond)))
		if time.Since(copiedAt) > 500*time.Millisecond {
			copies, copiedAt = append(copies, f.log.Copy()), time.Now()
			copies = copies[max(0, len(copies)-12):] // up to 6 s ago
		}
		if f.random() < 0.01 {
			f.log.Restore(copies[int(f.random()*float64(len(copies)))])
			f.killSome(seed, step)
		}
		spent, prepaid := f.balance()
		require.LessOrEqual(t, spent, prepaid, "step %d", step)
		for _, h := range f.hosts {
			require.Zero(t, h.manager.Load().difference(), "step %d", step)
		}
	}
}

// killSome kills and restarts each host with an even chance, before it has noticed the
// restored log.
func (f *fleet) killSome(seed uint64, step int) {
	for i, h := range f.hosts {
		if f.random() < 0.5 {
			h.stop()
			h.start(seed*1000 + uint64(step*10+i))
		}
	}
}

// The claims of the last seconds are gone with the restored log, and the hosts that made
// them spend on. Another host must not claim the same tokens again.
func TestLostClaimsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 400_000, 51)
		defer f.stopAll()
		before := f.log.Copy()
		time.Sleep(time.Second)
		for range 60 { // the first host claims most of the budget
			require.NoError(t, f.hosts[0].spend(5000, 5000, time.Millisecond))
			time.Sleep(20 * time.Millisecond)
		}
		claimed := f.claimTotal("h0")
		require.Greater(t, claimed, record.Tokens(250_000))
		f.log.Restore(before)
		require.Zero(t, f.claimTotal("h0"))
		time.Sleep(2 * time.Second)
		require.GreaterOrEqual(t, f.claimTotal("h0"), claimed, "written again without a request")
		for range 60 {
			_ = f.hosts[1].spend(5000, 5000, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		spent, prepaid := f.balance()
		require.LessOrEqual(t, spent, prepaid)
		require.Greater(t, spent, prepaid*9/10, "what is left is served")
	})
}

// A host is cut off from the log and the others when the log comes back from a copy that
// lacks its claims. It spends on, so the others must count what it may have claimed. Once
// it is back and has written its claims, they are exact.
func TestUnknownClaimsCountAtTheirMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 400_000, 53)
		defer f.stopAll()
		time.Sleep(time.Second)
		require.NoError(t, f.hosts[0].spend(5000, 5000, time.Millisecond))
		time.Sleep(time.Second)
		before := f.log.Copy()
		for range 20 {
			require.NoError(t, f.hosts[0].spend(5000, 5000, time.Millisecond))
			time.Sleep(50 * time.Millisecond)
		}
		cut := f.hosts[0]
		cut.link.Set(memkeyed.Faults{Silent: true})
		cut.partitioned.Store(true)
		f.log.Restore(before)
		time.Sleep(3 * time.Second)
		for range 100 {
			_ = f.hosts[1].spend(5000, 5000, time.Millisecond)
			_ = cut.spend(1000, 1000, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		spent, prepaid := f.balance()
		require.LessOrEqual(t, spent, prepaid)
		cut.link.Set(memkeyed.Faults{})
		cut.partitioned.Store(false)
		time.Sleep(4 * time.Second)
		for range 100 {
			_ = f.hosts[1].spend(5000, 5000, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		spent, prepaid = f.balance()
		require.LessOrEqual(t, spent, prepaid)
		require.Greater(t, spent, prepaid*9/10)
	})
}

// A write of the era before takes effect after the log was restored, with a sequence number
// that is given out again.
func TestLateWriteOfTheEraBeforeIsHarmless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 400_000, 57)
		defer f.stopAll()
		time.Sleep(time.Second)
		before := f.log.Copy()
		h := f.hosts[0]
		h.link.Set(memkeyed.Faults{Late: 1, LateBy: 3 * time.Second})
		for range 10 {
			_ = h.spend(9000, 9000, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		f.log.Restore(before)
		h.link.Set(memkeyed.Faults{})
		for range 800 {
			_ = h.spend(3000, 3000, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		spent, prepaid := f.balance()
		require.LessOrEqual(t, spent, prepaid)
		require.Greater(t, spent, prepaid*9/10)
		require.Zero(t, h.manager.Load().difference())
	})
}

// A host notices the restored log in the middle of a round, while it gives back a part of
// one of its budgets. The record that confirms the era must not be written without its other claims.
func TestEraIsConfirmedWithAllClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memkeyed.New()
		empty := log.Copy()
		m := New(Options{
			Host: "h1", Log: log.Link(1), Stream: testStream, Fleet: func() Fleet { return Fleet{Hosts: 1, Serves: true, Settled: true} },
			Policy: escrow.DefaultPolicy(), Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
		})
		accounts := &routes.Table{Version: 1, Accounts: []routes.Account{
			{Name: "a", Prepaid: 1_000_000, Metered: true}, {Name: "b", Prepaid: 1_000_000, Metered: true},
		}}
		m.SetTable(accounts.BuildIndexes())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = m.Run(ctx) }()
		time.Sleep(2 * time.Second)
		log.Restore(empty)
		accounts.Accounts[0].Prepaid = 500_000
		m.SetTable(accounts)
		time.Sleep(100 * time.Millisecond)
		keys := make(map[string]bool)
		for _, r := range log.Newest(testStream) {
			keys[r.Key] = true
		}
		require.Equal(t, map[string]bool{"/h1": true, "a/h1": true, "b/h1": true}, keys)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// The log comes back twice, first from a copy without the last claims of a run that has
// ended, then from a later copy that has some of them. The next run of the host, which has
// read the first copy, must not take them for its own: it can't know the rest.
func TestClaimsOfAnEarlierRunInALaterCopyStayUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 400_000, 61)
		defer f.stopAll()
		h, other := f.hosts[0], f.hosts[1]
		restart := func() {
			h.stop()
			h.start(67)
		}
		time.Sleep(time.Second)
		first := f.log.Copy()
		restart()
		spend := func(from *testHost, requests int) {
			for range requests {
				_ = from.spend(5000, 5000, time.Millisecond)
				time.Sleep(20 * time.Millisecond)
			}
		}
		spend(h, 5)
		later := f.log.Copy()
		spend(h, 35)
		f.log.Restore(first)
		restart()
		time.Sleep(6 * time.Millisecond) // the run has read the log and not yet written to it
		f.log.Restore(later)
		time.Sleep(2 * time.Second)
		spend(other, 100)
		spent, prepaid := f.balance()
		require.LessOrEqual(t, spent, prepaid)
	})
}
