package escrow

import (
	"time"

	"github.com/hazelworks/hazelworks/core/knownfault"
	"github.com/hazelworks/hazelworks/core/record"
)

// Policy sizes what a host holds of a budget. What all hosts hold is lost if they
// lose power at once, since nobody can tell then what of it was spent. Early in a
// budget that costs nothing: there is enough left. Late in it, each part that is
// lost is refused to callers.
type Policy struct {
	// OutageCover is the time for which a host can spend without the log. It comes
	// from the longest time that hosts are expected to be cut off from it.
	OutageCover time.Duration
	// InitialShare is the part of a budget that all hosts together claim before
	// they know what they spend.
	InitialShare float64
	// UnclaimedShare is the part of a budget that is not claimed to cover outages.
	UnclaimedShare float64
	// CoverGrowth is how much of the cover a host may claim in a second, in seconds of
	// spending. The cover that an outage has used up is claimed again slowly: it
	// is needed next in some time, and is at risk from the first moment on.
	CoverGrowth float64
	// MinShare is the part of a budget that all hosts together hold also when
	// no more than KeepBack is left. Callers are owed no service from the last
	// 3 in 100 of a budget, so that much may be lost.
	MinShare float64
	// MinAllocation is the least amount, in tokens, that a host holds ahead of requests:
	// a smaller one serves none of them. It comes from the cost of the shortest
	// requests.
	MinAllocation record.Tokens
}

// DefaultPolicy returns the policy for outages of the log of some seconds.
func DefaultPolicy() Policy {
	return Policy{OutageCover: 10 * time.Second, InitialShare: 0.15, UnclaimedShare: 0.25, MinShare: 0.005, CoverGrowth: 0.5, MinAllocation: 500}
}

// coverAfterCrash is the cover that a run holds whose predecessor ended without a word:
// hosts that have crashed may crash again, and what they hold is lost each time. It
// comes from the time that a host needs to start and find the log.
const coverAfterCrash = 3 * time.Second

// AfterCrash returns the policy of a run whose predecessor did not give back what it
// held.
func (p Policy) AfterCrash() Policy {
	cover := min(p.OutageCover, coverAfterCrash)
	p.InitialShare *= cover.Seconds() / p.OutageCover.Seconds()
	p.OutageCover = cover
	return p
}

// maxInitialClaims bounds the claims that a fleet makes before it knows what is spent:
// each is read by all hosts, again whenever one starts. 100 hosts read 10,000 claims of
// 100 bytes in a second and a half, at 80 MB/s for all.
const maxInitialClaims = 10_000

// ForFleet returns the policy of a fleet of some hosts with some budgets.
func (p Policy) ForFleet(budgets, hosts int) Policy {
	if budgets*hosts > maxInitialClaims {
		p.InitialShare = 0
	}
	return p
}

// rateWindow is the time over which the rate of spending is averaged.
const rateWindow = 4 * time.Second

// Allocation is what one host holds of one budget.
type Allocation struct {
	// Free is claimed and neither spent nor reserved.
	Free record.Tokens
	// Reserved is set aside for requests that run.
	Reserved record.Tokens
	// added and gone sum up what came into the purse and what left it.
	added   record.Tokens
	removed record.Tokens

	rate float64 // tokens a second
	// cover is the time for which the purse is to suffice now.
	cover              time.Duration
	rateKnown          bool // rate has been measured
	measuredAt         time.Time
	spentSinceMeasured record.Tokens
}

// Reserve sets an amount aside. It returns false if it is not there.
func (a *Allocation) Reserve(amount record.Tokens) bool {
	if amount > a.Free && !knownfault.SpendUnclaimed {
		return false
	}
	a.Free -= amount
	a.Reserved += amount
	return true
}

// Settle spends a part of a reserved amount and frees the rest.
func (a *Allocation) Settle(reserved, cost record.Tokens) {
	cost = min(cost, reserved)
	a.Reserved -= reserved
	a.Free += reserved - cost
	a.spentSinceMeasured += cost
	a.removed += cost
}

// Add takes in an amount that was claimed or borrowed.
func (a *Allocation) Add(amount record.Tokens) {
	a.Free += amount
	a.added += amount
}

// Remove takes out a free amount that is lent or given back.
func (a *Allocation) Remove(amount record.Tokens) {
	a.Free -= amount
	a.removed += amount
}

