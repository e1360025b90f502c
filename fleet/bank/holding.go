package bank

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

// holding is what this host has of one budget. At all times
//
//	outstanding = free + reserved + queued + inFlight
//
// where outstanding is the grant as the shard's fold last showed it. Free is
// negative after an operator has released this holder while requests ran; it
// then never rises above zero again, so that nothing more is reserved. All
// fields are guarded by the bank's mutex.
type holding struct {
	id      record.BudgetID
	account *account
	policy  settings.BudgetPolicy

	free     record.Tokens
	reserved record.Tokens
	// queued is settled or to be returned, and not yet in a report.
	queued record.Tokens
	// inFlight is in the report that has not been read back yet.
	inFlight record.Tokens
	// available is what the budget had left after the newest grant.
	available record.Tokens
	// asOf is the offset of the fold that the amounts follow.
	asOf record.Offset

	waiters []*waiter
	rate    rate
	used    time.Time
	largest record.Tokens // largest reservation seen, decays

	// leastFree is the least free amount since leastSince.
	leastFree  record.Tokens
	leastSince time.Time

	short    *shard.Shortage // why the last grant fell short, nil if it did not
	shortEnd time.Time       // until when short answers new requests
	retryAt  time.Time       // earliest time of the next grant request
	retry    time.Duration
	// quietUntil is when the host may ask ahead of need again after a recall.
	quietUntil time.Time
	released   bool
}

// waiter is a request that waits for a grant.
type waiter struct {
	amount record.Tokens
	done   chan error // nil once the amount is reserved
	// lastAsk is when the last grant request before the refusal is due, zero
	// while the request can still wait.
	lastAsk time.Time
}

// take reserves amount if it is free and nobody waits before.
func (h *holding) take(now time.Time, amount record.Tokens) bool {
	if len(h.waiters) > 0 || h.free < amount {
		return false
	}
	h.reserve(now, amount)
	return true
}

func (h *holding) reserve(now time.Time, amount record.Tokens) {
	h.free -= amount
	h.reserved += amount
	h.used = now
	h.rate.add(now, amount)
	h.largest = max(amount, h.largest-h.largest/32)
	h.leastFree = min(h.leastFree, h.free)
}

// finish ends a reservation: cost is settled and the rest is free again.
func (h *holding) finish(now time.Time, amount, cost record.Tokens) {
	h.reserved -= amount
	h.queued += cost
	h.free += amount - cost
	h.used = now
	h.rate.add(now, cost-amount)
	h.serve(now)
}

// serve reserves for the waiters in order, as far as the free amount goes.
func (h *holding) serve(now time.Time) {
	for len(h.waiters) > 0 && h.waiters[0].amount <= h.free {
		w := h.waiters[0]
		h.waiters = h.waiters[1:]
		h.reserve(now, w.amount)
		w.done <- nil
	}
}

// remove takes a waiter out of the queue. It returns false if it was served.
func (h *holding) remove(w *waiter) bool {
	for i, other := range h.waiters {
		if other == w {
			h.waiters = append(h.waiters[:i:i], h.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// target is the free amount that a grant should bring: the policy's slice at
// the recent rate, or two of the largest requests, but no more than a hundredth
// of what the budget has left, so that little is stranded if this host dies; at
// least the policy's floor.
func (h *holding) target(now time.Time) record.Tokens {
	slice := record.Tokens(h.rate.perSecond(now) * h.policy.Slice.Seconds())
	return max(h.policy.Floor, min(max(slice, 2*h.largest), h.available/maxFreePart))
}

// lowWater is the free amount below which the next grant is asked for ahead.
func (h *holding) lowWater(target record.Tokens) record.Tokens {
	return max(target/2, min(target, h.largest))
}

// maxFreePart is the part of a budget's available amount that a host may hold
// ahead of need, as a divisor.
const maxFreePart = 100

// wanted returns the amount to ask for and the least that serves the first
// waiter, or zero if no grant is needed.
func (h *holding) wanted(now time.Time) (amount, need record.Tokens) {
	if h.released {
		return 0, 0
	}
	target := h.target(now)
	if len(h.waiters) > 0 {
		var waiting record.Tokens
		for _, w := range h.waiters {
			waiting += w.amount
		}
		free := max(0, h.free)
		return waiting - free + target, h.waiters[0].amount - free
	}
	active := now.Sub(h.used) < h.policy.RecallDelay && !now.Before(h.quietUntil)
	if active && h.free < h.lowWater(target) {
		return target - h.free, 0
	}
	return 0, 0
}

// follow sets the free amount from the fold's word on the outstanding grant at
// an offset. Results older than the newest one seen are ignored.
func (h *holding) follow(at record.Offset, outstanding record.Tokens, reportSeq uint64) {
	if at <= h.asOf {
		return
	}
	h.asOf = at
	open := h.reserved + h.queued
	if reportSeq < h.account.sent.Seq {
		open += h.inFlight
	}
	h.free = outstanding - open
	h.leastFree = min(h.leastFree, h.free)
}

// unused returns what no request has touched for the recall delay. An idle
// budget gives everything back; a used one keeps its target.
func (h *holding) unused(now time.Time) record.Tokens {
	if h.policy.RecallDelay <= 0 || now.Sub(h.leastSince) < h.policy.RecallDelay {
		return 0
	}
	least := min(h.leastFree, h.free)
	h.leastSince, h.leastFree = now, h.free
	if len(h.waiters) > 0 || least <= 0 {
		return 0
	}
	if now.Sub(h.used) >= h.policy.RecallDelay {
		return least
	}
	return max(0, least-h.target(now))
}

// giveBack queues the return of part of the free amount.
func (h *holding) giveBack(amount record.Tokens) {
	h.free -= amount
	h.queued += amount
	h.leastFree = min(h.leastFree, h.free)
	h.account.queueReturn(h.id, amount)
}

// spent reports whether nothing of the budget is left anywhere: no other host
// has a grant, and this one has no request that runs and no report under way
// that could bring something back.
func (h *holding) spent() bool {
	return h.short != nil && h.short.Held == 0 && h.reserved+h.queued+h.inFlight == 0
}

// lastAsking reports whether the first waiter's last grant request is due or
// under way. What is free then stays for it.
func (h *holding) lastAsking() bool {
	return len(h.waiters) > 0 && !h.waiters[0].lastAsk.IsZero()
}
