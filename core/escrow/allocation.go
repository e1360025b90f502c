package escrow

import (
	"time"

	"github.com/hazelworks/hazelworks/core/knownfault"
	"github.com/hazelworks/hazelworks/core/record"
)

// Policy sizes a host's allocation of a budget. If all hosts lose power at once,
// their allocations are lost, since it is then unknown how much of them was spent.
// Early in a budget this costs nothing: enough is left unclaimed. Late in a budget,
// the lost tokens are refused to callers.
type Policy struct {
	// OutageCover is the time for which a host can spend without reaching the log.
	// It is the longest expected time without access to the log.
	OutageCover time.Duration
	// InitialShare is the fraction of a budget that all hosts together claim before
	// they know their rate of spending.
	InitialShare float64
	// UnclaimedShare is the fraction of a budget that is never claimed to cover
	// outages.
	UnclaimedShare float64
	// CoverGrowth is the growth of the cover, in seconds of spending per second.
	// Cover that an outage has used up is claimed again slowly: the next outage is
	// some time away, but tokens are at risk as soon as they are claimed.
	CoverGrowth float64
	// MinShare is the fraction of a budget that all hosts together hold even if no
	// more than UnclaimedShare is left. Callers are owed no service from the last 3%
	// of a budget, so that much may be lost.
	MinShare float64
	// MinAllocation is the least amount, in tokens, that a host claims ahead of
	// requests. It is the cost of the shortest requests: a smaller allocation serves
	// none.
	MinAllocation record.Tokens
}

// DefaultPolicy returns a policy for log outages of some seconds.
func DefaultPolicy() Policy {
	return Policy{OutageCover: 10 * time.Second, InitialShare: 0.15, UnclaimedShare: 0.25, MinShare: 0.005, CoverGrowth: 0.5, MinAllocation: 500}
}

// coverAfterCrash is the outage cover of a run whose previous run did not close: a
// host that has crashed may crash again, and its allocation is lost each time. It
// is the time that a host needs to start and reach the log.
const coverAfterCrash = 3 * time.Second

// AfterCrash returns the policy for a run whose previous run did not give back its
// allocations.
func (p Policy) AfterCrash() Policy {
	cover := min(p.OutageCover, coverAfterCrash)
	p.InitialShare *= cover.Seconds() / p.OutageCover.Seconds()
	p.OutageCover = cover
	return p
}

// maxInitialClaims bounds the claims that a fleet makes before rates of spending are
// known: all hosts read each claim, and read it again when they start. 100 hosts
// read 10,000 claims of 100 bytes in 1.5 s, at 80 MB/s for all hosts together.
const maxInitialClaims = 10_000

// ForFleet returns the policy for a fleet with the given numbers of budgets and
// hosts. With more than [maxInitialClaims] pairs of them, a host claims a budget only
// once it is used.
func (p Policy) ForFleet(budgets, hosts int) Policy {
	if budgets*hosts > maxInitialClaims {
		p.InitialShare = 0
	}
	return p
}

// OnDemand returns the policy for a host to which callers are not directed: it claims
// nothing before a request needs it.
func (p Policy) OnDemand() Policy {
	p.InitialShare, p.MinShare = 0, 0
	return p
}

// rateWindow is the time over which the spending rate is averaged. Since the budget was
// first used it is as long as that use, and at least minRateWindow: an outage soon after the
// first requests must find most of its cover claimed.
const (
	rateWindow    = 4 * time.Second
	minRateWindow = 2 * time.Second
)

// Allocation is the part of one budget that one host has claimed or borrowed and
// not yet spent. The zero value is empty.
type Allocation struct {
	// Free is neither spent nor reserved.
	Free record.Tokens
	// Reserved is set aside for requests in flight.
	Reserved record.Tokens
	// added is the sum of all claimed and borrowed amounts; removed is the sum of all
	// spent, lent and returned amounts.
	added   record.Tokens
	removed record.Tokens

	rate float64 // tokens per second
	// cover is the time for which the free amount should currently suffice.
	cover              time.Duration
	initialized        bool // Target has set the initial rate and cover
	measuredAt         time.Time
	spentSinceMeasured record.Tokens
	firstSpentAt       time.Time // the measurement before the first spending, or zero
}

// Initialized reports whether the first claim has been sized.
func (a *Allocation) Initialized() bool { return a.initialized }

// Reserve sets an amount aside. It returns false if less than that is free, and for an amount that
// is never valid: below zero or above [record.MaxTokens].
func (a *Allocation) Reserve(amount record.Tokens) bool {
	if amount < 0 || amount > record.MaxTokens {
		return false
	}
	if amount > a.Free && !knownfault.SpendUnclaimed {
		return false
	}
	a.Free -= amount
	a.Reserved += amount
	return true
}

// Settle spends cost out of a reserved amount and frees the rest. A cost above the
// reservation is cut to it, and one below zero is none.
func (a *Allocation) Settle(reserved, cost record.Tokens) {
	cost = min(max(0, cost), reserved)
	a.Reserved -= reserved
	a.Free += reserved - cost
	a.spentSinceMeasured += cost
	a.removed += cost
}

// Add adds a claimed or borrowed amount. One below zero has no effect.
func (a *Allocation) Add(amount record.Tokens) {
	amount = max(0, amount)
	a.Free += amount
	a.added += amount
}

// Remove removes a free amount that is lent or given back. One below zero has no effect.
func (a *Allocation) Remove(amount record.Tokens) {
	amount = max(0, amount)
	a.Free -= amount
	a.removed += amount
}

