package grants

import (
	"cmp"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

// allocation is the part of one budget that is granted to this host. It always
// satisfies
//
//	outstanding = free + reserved + queued + inFlight
//
// where outstanding is the grant according to the shard's fold. Free is negative
// after an operator has released this holder while requests ran; it then never
// rises above zero again, so that nothing more is reserved. All fields are
// guarded by the manager's mutex.
type allocation struct {
	id     record.BudgetID
	client *shardClient
	policy settings.BudgetPolicy

	free     record.Tokens
	reserved record.Tokens
	// queued is the amount settled or to be returned that is not in a report yet.
	queued record.Tokens
	// inFlight is the amount in the reports that have not been read back yet.
	inFlight record.Tokens
	// available is the budget's ungranted amount after the latest grant.
	available record.Tokens
	// updatedAt is the fold's state from which the amounts were last updated.
	updatedAt foldPosition

	waiters            []*waiter
	rate               rate
	lastUsed           time.Time
	largestReservation record.Tokens // largest recent reservation, decays with each new one

	// minFree is the lowest free amount since minFreeSince.
	minFree      record.Tokens
	minFreeSince time.Time

	shortage      *shard.Shortage // shortage reported with the last grant, nil if there was none
	shortageUntil time.Time       // until then new requests are refused by shortage without a grant request
	retryAt       time.Time       // earliest time of the next grant request
	retryDelay    time.Duration
	// prefetchPausedUntil is the end of the pause after a recall in which the
	// host requests no grant ahead of need.
	prefetchPausedUntil time.Time
	released            bool
}

// waiter is a request that waits for a grant.
type waiter struct {
	amount record.Tokens
	done   chan error // nil once the amount is reserved
	// lastRequestAt is when the last grant request before a refusal is due. It
	// is zero while the request can still wait.
	lastRequestAt time.Time
}

// tryReserve reserves amount if it is free and no other request is waiting.
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

// endReservation ends a reservation of amount: it settles cost and frees the rest.
func (a *allocation) endReservation(now time.Time, amount, cost record.Tokens) {
	a.reserved -= amount
	a.queued += cost
	a.free += amount - cost
	a.lastUsed = now
	a.rate.add(now, cost-amount)
	a.serveWaiters(now)
}

// serveWaiters reserves for the waiters in order while the free amount suffices.
func (a *allocation) serveWaiters(now time.Time) {
	for len(a.waiters) > 0 && a.waiters[0].amount <= a.free {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.reserve(now, w.amount)
		w.done <- nil
	}
}

// removeWaiter removes a waiter from the queue. It returns false if the waiter
// had left the queue, served or refused.
func (a *allocation) removeWaiter(w *waiter) bool {
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// target returns the free amount that a grant request aims at: the spend of the
// policy's slice at the recent rate, or twice the largest reservation if that is
// more. It is at most a hundredth of the budget's available amount, so that
// little is stranded if this host crashes, and at least the policy's floor.
func (a *allocation) target(now time.Time) record.Tokens {
	slice := record.Tokens(a.rate.perSecond(now) * a.policy.Slice.Seconds())
	return max(a.policy.Floor, min(max(slice, 2*a.largestReservation), a.available/maxFreeDivisor))
}

// lowWater returns the free amount below which a grant is requested ahead of need.
func (a *allocation) lowWater(target record.Tokens) record.Tokens {
	return max(target/2, min(target, a.largestReservation))
}

// maxFreeDivisor limits the amount that a host requests ahead of need: the
// budget's available amount divided by maxFreeDivisor.
const maxFreeDivisor = 100

// neededGrant returns the amount to request and the minimum that serves the
// first waiter. Both are zero if no grant is needed.
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

// foldPosition identifies the fold's state after an operation of this host. A report and a
// grant can be in the same record.
type foldPosition struct {
	offset record.Offset
	// reportSeq is the number of this host's last report before, or at, the operation.
	reportSeq uint64
	// grant is true after a grant, which follows the report numbered reportSeq.
	grant bool
}

func (p foldPosition) after(o foldPosition) bool {
	order := cmp.Or(cmp.Compare(p.offset, o.offset), cmp.Compare(p.reportSeq, o.reportSeq))
	return order > 0 || order == 0 && p.grant && !o.grant
}

// updateOutstanding sets the free amount from the outstanding grant in the fold
// at a position. It ignores results that are older than the latest one.
func (a *allocation) updateOutstanding(at foldPosition, outstanding record.Tokens) {
	if !at.after(a.updatedAt) {
		return
	}
	a.updatedAt = at
	open := a.reserved + a.queued
	for _, sent := range a.client.inFlight {
		if at.reportSeq < sent.report.Seq {
			open += sent.amounts[a]
		}
	}
	a.free = outstanding - open
	a.minFree = min(a.minFree, a.free)
}

// unusedAmount returns the free amount that no request has used for the recall
// delay. An idle budget returns everything; an active one keeps its target.
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

// isSpent reports whether nothing of the budget can become free: no other host
// has a grant, and this host has no running request, queued entry or report in
// flight that could free an amount.
func (a *allocation) isSpent() bool {
	return a.shortage != nil && a.shortage.Held == 0 && a.reserved+a.queued+a.inFlight == 0
}

// onLastRequest reports whether the first waiter's last grant request is due or
// in flight. The free amount is then kept for that waiter.
func (a *allocation) onLastRequest() bool {
	return len(a.waiters) > 0 && !a.waiters[0].lastRequestAt.IsZero()
}
