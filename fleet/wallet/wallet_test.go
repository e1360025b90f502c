package wallet

import (
	"context"
	"errors"
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
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// TestHistories spends from four hosts while the log, the hosts and the loans
// between them fail in random ways, and checks after each step that no more is
// spent than was prepaid.
func TestHistories(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	f := newFleet(t, 4, 400_000, seed)
	defer f.stopAll()
	f.loseLoans = 0.1
	for step := range 1500 {
		f.randomStep(seed, step)
		time.Sleep(time.Duration(f.draw() * float64(40*time.Millisecond)))
		spent, prepaid := f.balance()
		require.LessOrEqual(t, spent, prepaid, "step %d", step)
		for _, h := range f.hosts {
			require.Zero(t, h.wallet.Load().difference(), "step %d", step)
		}
	}
	spent, _ := f.balance()
	require.Greater(t, spent, record.Tokens(100_000), "the fleet serves")
}

func (f *fleet) randomStep(seed uint64, step int) {
	h := f.hosts[int(f.draw()*float64(len(f.hosts)))]
	switch draw := f.draw(); {
	case draw < 0.01:
		h.link.Set(randomFaults(f))
	case draw < 0.02:
		h.link.Set(memkeyed.Faults{})
	case draw < 0.023: // killed, and started anew
		h.stop()
		h.start(seed*1000 + uint64(step))
	case draw < 0.026: // stopped gracefully
		h.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = h.wallet.Load().Close(ctx) // the log may be away
		cancel()
		h.start(seed*1000 + uint64(step))
	case draw < 0.03:
		h.cut.Store(!h.cut.Load())
	case draw < 0.032:
		_, prepaid := f.balance()
		f.setPrepaid(prepaid + 20_000)
	case draw < 0.035:
		f.log.Compact(testStream)
	default:
		bound := record.Tokens(200 + f.draw()*6000)
		cost := record.Tokens(float64(bound) * f.draw())
		go func() { _ = h.spend(bound, cost, 300*time.Millisecond) }()
	}
}

func randomFaults(f *fleet) memkeyed.Faults {
	switch int(f.draw() * 6) {
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
	return memkeyed.Faults{Late: 0.5, LateBy: time.Duration(f.draw() * float64(5*time.Second))}
}

// TestBudgetIsServedToItsEnd spends all of a budget with the log in reach: no
// request is refused while more than 3 in 100 are neither spent nor reserved.
func TestBudgetIsServedToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prepaid = 1_000_000
		f := newFleet(t, 8, prepaid, 7)
		defer f.stopAll()
		time.Sleep(time.Second)
		refused := 0
		for step := 0; refused < 50 && step < 3000; step++ {
			h := f.hosts[step%len(f.hosts)]
			bound := record.Tokens(500 + f.draw()*9000)
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

// TestOutageIsCovered takes the log away for 9 s early in a budget. Requests go on
// from what the hosts hold.
func TestOutageIsCovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prepaid, perSecond = 3_000_000, 60_000
		f := newFleet(t, 8, prepaid, 11)
		defer f.stopAll()
		serve := func(d time.Duration) (served, refused int) {
			for range int(d / (50 * time.Millisecond)) {
				h := f.hosts[int(f.draw()*8)]
				if h.spend(perSecond/20, perSecond/20, time.Millisecond) != nil {
					refused++
				} else {
					served++
				}
				time.Sleep(50 * time.Millisecond)
			}
			return served, refused
		}
		time.Sleep(time.Second)
		_, refused := serve(8 * time.Second)
		require.Zero(t, refused)
		for _, h := range f.hosts {
			h.link.Set(memkeyed.Faults{Silent: true})
		}
		_, refused = serve(9 * time.Second)
		require.Zero(t, refused, "in the outage")
		for _, h := range f.hosts {
			h.link.Set(memkeyed.Faults{})
		}
		_, refused = serve(5 * time.Second)
		require.Zero(t, refused, "after the outage")
	})
}

