package wallet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/bank"
)

// Reserve implements bank.Reserver. It asks the log first and then the other
// hosts; the key is not needed, since each reservation is settled once, here.
func (w *Wallet) Reserve(ctx context.Context, budget record.BudgetID, _ record.RequestKey, amount record.Tokens, wait time.Duration) (bank.Reservation, error) {
	err := w.reserve(ctx, budget, amount, wait)
	var refused *bank.RefusedError
	if errors.As(err, &refused) && w.borrow(ctx, budget, amount) {
		err = nil
	}
	if err != nil {
		w.meters.refused.Inc(1)
		return nil, err
	}
	return &reservation{w: w, budget: budget, amount: amount}, nil
}

func (w *Wallet) reserve(ctx context.Context, budget record.BudgetID, amount record.Tokens, wait time.Duration) error {
	w.mu.Lock()
	p := w.purse(budget)
	if len(p.waiting) == 0 && p.Reserve(amount) {
		w.mu.Unlock()
		return nil
	}
	if w.lost || !w.synced {
		defer w.mu.Unlock()
		w.nudge()
		return &bank.RefusedError{Budget: budget, Wanted: amount, Unreachable: true}
	}
	me := &waiter{amount: amount, done: make(chan error, 1)}
	p.waiting = append(p.waiting, me)
	w.mu.Unlock()
	w.nudge()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err := <-me.done:
		return err
	case <-timer.C:
		return w.abandon(p, me, &bank.RefusedError{Budget: budget, Wanted: amount, Unreachable: true})
	case <-ctx.Done():
		return w.abandon(p, me, context.Cause(ctx))
	}
}

// abandon ends a wait. What came in the meantime is not lost.
func (w *Wallet) abandon(p *purse, me *waiter, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := slices.Index(p.waiting, me); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
		return cause
	}
	err := <-me.done
	var refused *bank.RefusedError
	if err == nil && !errors.As(cause, &refused) {
		p.Settle(me.amount, 0) // nobody waits for it any more
		return cause
	}
	return err
}

// borrow reserves an amount with the help of other hosts.
func (w *Wallet) borrow(ctx context.Context, budget record.BudgetID, amount record.Tokens) bool {
	if w.opt.Lender == nil {
		return false
	}
	w.mu.Lock()
	missing := amount - w.purse(budget).Free
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	got := record.Tokens(0)
	if missing > 0 {
		got = w.opt.Lender.Borrow(ctx, budget, missing)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(budget)
	p.Free += got
	w.meters.borrowed.Inc(int64(got))
	ok := p.Reserve(amount)
	w.log.Info("Borrowed.", "budget", budget, "missing", missing, "got", got, "enough", ok)
	return ok
}

// Lend gives a part of what is free to another host, at most an amount. The
// caller must hand it over: it counts as spent here.
func (w *Wallet) Lend(budget record.BudgetID, amount record.Tokens) record.Tokens {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.purses[budget]
	if !ok || len(p.waiting) > 0 {
		return 0
	}
	lent := max(0, min(amount, p.Free))
	p.Free -= lent
	w.meters.lent.Inc(int64(lent))
	return lent
}

// reservation is an amount that is set aside for one request.
type reservation struct {
	w      *Wallet
	budget record.BudgetID
	amount record.Tokens
	once   sync.Once
}

// Amount implements bank.Reservation.
func (r *reservation) Amount() record.Tokens { return r.amount }

// Settle implements bank.Reservation.
func (r *reservation) Settle(cost record.Tokens) { r.end(cost) }

// Release implements bank.Reservation.
func (r *reservation) Release() { r.end(0) }

// Billed implements bank.Reservation. What is claimed is on record already, so
// there is nothing to wait for.
func (r *reservation) Billed() <-chan struct{} { return nil }

func (r *reservation) end(cost record.Tokens) {
	r.once.Do(func() {
		w := r.w
		w.mu.Lock()
		defer w.mu.Unlock()
		p := w.purse(r.budget)
		p.Settle(r.amount, cost)
		if w.closing || p.cut {
			p.returnFree()
		}
		w.serveWaiting(p)
	})
}
