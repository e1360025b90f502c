package allocation

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// TestRandomFaultsDoNotOverspend spends from four hosts while the log, the hosts and the
// loans between them fail at random. After each step, no more may be spent than was
// prepaid.
func TestRandomFaultsDoNotOverspend(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	f := newFleet(t, 4, 400_000, seed)
	defer f.stopAll()
	f.lostLoanShare = 0.1
	for step := range 1500 {
		f.randomStep(seed, step)
		time.Sleep(time.Duration(f.random() * float64(40*time.Millisecond)))
		spent, prepaid := f.balance()
		require.LessOrEqual(t, spent, prepaid, "step %d", step)
		for _, h := range f.hosts {
			require.Zero(t, h.manager.Load().difference(), "step %d", step)
		}
	}
	spent, _ := f.balance()
	require.Greater(t, spent, record.Tokens(100_000), "the fleet serves")
}

func (f *fleet) randomStep(seed uint64, step int) {
	h := f.hosts[int(f.random()*float64(len(f.hosts)))]
	switch draw := f.random(); {
	case draw < 0.01:
		h.link.Set(randomFaults(f))
	case draw < 0.02:
		h.link.Set(memkeyed.Faults{})
	case draw < 0.023: // killed and restarted
		h.stop()
		h.start(seed*1000 + uint64(step))
	case draw < 0.026: // stopped gracefully and restarted
		h.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = h.manager.Load().Close(ctx) // the log may be unreachable
		cancel()
		h.start(seed*1000 + uint64(step))
	case draw < 0.03:
		h.partitioned.Store(!h.partitioned.Load())
	case draw < 0.032:
		_, prepaid := f.balance()
		f.setPrepaid(prepaid + 20_000)
	case draw < 0.035:
		f.log.Compact(testStream)
	default:
		bound := record.Tokens(200 + f.random()*6000)
		cost := record.Tokens(float64(bound) * f.random())
		go func() { _ = h.spend(bound, cost, 300*time.Millisecond) }()
	}
}

func randomFaults(f *fleet) memkeyed.Faults {
	switch int(f.random() * 6) {
	case 0:
		return memkeyed.Faults{Unavailable: true}
	case 1:
		return memkeyed.Faults{Silent: true}
	case 2:
		return memkeyed.Faults{Throttled: true}
	case 3:
		return memkeyed.Faults{Slow: 60}
	case 4:
		return memkeyed.Faults{LoseAnswer: 0.5}
	}
	return memkeyed.Faults{Late: 0.5, LateBy: time.Duration(f.random() * float64(5*time.Second))}
}

// TestNoRefusalBeforeBudgetIsSpent spends a whole budget while the log is reachable. No
// request may be refused while more than 3% of the budget is neither spent nor reserved.
func TestNoRefusalBeforeBudgetIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prepaid = 1_000_000
		f := newFleet(t, 8, prepaid, 7)
		defer f.stopAll()
		time.Sleep(time.Second)
		refused := 0
		for step := 0; refused < 50 && step < 3000; step++ {
			h := f.hosts[step%len(f.hosts)]
			bound := record.Tokens(500 + f.random()*9000)
			err := h.spend(bound, bound*9/10, 200*time.Millisecond)
			if err != nil {
				refused++
				spent, _ := f.balance()
				require.Greater(t, float64(spent+bound), 0.97*prepaid, "refused too soon: %v", err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, 50, refused)
	})
}

// TestLateClaimOfEndedRunIsNotSpent delays a claim until a new run has replaced the one
// that wrote it. Nobody may spend it.
func TestLateClaimOfEndedRunIsNotSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 100_000, 5)
		defer f.stopAll()
		h := f.hosts[0]
		time.Sleep(time.Second)
		h.link.Set(memkeyed.Faults{Late: 1, LateBy: 3 * time.Second})
		require.Error(t, h.spend(40_000, 40_000, time.Millisecond), "the claim gets no answer")
		h.stop()
		h.start(2)
		for range 40 {
			_ = h.spend(10_000, 10_000, time.Millisecond)
			time.Sleep(250 * time.Millisecond)
			spent, prepaid := f.balance()
			require.LessOrEqual(t, spent, prepaid)
		}
		spent, _ := f.balance()
		require.Greater(t, spent, record.Tokens(50_000))
	})
}