// Difference returns the sum of all added amounts less all removed, free and
// reserved amounts. It must be zero.
func (a *Allocation) Difference() record.Tokens { return a.added - a.removed - a.Free - a.Reserved }

// UpdateRate updates the spending rate with the costs settled since the last call.
func (a *Allocation) UpdateRate(now time.Time) {
	if a.measuredAt.IsZero() {
		a.measuredAt = now
		return
	}
	elapsed := now.Sub(a.measuredAt)
	if elapsed <= 0 {
		return
	}
	if a.firstSpentAt.IsZero() && a.spentSinceMeasured > 0 {
		a.firstSpentAt = a.measuredAt
	}
	window := rateWindow
	if !a.firstSpentAt.IsZero() {
		window = min(rateWindow, max(minRateWindow, now.Sub(a.firstSpentAt)))
	}
	weight := min(1, elapsed.Seconds()/window.Seconds())
	a.rate += weight * (float64(a.spentSinceMeasured)/elapsed.Seconds() - a.rate)
	a.spentSinceMeasured = 0
	a.measuredAt = now
}

// RaiseCover raises the cover by the policy's growth over a time in which the log
// was reachable.
func (a *Allocation) RaiseCover(policy Policy, elapsed time.Duration) {
	a.cover = min(policy.OutageCover, a.cover+time.Duration(policy.CoverGrowth*float64(elapsed)))
}

// LowerCover lowers the cover to the time that the free amount lasts after an
// outage, so that RaiseCover lets it be claimed again slowly.
func (a *Allocation) LowerCover() {
	if a.rate > 0 {
		a.cover = min(a.cover, time.Duration(max(0, float64(a.Free)/a.rate)*float64(time.Second)))
	}
}

// Target returns the free amount that covers an outage, given the prepaid amount of
// the budget and the number of hosts that share it. The first call sets the rate and
// the cover from the policy.
func (a *Allocation) Target(policy Policy, prepaid record.Tokens, hosts int) record.Tokens {
	if !a.initialized {
		a.initialized = true
		a.rate = max(a.rate, policy.InitialShare*float64(prepaid)/float64(hosts)/policy.OutageCover.Seconds())
		a.cover = policy.OutageCover
	}
	return policy.zeroIfTooSmall(record.Tokens(a.rate * a.cover.Seconds()))
}

// zeroIfTooSmall returns an amount, or zero if it is too small to serve a request. In
// a large fleet, each host's share of a budget is that small; without this check,
// all hosts would claim theirs, and all hosts read each claim.
func (p Policy) zeroIfTooSmall(amount record.Tokens) record.Tokens {
	if amount < p.MinAllocation {
		return 0
	}
	return amount
}

// minHeld returns the amount of a budget that a host holds however little is left.
func (p Policy) minHeld(prepaid record.Tokens, hosts int) record.Tokens {
	return p.zeroIfTooSmall(hostShare(p.MinShare*float64(prepaid), hosts))
}

// refillThreshold is the fraction of the target below which more is claimed, so that
// one claim lasts some seconds.
const refillThreshold = 0.75

// maxClaimShare is the fraction of the claimable amount above UnclaimedShare that one
// claim may take, since other hosts may claim at the same time.
const maxClaimShare = 0.25

// excessFactor is the multiple of the target above which the excess is given back:
// the callers have moved to other hosts.
const excessFactor = 2

// Excess returns the free amount to give back because the spending rate no longer
// justifies it, or zero.
func (a *Allocation) Excess(policy Policy, prepaid record.Tokens, hosts int) record.Tokens {
	minHeld := policy.minHeld(prepaid, hosts)
	target := max(minHeld, record.Tokens(a.rate*policy.OutageCover.Seconds()))
	if a.Free <= excessFactor*target+minHeld {
		return 0
	}
	return a.Free - target
}

// ClaimAmount returns the amount to claim, at most unclaimed, which is the part of
// the budget that no host has claimed. It fills up to the target as long as
// UnclaimedShare of the budget stays unclaimed; need, the amount that waiting requests
// lack, and the minimum are claimed in any case. For the requests that come before the rate is
// known, it keeps as much free as those in flight have reserved.
func (a *Allocation) ClaimAmount(policy Policy, prepaid, unclaimed, need record.Tokens, hosts int) record.Tokens {
	spare := float64(unclaimed) - policy.UnclaimedShare*float64(prepaid)
	target := min(a.Target(policy, prepaid, hosts), a.Free+record.Tokens(max(0, spare)*maxClaimShare))
	coverShortfall := a.shortfall(target)
	minShortfall := a.shortfall(policy.minHeld(prepaid, hosts))
	next := min(a.Reserved, record.Tokens(max(0, spare)*maxClaimShare))
	want := max(coverShortfall, minShortfall, need-a.Free)
	if left := a.Free - need; float64(left) <= refillThreshold*float64(next) {
		want = max(want, next-left)
	}
	return max(0, min(want, unclaimed))
}

// shortfall returns the amount missing to a target, or zero if the free amount is
// above refillThreshold of it.
func (a *Allocation) shortfall(amount record.Tokens) record.Tokens {
	if float64(a.Free) > refillThreshold*float64(amount) {
		return 0
	}
	return amount - a.Free
}

// hostShare returns one host's equal part of an amount.
func hostShare(amount float64, hosts int) record.Tokens {
	return record.Tokens(max(0, amount) / float64(hosts))
}
