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
	// Cover is the time for which a host can spend without the log. It comes
	// from the longest time that hosts are expected to be cut off from it.
	Cover time.Duration
	// FirstShare is the part of a budget that all hosts together claim before
	// they know what they spend.
	FirstShare float64
	// KeepBack is the part of a budget that is not claimed to cover outages.
	KeepBack float64
	// Growth is how much of the cover a host may claim in a second, in seconds of
	// spending. The cover that an outage has used up is claimed again slowly: it
	// is needed next in some time, and is at risk from the first moment on.
	Growth float64
	// BaseShare is the part of a budget that all hosts together hold also when
	// no more than KeepBack is left. Callers are owed no service from the last
	// 3 in 100 of a budget, so that much may be lost.
	BaseShare float64
	// LeastHeld is the least amount, in tokens, that a host holds ahead of requests:
	// a smaller one serves none of them. It comes from the cost of the shortest
	// requests.
	LeastHeld record.Tokens
}

// DefaultPolicy returns the policy for outages of the log of some seconds.
func DefaultPolicy() Policy {
	return Policy{Cover: 10 * time.Second, FirstShare: 0.15, KeepBack: 0.25, BaseShare: 0.005, Growth: 0.5, LeastHeld: 500}
}

// crashCover is the cover that a run holds whose predecessor ended without a word:
// hosts that have crashed may crash again, and what they hold is lost each time. It
// comes from the time that a host needs to start and find the log.
const crashCover = 3 * time.Second

// AfterCrash returns the policy of a run whose predecessor did not give back what it
// held.
func (p Policy) AfterCrash() Policy {
	cover := min(p.Cover, crashCover)
	p.FirstShare *= cover.Seconds() / p.Cover.Seconds()
	p.Cover = cover
	return p
}

// mostFirstClaims bounds the claims that a fleet makes before it knows what is spent:
// each is read by all hosts, again whenever one starts. 100 hosts read 10,000 claims of
// 100 bytes in a second and a half, at 80 MB/s for all.
const mostFirstClaims = 10_000

// ForFleet returns the policy of a fleet of some hosts with some budgets.
func (p Policy) ForFleet(budgets, hosts int) Policy {
	if budgets*hosts > mostFirstClaims {
		p.FirstShare = 0
	}
	return p
}

// rateWindow is the time over which the rate of spending is averaged.
const rateWindow = 4 * time.Second

// Purse is what one host holds of one budget.
type Purse struct {
	// Free is claimed and neither spent nor reserved.
	Free record.Tokens
	// Reserved is set aside for requests that run.
	Reserved record.Tokens
	// received and gone sum up what came into the purse and what left it.
	received record.Tokens
	gone     record.Tokens

	rate float64 // tokens a second
	// cover is the time for which the purse is to suffice now.
	cover   time.Duration
	known   bool // rate has been measured
	since   time.Time
	pending record.Tokens
}

// Reserve sets an amount aside. It returns false if it is not there.
func (p *Purse) Reserve(amount record.Tokens) bool {
	if amount > p.Free && !knownfault.SpendUnclaimed {
		return false
	}
	p.Free -= amount
	p.Reserved += amount
	return true
}

// Settle spends a part of a reserved amount and frees the rest.
func (p *Purse) Settle(reserved, cost record.Tokens) {
	cost = min(cost, reserved)
	p.Reserved -= reserved
	p.Free += reserved - cost
	p.pending += cost
	p.gone += cost
}

// Receive takes in an amount that was claimed or borrowed.
func (p *Purse) Receive(amount record.Tokens) {
	p.Free += amount
	p.received += amount
}

// Remove takes out a free amount that is lent or given back.
func (p *Purse) Remove(amount record.Tokens) {
	p.Free -= amount
	p.gone += amount
}

// Difference returns what the purse has received less what it has spent, given
// away and holds. It must be zero.
func (p *Purse) Difference() record.Tokens { return p.received - p.gone - p.Free - p.Reserved }

// Measure updates the rate of spending.
func (p *Purse) Measure(now time.Time) {
	if p.since.IsZero() {
		p.since = now
		return
	}
	elapsed := now.Sub(p.since)
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed.Seconds()/rateWindow.Seconds())
	p.rate += weight * (float64(p.pending)/elapsed.Seconds() - p.rate)
	p.pending = 0
	p.since = now
}

// Grow raises the cover over a time in which the log could be reached.
func (p *Purse) Grow(policy Policy, elapsed time.Duration) {
	p.cover = min(policy.Cover, p.cover+time.Duration(policy.Growth*float64(elapsed)))
}

// Rebuild begins to claim cover anew, from what an outage has left of it.
func (p *Purse) Rebuild() {
	if p.rate > 0 {
		p.cover = min(p.cover, time.Duration(max(0, float64(p.Free)/p.rate)*float64(time.Second)))
	}
}

// Target returns how much the host should hold to cover an outage, given the
// prepaid amount and the number of hosts that share it.
func (p *Purse) Target(policy Policy, prepaid record.Tokens, hosts int) record.Tokens {
	if !p.known {
		p.known = true
		p.rate = policy.FirstShare * float64(prepaid) / float64(hosts) / policy.Cover.Seconds()
		p.cover = policy.Cover
	}
	return policy.worthHolding(record.Tokens(p.rate * p.cover.Seconds()))
}

// worthHolding returns an amount, or zero if it is too small to serve a request. In a
// large fleet each host's part of a budget is: all would claim it, and each claim
// is read by all.
func (p Policy) worthHolding(amount record.Tokens) record.Tokens {
	if amount < p.LeastHeld {
		return 0
	}
	return amount
}

// base returns what a host holds of a budget in any case.
func (p Policy) base(prepaid record.Tokens, hosts int) record.Tokens {
	return p.worthHolding(share(p.BaseShare*float64(prepaid), hosts))
}

// refillBelow is the part of the target below which a purse is refilled, so that
// one claim serves some seconds.
const refillBelow = 0.75

// atOnce is the part of what is not kept back that one claim may take: others may
// claim at the same time.
const atOnce = 0.25

// surplus is the multiple of its target above which a purse gives back the rest:
// callers have gone elsewhere.
const surplus = 2

// Excess returns how much of what is free the spending no longer justifies.
func (p *Purse) Excess(policy Policy, prepaid record.Tokens, hosts int) record.Tokens {
	base := policy.base(prepaid, hosts)
	target := max(base, record.Tokens(p.rate*policy.Cover.Seconds()))
	if p.Free <= surplus*target+base {
		return 0
	}
	return p.Free - target
}

// Want returns how much to claim: what is missing to the target, as far as enough
// is kept back, and in any case what waiting requests need. Left is what nobody
// has claimed.
func (p *Purse) Want(policy Policy, prepaid, left, need record.Tokens, hosts int) record.Tokens {
	spare := float64(left) - policy.KeepBack*float64(prepaid)
	target := min(p.Target(policy, prepaid, hosts), p.Free+record.Tokens(max(0, spare)*atOnce))
	cover := p.missing(target)
	base := p.missing(policy.base(prepaid, hosts))
	want := max(cover, base, need-p.Free)
	return max(0, min(want, left))
}

// missing returns what a purse lacks to an amount, or zero if it is not far below.
func (p *Purse) missing(amount record.Tokens) record.Tokens {
	if float64(p.Free) > refillBelow*float64(amount) {
		return 0
	}
	return amount - p.Free
}

// share returns a host's part of an amount.
func share(amount float64, hosts int) record.Tokens {
	return record.Tokens(max(0, amount) / float64(hosts))
}
