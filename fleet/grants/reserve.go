package grants

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Reserve implements [Reserver].
func (m *Manager) Reserve(ctx context.Context, budget record.BudgetID, key record.RequestKey, amount record.Tokens, wait time.Duration) (Reservation, error) {
	if amount < 0 {
		return nil, fmt.Errorf("grants: negative amount %d", amount)
	}
	start := time.Now()
	defer func() { m.reserveWait.Update(time.Since(start).Microseconds()) }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	a, err := m.allocation(budget)
	if err != nil {
		return nil, err
	}
	if !a.tryReserve(start, amount) {
		if err := m.wait(ctx, a, amount, wait); err != nil {
			return nil, err
		}
	}
	a.client.wake()
	return &reservation{manager: m, allocation: a, key: key, amount: amount}, nil
}

// wait queues a request until a grant covers it. The caller holds m.mu, which
// is released meanwhile.
func (m *Manager) wait(ctx context.Context, a *allocation, amount record.Tokens, wait time.Duration) error {
	if err := m.refuseIfSpent(a, amount); err != nil {
		return err
	}
	w := &waiter{amount: amount, done: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	a.client.wake()
	lastWait := min(wait/2, lastRequestTime)
	err := m.awaitUnlocked(ctx, w, wait-lastWait)
	if errors.Is(err, errWaitTimeout) && !a.client.unreachable {
		w.lastRequestAt = time.Now()
		a.retryAt = w.lastRequestAt
		a.client.wake()
		err = m.awaitUnlocked(ctx, w, lastWait)
	}
	if err == nil || !a.removeWaiter(w) {
		return w.finalError(err)
	}
	a.serveWaiters(time.Now())
	if ctx.Err() != nil {
		return err
	}
	return m.refusal(a, amount)
}

// awaitUnlocked waits for the waiter's result with m.mu released.
func (m *Manager) awaitUnlocked(ctx context.Context, w *waiter, wait time.Duration) error {
	m.mu.Unlock()
	defer m.mu.Lock()
	return w.await(ctx, wait)
}

// lastRequestTime is the end of a request's wait, reserved for one last grant
// request, so that a refusal is based on a recent answer.
const lastRequestTime = 300 * time.Millisecond

// errWaitTimeout is internal: the wait for a grant timed out.
var errWaitTimeout = errors.New("grants: no grant in time")

// await waits for the waiter's result, at most for wait.
func (w *waiter) await(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		w.done <- err
		return err
	case <-timer.C:
		return errWaitTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

// finalError returns the result of a waiter that has left the queue, or err if it
// has none.
func (w *waiter) finalError(err error) error {
	select {
	case err = <-w.done:
	default:
	}
	return err
}

// refuseIfSpent returns a refusal if this holder was released or the budget is
// known to be spent.
func (m *Manager) refuseIfSpent(a *allocation, amount record.Tokens) error {
	if a.released {
		return m.refusal(a, amount)
	}
	if a.isSpent() && time.Now().Before(a.shortageUntil) && len(a.waiters) == 0 && amount > a.free+a.shortage.Available {
		return m.refusal(a, amount)
	}
	return nil
}

// refusal returns the error for a refused request and counts and logs it.
func (m *Manager) refusal(a *allocation, amount record.Tokens) error {
	answered := a.shortage != nil && !a.client.unreachable
	e := &RefusedError{Budget: a.id, Wanted: amount, Unreachable: !answered}
	if a.shortage != nil {
		e.Available = a.shortage.Available
		e.HeldElsewhere = a.shortage.Held
		for _, holder := range a.shortage.Holders {
			e.Holders = append(e.Holders, holder.Holder)
		}
	}
	switch {
	case e.Unreachable:
		m.refusedUnreachable.Inc(1)
	case e.HeldElsewhere > 0:
		m.refusedHeld.Inc(1)
	default:
		m.refusedSpent.Inc(1)
	}
	m.opts.Logger.Info("refused", "budget", a.id, "wanted", amount, "available", e.Available,
		"held", e.HeldElsewhere, "unreachable", e.Unreachable)
	return e
}

// reservation implements [Reservation].
type reservation struct {
	manager    *Manager
	allocation *allocation
	key        record.RequestKey
	amount     record.Tokens
	once       sync.Once
	billed     <-chan struct{}
}

// Amount returns the amount reserved.
func (r *reservation) Amount() record.Tokens { return r.amount }

// Settle bills cost and frees the rest.
func (r *reservation) Settle(cost record.Tokens) {
	r.once.Do(func() { r.finish(cost, true) })
}

// Billed returns a channel that is closed once the settlement is in the log.
func (r *reservation) Billed() <-chan struct{} {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	return r.billed
}

// Release frees the whole amount.
func (r *reservation) Release() {
	r.once.Do(func() { r.finish(0, false) })
}

func (r *reservation) finish(cost record.Tokens, bill bool) {
	m, a := r.manager, r.allocation
	if cost > r.amount {
		m.opts.Logger.Info("cost capped", "budget", a.id, "cost", cost, "reserved", r.amount)
	}
	cost = min(max(0, cost), r.amount)
	m.mu.Lock()
	defer m.mu.Unlock()
	a.endReservation(time.Now(), r.amount, cost)
	if bill {
		m.settled.Inc(1)
		a.client.queueSettlement(a.id, r.key, cost)
		r.billed = a.client.settlementDone()
	}
	a.client.wake()
}