// TestNothingIsSpentAfterBudgetCut cuts a budget below the amount already spent. No host
// may go on spending from its allocation.
func TestNothingIsSpentAfterBudgetCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 1_000_000, 9)
		defer f.stopAll()
		time.Sleep(time.Second)
		for step := range 100 {
			require.NoError(t, f.hosts[step%4].spend(5000, 3000, 500*time.Millisecond))
		}
		time.Sleep(time.Second)
		before, _ := f.balance()
		f.setPrepaid(200_000)
		for step := range 40 {
			err := f.hosts[step%4].spend(100, 100, time.Millisecond)
			var refused *grants.RefusedError
			require.True(t, errors.As(err, &refused), "step %d: %v", step, err)
		}
		after, _ := f.balance()
		require.Equal(t, before, after)
		f.setPrepaid(before + 10_000)
		time.Sleep(2 * time.Second)
		require.NoError(t, f.hosts[0].spend(9000, 9000, time.Millisecond), "a top-up is spent")
	})
}

// TestNoLockIsHeldWhileHostsAreCounted guards against a deadlock: the function that counts
// the hosts calls Isolated, as code does that holds the lock of the host list.
func TestNoLockIsHeldWhileHostsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 100_000, 31)
		defer f.stopAll()
		f.hosts[0].onHostCount = func() { f.hosts[0].manager.Load().Isolated() }
		f.hosts[0].stop()
		f.hosts[0].start(32)
		time.Sleep(time.Second)
		require.NoError(t, f.hosts[0].spend(1000, 1000, time.Millisecond))
	})
}

// TestSpentBudgetIsRefusedAtOnce asks for more than is left of a budget while the log is
// reachable. The refusal must not name an outage, and must come after one read of the log
// and one Borrow.
func TestSpentBudgetIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 100_000, 17)
		defer f.stopAll()
		time.Sleep(time.Second)
		for range 4 {
			for f.hosts[0].spend(5000, 5000, time.Millisecond) == nil {
				time.Sleep(10 * time.Millisecond)
			}
		}
		for step := range 40 {
			began := time.Now()
			err := f.hosts[step%4].spend(50_000, 50_000, time.Millisecond)
			var refused *grants.RefusedError
			require.True(t, errors.As(err, &refused), "step %d: %v", step, err)
			require.False(t, refused.Unreachable, "step %d", step)
			require.Less(t, time.Since(began), 50*time.Millisecond, "step %d", step)
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// TestConcurrentBorrowersKeepTheirReservations starts a second request while the first
// borrows what it lacks. The second must borrow too and not use the first one's part.
func TestConcurrentBorrowersKeepTheirReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2_000_000, 23)
		defer f.stopAll()
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			h.link.Set(memkeyed.Faults{Unavailable: true})
		}
		time.Sleep(time.Second)
		h := f.hosts[0]
		h.loanDelay = 20 * time.Millisecond
		manager := h.manager.Load()
		manager.mu.Lock()
		free := manager.allocation(testBudget).Free
		manager.mu.Unlock()
		require.Greater(t, free, record.Tokens(1000))
		errs := make(chan error, 2)
		go func() { errs <- h.spend(free+1000, free, time.Second) }()
		time.Sleep(10 * time.Millisecond)
		go func() { errs <- h.spend(free, free, time.Second) }()
		require.NoError(t, <-errs)
		require.NoError(t, <-errs)
	})
}

