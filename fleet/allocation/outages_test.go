package allocation

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// TestRequestsAreServedInLogOutage makes the log unreachable for 9 s early in a budget.
// Requests are served from the hosts' allocations.
func TestRequestsAreServedInLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prepaid, perSecond = 3_000_000, 60_000
		f := newFleet(t, 8, prepaid, 11)
		defer f.stopAll()
		serve := func(d time.Duration) (served, refused int) {
			for range int(d / (50 * time.Millisecond)) {
				h := f.hosts[int(f.random()*8)]
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

// TestPowerLossLateInABudgetStrandsLittle kills all hosts when 80% of the budget is spent,
// and checks how much of the rest can no longer be spent.
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

// TestHostWithLogAccessClaimsForOthers makes the log unreachable for all hosts but one,
// for much longer than their outage cover lasts.
func TestHostWithLogAccessClaimsForOthers(t *testing.T) {
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

// TestEndOfOutageIsNoticedWithSpentBudget starts and ends a log outage while no host has
// anything to claim. An outage that is over must not be given as the reason.
func TestEndOfOutageIsNoticedWithSpentBudget(t *testing.T) {
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
			require.False(t, h.manager.Load().Isolated())
		}
	})
}

// TestSecondPowerLossStrandsLittle kills all hosts twice in the middle of a budget. The
// first power loss strands the cover for a long outage. After it, hosts keep cover for a
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
		// Callers are owed no service from the last 3% of a budget.
		require.Greater(t, float64(last), 0.97*prepaid-long-short)
	})
}

// In an outage, hosts that are all short of tokens must not take each other's last parts:
// spread over the hosts in pieces smaller than a request, these serve nobody.
func TestHostWithoutTheLogLendsAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1_000_000, 61)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		lender := f.hosts[0].manager.Load()
		f.hosts[0].link.Set(memkeyed.Faults{Unavailable: true})
		require.Error(t, f.hosts[0].spend(900_000, 0, time.Millisecond)) // notices the outage
		held := lender.allocationOf(testBudget).Free
		require.Greater(t, held, record.Tokens(10_000))
		require.Zero(t, lender.Lend(t.Context(), testBudget, held+1))
		require.Equal(t, held, lender.allocationOf(testBudget).Free)
		require.Equal(t, held-500, lender.Lend(t.Context(), testBudget, held-500))

		f.hosts[0].link.Set(memkeyed.Faults{})
		time.Sleep(3 * time.Second)
		require.Positive(t, lender.Lend(t.Context(), testBudget, 2_000_000), "the rest of the budget, with the log")
	})
}
