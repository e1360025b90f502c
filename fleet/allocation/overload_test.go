package allocation

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// countingBorrower counts the loans that are asked for. None is given, unless lends is set.
type countingBorrower struct {
	calls, now, most atomic.Int64
	lends            atomic.Bool
}

// Borrow implements Borrower.
func (b *countingBorrower) Borrow(ctx context.Context, _ record.BudgetID, amount record.Tokens) record.Tokens {
	b.calls.Add(1)
	if b.lends.Load() {
		return amount
	}
	n := b.now.Add(1)
	defer b.now.Add(-1)
	for {
		most := b.most.Load()
		if n <= most || b.most.CompareAndSwap(most, n) {
			break
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(200 * time.Millisecond):
	}
	return 0
}

// startSlowHost starts a host to which callers are not directed, with a log whose calls take
// latency. late is what the host's own timers say.
func startSlowHost(t *testing.T, latency time.Duration, late bool) (m *Manager, b *countingBorrower, stop func()) {
	t.Helper()
	f := &fleet{t: t, log: memkeyed.New(), prepaid: 30_000_000}
	f.log.Latency = latency
	link := f.log.Link(1)
	b = &countingBorrower{}
	ctx, cancel := context.WithCancel(context.Background())
	m = New(Options{
		Host: "small", Log: link, Stream: testStream, Borrower: b,
		Fleet:   func() Fleet { return Fleet{Hosts: 18, Settled: true} },
		Spacing: func() time.Duration { return 110 * time.Millisecond },
		Late:    func(time.Duration) bool { return late },
		Policy:  escrow.DefaultPolicy(), Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	})
	m.SetTable(f.table())
	go func() { _ = m.Run(ctx) }()
	time.Sleep(3 * time.Second)
	return m, b, func() {
		cancel()
		time.Sleep(20 * time.Second)
	}
}

// serve reserves for perSecond requests a second, each of which runs for 300 ms. It returns the
// number of requests that were refused.
func serve(m *Manager, perSecond int, d time.Duration) (refused int64) {
	var refusals atomic.Int64
	var all sync.WaitGroup
	for range int(d.Seconds() * float64(perSecond)) {
		all.Go(func() {
			res, err := m.Reserve(context.Background(), testBudget, 0, 3400, 500*time.Millisecond)
			if err != nil {
				refusals.Add(1)
				return
			}
			time.Sleep(300 * time.Millisecond)
			res.Settle(2000)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	all.Wait()
	return refusals.Load()
}

// A host whose own timers are late gets its claims late too. Loans would cost it more time than
// the requests themselves.
func TestLateHostWaitsForItsClaimsInsteadOfBorrowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, loans, stop := startSlowHost(t, 60*time.Millisecond, true)
		defer stop()
		require.Zero(t, serve(m, 170, 3*time.Second), "requests refused")
		require.Zero(t, loans.calls.Load(), "loans asked for")
	})
}

// The log answers all the while, each call in a part of the time after which it is overdue. Loans
// would be asked for in vain: the claims are under way.
func TestRequestsWaitForTheirClaimsWhileTheLogAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, loans, stop := startSlowHost(t, 70*time.Millisecond, false)
		defer stop()
		require.Zero(t, serve(m, 170, 3*time.Second), "requests refused")
		require.Zero(t, loans.calls.Load(), "loans asked for")
		require.False(t, m.Isolated())
	})
}

// The log answers, but so slowly that a claim takes longer than a request can wait. Others lend.
func TestRequestsBorrowWhileTheLogIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, loans, stop := startSlowHost(t, 170*time.Millisecond, false)
		defer stop()
		loans.lends.Store(true)
		require.Zero(t, serve(m, 50, 3*time.Second), "requests refused")
	})
}

// Each request that asks other hosts by itself makes a host that gets no loans do more work the
// more requests it has.
func TestRequestsThatNeedALoanDoNotAskAllAtOnce(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late=%v", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, loans, stop := startSlowHost(t, time.Second, late)
				defer stop()
				serve(m, 170, 3*time.Second)
				require.LessOrEqual(t, loans.most.Load(), int64(8), "loans at once")
			})
		})
	}
}

// A host that is late is not excused for ever: a cut from the log is found, and loans are asked for.
func TestCutFromTheLogIsFoundByALateHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, loans, stop := startSlowHost(t, 4*time.Millisecond, true)
		defer stop()
		require.Zero(t, serve(m, 50, time.Second))
		m.opt.Log.(*memkeyed.Link).Set(memkeyed.Faults{Silent: true})
		serve(m, 500, 4*time.Second)
		require.True(t, m.Isolated())
		require.Positive(t, loans.calls.Load())
	})
}