// TestPowerLossLateInABudgetStrandsLittle kills all hosts when a quarter of the
// budget is left, and counts what can't be spent any more.
func TestPowerLossLateInABudgetStrandsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prepaid = 2_000_000
		f := newFleet(t, 8, prepaid, 3)
		defer f.stopAll()
		time.Sleep(time.Second)
		for step := 0; ; step++ {
			if spent, _ := f.balance(); spent > prepaid*80/100 {
				break
			}
			require.NoError(t, f.hosts[step%8].spend(4000, 4000, time.Millisecond))
			time.Sleep(50 * time.Millisecond)
		}
		for i, h := range f.hosts {
			h.stop()
			h.start(100 + uint64(i))
		}
		time.Sleep(time.Second)
		for step := 0; ; step++ {
			if f.hosts[step%8].spend(4000, 4000, time.Millisecond) != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		spent, _ := f.balance()
		require.Greater(t, float64(spent), 0.95*prepaid)
	})
}

// TestLateClaimOfAnEndedRunIsHarmless lets a claim take effect after the run that
// made it has been replaced: nobody spends it.
func TestLateClaimOfAnEndedRunIsHarmless(t *testing.T) {
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

// TestCutBudgetIsNotSpentOn lowers a budget below what is spent: no host spends on
// from what it holds.
func TestCutBudgetIsNotSpentOn(t *testing.T) {
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

// TestOneHostClaimsForThoseThatAreCutOff takes the log away from all hosts but one
// for far longer than they hold cover.
func TestOneHostClaimsForThoseThatAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2_000_000, 13)
		defer f.stopAll()
		time.Sleep(time.Second)
		for _, h := range f.hosts[1:] {
			h.link.Set(memkeyed.Faults{Silent: true})
		}
		for step := range 600 {
			require.NoError(t, f.hosts[step%4].spend(3000, 3000, time.Millisecond), "step %d", step)
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestNoLockIsHeldWhileHostsAreCounted counts hosts by a function that asks the wallet
// itself, as one does that holds the lock of the list of hosts.
func TestNoLockIsHeldWhileHostsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 100_000, 31)
		defer f.stopAll()
		f.hosts[0].counting = func() { f.hosts[0].wallet.Load().Isolated() }
		f.hosts[0].stop()
		f.hosts[0].start(32)
		time.Sleep(time.Second)
		require.NoError(t, f.hosts[0].spend(1000, 1000, time.Millisecond))
	})
}

// TestSpentBudgetIsRefusedAtOnce asks for more than is left of a budget, with the
// log in reach. The answer is final: it is no outage, and takes a look at the log
// and at the other hosts.
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

// TestOutageEndsForASpentBudget takes the log away and back when no host has a
// wish for more: an outage that is over is not given as the reason.
func TestOutageEndsForASpentBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 20_000, 19)
		defer f.stopAll()
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			for h.spend(1000, 1000, time.Millisecond) == nil {
				time.Sleep(10 * time.Millisecond)
			}
			h.link.Set(memkeyed.Faults{Unavailable: true})
		}
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			_ = h.spend(5000, 5000, time.Millisecond) // notices the outage
			h.link.Set(memkeyed.Faults{})
		}
		time.Sleep(2 * time.Second)
		for _, h := range f.hosts {
			var refused *grants.RefusedError
			require.True(t, errors.As(h.spend(5000, 5000, time.Millisecond), &refused))
			require.False(t, refused.Unreachable)
			require.False(t, h.wallet.Load().Isolated())
		}
	})
}