// TestClaimsStayWithinSharedLogLimit spends from 20 hosts whose shares of the budget are
// too small to claim ahead, so that each request needs its own claim. The claims must be
// collected into rounds, and no request may be refused.
func TestClaimsStayWithinSharedLogLimit(t *testing.T) {
	const hosts, length = 20, 4 * time.Second
	const spacing = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, 180_000, 7)
		defer f.stopAll()
		f.spacing.Store(int64(spacing))
		time.Sleep(2 * time.Second)
		before, start := f.writes(), time.Now()
		var served, asked atomic.Int64
		var wg sync.WaitGroup
		for _, h := range f.hosts {
			wg.Go(func() {
				for time.Since(start) < length {
					asked.Add(1)
					if h.spend(200, 200, 50*time.Millisecond) == nil {
						served.Add(1)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		rounds := int64(time.Since(start)/spacing) + 1
		require.LessOrEqual(t, f.writes()-before, hosts*rounds)
		require.Equal(t, asked.Load(), served.Load())
	})
}

// countingLog records the highest number of calls in flight at once.
type countingLog struct {
	platform.KeyedLog
	inFlight, maxInFlight atomic.Int64
}

func (c *countingLog) countCall() func() {
	if n := c.inFlight.Add(1); n > c.maxInFlight.Load() {
		c.maxInFlight.Store(n)
	}
	time.Sleep(5 * time.Millisecond)
	return func() { c.inFlight.Add(-1) }
}

func (c *countingLog) Put(ctx context.Context, stream string, w platform.Writer, records []platform.KeyedRecord) (platform.Position, error) {
	defer c.countCall()()
	return c.KeyedLog.Put(ctx, stream, w, records)
}

func (c *countingLog) Follow(ctx context.Context, stream string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	defer c.countCall()()
	return c.KeyedLog.Follow(ctx, stream, from, wait)
}

// TestRoundsDoNotOverlap closes a manager while it claims, as a stopping host does. Two
// rounds at once would each take the other's write for its own.
func TestRoundsDoNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 400_000, 1)
		defer f.stopAll()
		log := &countingLog{KeyedLog: f.hosts[0].link}
		m := New(Options{
			Host: "h1", Log: log, Stream: testStream, Fleet: func() Fleet { return Fleet{Hosts: 1, Serves: true, Settled: true} },
			Policy: escrow.DefaultPolicy(), Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
		})
		m.SetTable(f.table())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = m.Run(ctx) }()
		for range 20 {
			go func() {
				if res, err := m.Reserve(ctx, testBudget, 0, 15_000, 500*time.Millisecond); err == nil {
					time.Sleep(20 * time.Millisecond)
					res.Settle(100)
				}
			}()
			time.Sleep(7 * time.Millisecond)
		}
		closing, done := context.WithTimeout(ctx, 5*time.Second)
		require.NoError(t, m.Close(closing))
		done()
		cancel()
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(1), log.maxInFlight.Load())
	})
}

// Of 300 hosts with 40 budgets, callers are directed to a few. If the others claimed
// ahead too, they would write and read thousands of claims that no request needs.
func TestHostsWithoutCallersClaimOnlyWhatIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1_000_000, 41)
		defer f.stopAll()
		f.hosts[1].stop()
		f.hosts[1].backup = true
		f.hosts[1].start(42)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"acme/h0"}, f.claimKeys())
		require.NoError(t, f.hosts[1].spend(3000, 2000, time.Millisecond))
		require.Equal(t, []string{"acme/h0", "acme/h1"}, f.claimKeys())
		for range 100 {
			require.NoError(t, f.hosts[1].spend(3000, 2000, time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
		f.hosts[1].link.Set(memkeyed.Faults{Unavailable: true})
		f.hosts[0].partitioned.Store(true)
		for range 30 { // a budget that is used there is covered in an outage
			require.NoError(t, f.hosts[1].spend(3000, 2000, time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Hosts that start together first see a list with few of them. Their shares of a budget
// would then add up to a multiple of the budget.
func TestSharesWaitForTheListOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1_000_000, 43)
		defer f.stopAll()
		f.hosts[0].stop()
		f.log = memkeyed.New()
		f.unsettled.Store(true)
		f.hosts[0].start(44)
		time.Sleep(3 * time.Second)
		require.Empty(t, f.claimKeys())
		require.NoError(t, f.hosts[0].spend(3000, 1000, time.Millisecond), "a request is claimed for")
		require.Equal(t, record.Tokens(3000), f.claimTotal("h0"), "and no more")
		f.unsettled.Store(false)
		time.Sleep(measureInterval + 100*time.Millisecond)
		require.Greater(t, f.claimTotal("h0"), record.Tokens(100_000))
	})
}

// claimKeys returns the keys of all claims in the log.
func (f *fleet) claimKeys() []string {
	var keys []string
	for _, r := range f.log.Newest(testStream) {
		if !strings.HasPrefix(r.Key, "/") { // not a host record
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// claimTotal returns a host's claim in the log.
func (f *fleet) claimTotal(host record.HostID) record.Tokens {
	for _, r := range f.log.Newest(testStream) {
		if claim, _, err := escrow.Decode(r.Key, r.Value); err == nil && claim != nil && claim.Host == host {
			return claim.Total
		}
	}
	return 0
}

// allocationOf returns this host's allocation of a budget.
func (m *Manager) allocationOf(id record.BudgetID) escrow.Allocation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allocation(id).Allocation
}
