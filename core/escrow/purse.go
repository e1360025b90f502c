package escrow

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Policy sizes what a host holds of a budget.
type Policy struct {
	// Cover is the time for which a host can spend without the log. It comes
	// from the longest time that hosts are expected to be cut off from it.
	Cover time.Duration
	// FirstShare is the part of a budget that all hosts together claim before
	// they know what they spend.
	FirstShare float64
	// PoolShare is the part of what is left in a budget that all hosts together
	// may claim at once, so that the last of it is not held by the first.
	PoolShare float64
}

// DefaultPolicy returns the policy for outages of the log of some seconds.
func DefaultPolicy() Policy {
	return Policy{Cover: 10 * time.Second, FirstShare: 0.15, PoolShare: 0.5}
}

// rateWindow is the time over which the rate of spending is averaged.
const rateWindow = 4 * time.Second

// Purse is what one host holds of one budget.
type Purse struct {
	// Free is claimed and neither spent nor reserved.
	Free record.Tokens
	// Reserved is set aside for requests that run.
	Reserved record.Tokens

	rate    float64 // tokens a second
	known   bool    // rate has been measured
	since   time.Time
	pending record.Tokens
}

// Reserve sets an amount aside. It returns false if it is not there.
func (p *Purse) Reserve(amount record.Tokens) bool {
	if amount > p.Free {
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
}

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

// Target returns how much the host should hold, given the prepaid amount and the
// number of hosts that share it.
func (p *Purse) Target(policy Policy, prepaid record.Tokens, hosts int) record.Tokens {
	if !p.known {
		p.known = true
		p.rate = policy.FirstShare * float64(prepaid) / float64(hosts) / policy.Cover.Seconds()
	}
	return record.Tokens(p.rate * policy.Cover.Seconds())
}

// refillBelow is the part of the target below which a purse is refilled, so that
// one claim serves some seconds.
const refillBelow = 0.75

// Want returns how much to claim: what is missing to the target, at most a fair
// share of what is left, and in any case what a waiting request needs.
func (p *Purse) Want(policy Policy, prepaid, left, need record.Tokens, hosts int) record.Tokens {
	target := p.Target(policy, prepaid, hosts)
	missing := target - p.Free
	if float64(p.Free) > refillBelow*float64(target) {
		missing = 0
	}
	share := record.Tokens(float64(left) * policy.PoolShare / float64(hosts))
	want := max(0, min(missing, share))
	want = max(want, need-p.Free)
	return max(0, min(want, left))
}