// TestBorrowerKeepsWhatItHas lets a second request come while the first borrows
// what is missing to it: the second borrows, too, and doesn't take from the first.
func TestBorrowerKeepsWhatItHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2_000_000, 23)
		defer f.stopAll()
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			h.link.Set(memkeyed.Faults{Unavailable: true})
		}
		time.Sleep(time.Second)
		h := f.hosts[0]
		h.slowLoans = 20 * time.Millisecond
		wallet := h.wallet.Load()
		wallet.mu.Lock()
		free := wallet.purse(testBudget).Free
		wallet.mu.Unlock()
		require.Greater(t, free, record.Tokens(1000))
		errs := make(chan error, 2)
		go func() { errs <- h.spend(free+1000, free, time.Second) }()
		time.Sleep(10 * time.Millisecond)
		go func() { errs <- h.spend(free, free, time.Second) }()
		require.NoError(t, <-errs)
		require.NoError(t, <-errs)
	})
}

// TestSecondPowerLossStrandsLittle kills all hosts twice in the middle of a budget.
// The first loss strands the cover for a long outage. After it hosts hold cover for a
// short one, so that the second strands no more than that.
func TestSecondPowerLossStrandsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prepaid, perRequest, perSecond = 2_000_000, 4000, 40_000
		f := newFleet(t, 8, prepaid, 29)
		defer f.stopAll()
		spend := func(d time.Duration) {
			for step := range int(d.Seconds() * perSecond / perRequest) {
				_ = f.hosts[step%8].spend(perRequest, perRequest, time.Millisecond) // some are refused after the loss
				time.Sleep(time.Second * perRequest / perSecond)
			}
		}
		powerLoss := func(run uint64) {
			for i, h := range f.hosts {
				h.stop()
				h.start(run + uint64(i))
			}
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		spend(10 * time.Second)
		powerLoss(100)
		spend(10 * time.Second)
		powerLoss(200)
		for step := 0; ; step++ {
			if f.hosts[step%8].spend(perRequest, perRequest, time.Millisecond) != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		last, _ := f.balance()
		const long, short = 10 * perSecond, 3 * perSecond
		// Callers are owed nothing of the last 3 in 100.
		require.Greater(t, float64(last), 0.97*prepaid-long-short)
	})
}

// TestClaimsKeepToTheSharedLimit spends from 20 hosts whose parts of the budget are too
// small to hold any ahead: each request needs a claim of its own.
func TestClaimsKeepToTheSharedLimit(t *testing.T) {
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

// countingLog notes how many calls are under way at once.
type countingLog struct {
	platform.KeyedLog
	now, most atomic.Int64
}

func (c *countingLog) begin() func() {
	if n := c.now.Add(1); n > c.most.Load() {
		c.most.Store(n)
	}
	time.Sleep(5 * time.Millisecond)
	return func() { c.now.Add(-1) }
}

func (c *countingLog) Put(ctx context.Context, stream string, w platform.Writer, records []platform.KeyedRecord) (record.Offset, error) {
	defer c.begin()()
	return c.KeyedLog.Put(ctx, stream, w, records)
}

func (c *countingLog) Follow(ctx context.Context, stream string, from record.Offset, wait time.Duration) ([]platform.KeyedRecord, record.Offset, error) {
	defer c.begin()()
	return c.KeyedLog.Follow(ctx, stream, from, wait)
}

// TestRoundsDoNotOverlap closes a wallet while it claims, as a host does that stops. Two
// rounds at once would each take the other's write for its own.
func TestRoundsDoNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 400_000, 1)
		defer f.stopAll()
		log := &countingLog{KeyedLog: f.hosts[0].link}
		w := New(Options{
			Host: "h1", Log: log, Stream: testStream, Hosts: func() int { return 1 },
			Policy: escrow.DefaultPolicy(), Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
		})
		w.SetTable(f.table())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = w.Run(ctx) }()
		for range 20 {
			go func() {
				if res, err := w.Reserve(ctx, testBudget, 0, 15_000, 500*time.Millisecond); err == nil {
					time.Sleep(20 * time.Millisecond)
					res.Settle(100)
				}
			}()
			time.Sleep(7 * time.Millisecond)
		}
		closing, done := context.WithTimeout(ctx, 5*time.Second)
		require.NoError(t, w.Close(closing))
		done()
		cancel()
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(1), log.most.Load())
	})
}