// Difference returns what the purse has received less what it has spent, given
// away and holds. It must be zero.
func (a *Allocation) Difference() record.Tokens { return a.added - a.removed - a.Free - a.Reserved }

// UpdateRate updates the rate of spending.
func (a *Allocation) UpdateRate(now time.Time) {
	if a.measuredAt.IsZero() {
		a.measuredAt = now
		return
	}
	elapsed := now.Sub(a.measuredAt)
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed.Seconds()/rateWindow.Seconds())
	a.rate += weight * (float64(a.spentSinceMeasured)/elapsed.Seconds() - a.rate)
	a.spentSinceMeasured = 0
	a.measuredAt = now
}

// RaiseCover raises the cover over a time in which the log could be reached.
func (a *Allocation) RaiseCover(policy Policy, elapsed time.Duration) {
	a.cover = min(policy.OutageCover, a.cover+time.Duration(policy.CoverGrowth*float64(elapsed)))
}

// LowerCover begins to claim cover anew, from what an outage has left of it.
func (a *Allocation) LowerCover() {
	if a.rate > 0 {
		a.cover = min(a.cover, time.Duration(max(0, float64(a.Free)/a.rate)*float64(time.Second)))
	}
}

// Target returns how much the host should hold to cover an outage, given the
// prepaid amount and the number of hosts that share it.
func (a *Allocation) Target(policy Policy, prepaid record.Tokens, hosts int) record.Tokens {
	if !a.rateKnown {
		a.rateKnown = true
		a.rate = policy.InitialShare * float64(prepaid) / float64(hosts) / policy.OutageCover.Seconds()
		a.cover = policy.OutageCover
	}
	return policy.zeroIfTooSmall(record.Tokens(a.rate * a.cover.Seconds()))
}

// zeroIfTooSmall returns an amount, or zero if it is too small to serve a request. In a
// large fleet each host's part of a budget is: all would claim it, and each claim
// is read by all.
func (p Policy) zeroIfTooSmall(amount record.Tokens) record.Tokens {
	if amount < p.MinAllocation {
		return 0
	}
	return amount
}

// minHeld returns what a host holds of a budget in any case.
func (p Policy) minHeld(prepaid record.Tokens, hosts int) record.Tokens {
	return p.zeroIfTooSmall(hostShare(p.MinShare*float64(prepaid), hosts))
}

// refillThreshold is the part of the target below which a purse is refilled, so that
// one claim serves some seconds.
const refillThreshold = 0.75

// maxClaimShare is the part of what is not kept back that one claim may take: others may
// claim at the same time.
const maxClaimShare = 0.25

// excessFactor is the multiple of its target above which a purse gives back the rest:
// callers have gone elsewhere.
const excessFactor = 2

// Excess returns how much of what is free the spending no longer justifies.
func (a *Allocation) Excess(policy Policy, prepaid record.Tokens, hosts int) record.Tokens {
	minHeld := policy.minHeld(prepaid, hosts)
	target := max(minHeld, record.Tokens(a.rate*policy.OutageCover.Seconds()))
	if a.Free <= excessFactor*target+minHeld {
		return 0
	}
	return a.Free - target
}

// ClaimAmount returns how much to claim: what is missing to the target, as far as enough
// is kept back, and in any case what waiting requests need. Left is what nobody
// has claimed.
func (a *Allocation) ClaimAmount(policy Policy, prepaid, unclaimed, need record.Tokens, hosts int) record.Tokens {
	spare := float64(unclaimed) - policy.UnclaimedShare*float64(prepaid)
	target := min(a.Target(policy, prepaid, hosts), a.Free+record.Tokens(max(0, spare)*maxClaimShare))
	cover := a.shortfall(target)
	minHeld := a.shortfall(policy.minHeld(prepaid, hosts))
	want := max(cover, minHeld, need-a.Free)
	return max(0, min(want, unclaimed))
}

// shortfall returns what a purse lacks to an amount, or zero if it is not far below.
func (a *Allocation) shortfall(amount record.Tokens) record.Tokens {
	if float64(a.Free) > refillThreshold*float64(amount) {
		return 0
	}
	return amount - a.Free
}

// hostShare returns a host's part of an amount.
func hostShare(amount float64, hosts int) record.Tokens {
	return record.Tokens(max(0, amount) / float64(hosts))
}
