package bank

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Reserve implements [Reserver].
func (b *Manager) Reserve(ctx context.Context, budget record.BudgetID, key record.RequestKey, amount record.Tokens, wait time.Duration) (Reservation, error) {
	if amount < 0 {
		return nil, fmt.Errorf("bank: negative amount %d", amount)
	}
	start := time.Now()
	defer func() { b.reserveWait.Update(time.Since(start).Microseconds()) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	h, err := b.holding(budget)
	if err != nil {
		return nil, err
	}
	if !h.take(start, amount) {
		if err := b.wait(ctx, h, amount, wait); err != nil {
			return nil, err
		}
	}
	h.account.wake()
	return &reservation{bank: b, holding: h, key: key, amount: amount}, nil
}

// wait queues a request until a grant covers it. The caller holds b.mu, which
// is released meanwhile.
func (b *Manager) wait(ctx context.Context, h *holding, amount record.Tokens, wait time.Duration) error {
	if err := b.refuseNow(h, amount); err != nil {
		return err
	}
	w := &waiter{amount: amount, done: make(chan error, 1)}
	h.waiters = append(h.waiters, w)
	h.account.wake()
	reserve := min(wait/2, lastAskTime)
	err := b.awaitUnlocked(ctx, w, wait-reserve)
	if errors.Is(err, errWaited) && !h.account.unreachable {
		w.lastAsk = time.Now()
		h.retryAt = w.lastAsk
		h.account.wake()
		err = b.awaitUnlocked(ctx, w, reserve)
	}
	if err == nil || !h.remove(w) {
		return w.verdict(err)
	}
	h.serve(time.Now())
	if ctx.Err() != nil {
		return err
	}
	return b.refusal(h, amount)
}

// awaitUnlocked waits for a verdict with b.mu released.
func (b *Manager) awaitUnlocked(ctx context.Context, w *waiter, wait time.Duration) error {
	b.mu.Unlock()
	defer b.mu.Lock()
	return w.await(ctx, wait)
}

// lastAskTime is the part of a request's wait that is kept for one last grant
// request, so that a refusal follows a fresh answer.
const lastAskTime = 300 * time.Millisecond

// errWaited reports internally that the wait for a grant has ended.
var errWaited = errors.New("bank: no grant in time")

// await waits for the verdict, at most for wait.
func (w *waiter) await(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		w.done <- err
		return err
	case <-timer.C:
		return errWaited
	case <-ctx.Done():
		return ctx.Err()
	}
}

// verdict returns the verdict of a waiter that has left the queue.
func (w *waiter) verdict(err error) error {
	select {
	case err = <-w.done:
	default:
	}
	return err
}

// refuseNow refuses at once while the budget is known to be spent.
func (b *Manager) refuseNow(h *holding, amount record.Tokens) error {
	if h.released {
		return b.refusal(h, amount)
	}
	if h.spent() && time.Now().Before(h.shortEnd) && len(h.waiters) == 0 && amount > h.free+h.short.Available {
		return b.refusal(h, amount)
	}
	return nil
}

// refusal describes why a request is refused, and counts it.
func (b *Manager) refusal(h *holding, amount record.Tokens) error {
	answered := h.short != nil && !h.account.unreachable
	e := &RefusedError{Budget: h.id, Wanted: amount, Unreachable: !answered}
	if h.short != nil {
		e.Available = h.short.Available
		e.HeldElsewhere = h.short.Held
		for _, holder := range h.short.Holders {
			e.Holders = append(e.Holders, holder.Holder)
		}
	}
	switch {
	case e.Unreachable:
		b.refusedUnreachable.Inc(1)
	case e.HeldElsewhere > 0:
		b.refusedHeld.Inc(1)
	default:
		b.refusedSpent.Inc(1)
	}
	b.opts.Logger.Info("refused", "budget", h.id, "wanted", amount, "available", e.Available,
		"held", e.HeldElsewhere, "unreachable", e.Unreachable)
	return e
}

// reservation implements [Reservation].
type reservation struct {
	bank    *Manager
	holding *holding
	key     record.RequestKey
	amount  record.Tokens
	once    sync.Once
	billed  <-chan struct{}
}

// Amount returns the amount reserved.
func (r *reservation) Amount() record.Tokens { return r.amount }

// Settle bills cost and frees the rest.
func (r *reservation) Settle(cost record.Tokens) {
	r.once.Do(func() { r.finish(cost, true) })
}

// Billed tells when the settlement is in the log.
func (r *reservation) Billed() <-chan struct{} {
	r.bank.mu.Lock()
	defer r.bank.mu.Unlock()
	return r.billed
}

// Release frees the whole amount.
func (r *reservation) Release() {
	r.once.Do(func() { r.finish(0, false) })
}

func (r *reservation) finish(cost record.Tokens, bill bool) {
	b, h := r.bank, r.holding
	if cost > r.amount {
		b.opts.Logger.Info("cost capped", "budget", h.id, "cost", cost, "reserved", r.amount)
	}
	cost = min(max(0, cost), r.amount)
	b.mu.Lock()
	defer b.mu.Unlock()
	h.finish(time.Now(), r.amount, cost)
	if bill {
		b.settled.Inc(1)
		h.account.queueSettlement(h.id, r.key, cost)
		r.billed = h.account.settlementDone()
	}
	h.account.wake()
}
