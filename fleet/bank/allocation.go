package bank

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

// allocation is what this host has of one budget. At all times
//
//	outstanding = free + reserved + queued + inFlight
//
// where outstanding is the grant as the shard's fold last showed it. Free is
// negative after an operator has released this holder while requests ran; it
// then never rises above zero again, so that nothing more is reserved. All
// fields are guarded by the bank's mutex.
type allocation struct {
	id     record.BudgetID
	client *shardClient
	policy settings.BudgetPolicy

	free     record.Tokens
	reserved record.Tokens
	// queued is settled or to be returned, and not yet in a report.
	queued record.Tokens
	// inFlight is in the report that has not been read back yet.
	inFlight record.Tokens
	// available is what the budget had left after the newest grant.
	available record.Tokens
	// offset is the offset of the fold that the amounts follow.
	offset record.Offset

	waiters            []*waiter
	rate               rate
	lastUsed           time.Time
	largestReservation record.Tokens // largest reservation seen, decays

	// minFree is the least free amount since leastSince.
	minFree      record.Tokens
	minFreeSince time.Time

	shortage      *shard.Shortage // why the last grant fell short, nil if it did not
	shortageUntil time.Time       // until when short answers new requests
	retryAt       time.Time       // earliest time of the next grant request
	retryDelay    time.Duration
	// prefetchPausedUntil is when the host may ask ahead of need again after a recall.
	prefetchPausedUntil time.Time
	released            bool
}

// waiter is a request that waits for a grant.
type waiter struct {
	amount record.Tokens
	done   chan error // nil once the amount is reserved
	// lastRequestAt is when the last grant request before the refusal is due, zero
	// while the request can still wait.
	lastRequestAt time.Time
}

// tryReserve reserves amount if it is free and nobody waits before.
func (a *allocation) tryReserve(now time.Time, amount record.Tokens) bool {
	if len(a.waiters) > 0 || a.free < amount {
		return false
	}
	a.reserve(now, amount)
	return true
}

func (a *allocation) reserve(now time.Time, amount record.Tokens) {
	a.free -= amount
	a.reserved += amount
	a.lastUsed = now
	a.rate.add(now, amount)
	a.largestReservation = max(amount, a.largestReservation-a.largestReservation/32)
	a.minFree = min(a.minFree, a.free)
}

// endReservation ends a reservation: cost is settled and the rest is free again.
func (a *allocation) endReservation(now time.Time, amount, cost record.Tokens) {
	a.reserved -= amount
	a.queued += cost
	a.free += amount - cost
	a.lastUsed = now
	a.rate.add(now, cost-amount)
	a.serveWaiters(now)
}

// serveWaiters reserves for the waiters in order, as far as the free amount goes.
func (a *allocation) serveWaiters(now time.Time) {
	for len(a.waiters) > 0 && a.waiters[0].amount <= a.free {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.reserve(now, w.amount)
		w.done <- nil
	}
}

// removeWaiter takes a waiter out of the queue. It returns false if it was served.
func (a *allocation) removeWaiter(w *waiter) bool {
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// target is the free amount that a grant should bring: the policy's slice at
// the recent rate, or two of the largest requests, but no more than a hundredth
// of what the budget has left, so that little is stranded if this host dies; at
// least the policy's floor.
func (a *allocation) target(now time.Time) record.Tokens {
	slice := record.Tokens(a.rate.perSecond(now) * a.policy.Slice.Seconds())
	return max(a.policy.Floor, min(max(slice, 2*a.largestReservation), a.available/maxFreeDivisor))
}

// lowWater is the free amount below which the next grant is asked for ahead.
func (a *allocation) lowWater(target record.Tokens) record.Tokens {
	return max(target/2, min(target, a.largestReservation))
}

// maxFreeDivisor is the part of a budget's available amount that a host may hold
// ahead of need, as a divisor.
const maxFreeDivisor = 100

// neededGrant returns the amount to ask for and the least that serves the first
// waiter, or zero if no grant is needed.
func (a *allocation) neededGrant(now time.Time) (amount, need record.Tokens) {
	if a.released {
		return 0, 0
	}
	target := a.target(now)
	if len(a.waiters) > 0 {
		var waiting record.Tokens
		for _, w := range a.waiters {
			waiting += w.amount
		}
		free := max(0, a.free)
		return waiting - free + target, a.waiters[0].amount - free
	}
	active := now.Sub(a.lastUsed) < a.policy.RecallDelay && !now.Before(a.prefetchPausedUntil)
	if active && a.free < a.lowWater(target) {
		return target - a.free, 0
	}
	return 0, 0
}

// updateOutstanding sets the free amount from the fold's word on the outstanding grant at
// an offset. Results older than the newest one seen are ignored.
func (a *allocation) updateOutstanding(at record.Offset, outstanding record.Tokens, reportSeq uint64) {
	if at <= a.offset {
		return
	}
	a.offset = at
	open := a.reserved + a.queued
	if reportSeq < a.client.sent.Seq {
		open += a.inFlight
	}
	a.free = outstanding - open
	a.minFree = min(a.minFree, a.free)
}

// unusedAmount returns what no request has touched for the recall delay. An idle
// budget gives everything back; a used one keeps its target.
func (a *allocation) unusedAmount(now time.Time) record.Tokens {
	if a.policy.RecallDelay <= 0 || now.Sub(a.minFreeSince) < a.policy.RecallDelay {
		return 0
	}
	least := min(a.minFree, a.free)
	a.minFreeSince, a.minFree = now, a.free
	if len(a.waiters) > 0 || least <= 0 {
		return 0
	}
	if now.Sub(a.lastUsed) >= a.policy.RecallDelay {
		return least
	}
	return max(0, least-a.target(now))
}

// returnFree queues the return of part of the free amount.
func (a *allocation) returnFree(amount record.Tokens) {
	a.free -= amount
	a.queued += amount
	a.minFree = min(a.minFree, a.free)
	a.client.queueReturn(a.id, amount)
}

// isSpent reports whether nothing of the budget is left anywhere: no other host
// has a grant, and this one has no request that runs and no report under way
// that could bring something back.
func (a *allocation) isSpent() bool {
	return a.shortage != nil && a.shortage.Held == 0 && a.reserved+a.queued+a.inFlight == 0
}

// onLastRequest reports whether the first waiter's last grant request is due or
// under way. What is free then stays for it.
func (a *allocation) onLastRequest() bool {
	return len(a.waiters) > 0 && !a.waiters[0].lastRequestAt.IsZero()
}
