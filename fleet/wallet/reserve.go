package wallet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants"
)

// Times of a reservation.
const (
	// claimWait is the usual time for a claim: three calls to the log. Other hosts
	// are asked after it.
	claimWait = 60 * time.Millisecond
	// lendWait bounds the time that another host waits for a claim of this one.
	lendWait = 100 * time.Millisecond
)

// Reserve implements grants.Reserver. It asks the log first, then the other hosts,
// and goes on waiting for the log if neither had it. The key is not needed, since
// each reservation is settled once, here.
func (w *Wallet) Reserve(ctx context.Context, budget record.BudgetID, _ record.RequestKey, amount record.Tokens, wait time.Duration) (grants.Reservation, error) {
	usual := claimWait + w.spacing()
	err := w.reserve(ctx, budget, amount, min(usual, wait))
	var refused *grants.RefusedError
	if errors.As(err, &refused) && w.borrow(ctx, budget, amount) {
		err = nil
	}
	if errors.As(err, &refused) && refused.Unreachable && wait > usual {
		err = w.reserve(ctx, budget, amount, wait-usual)
	}
	if err != nil {
		w.meters.refused.Inc(1)
		return nil, err
	}
	return &reservation{w: w, budget: budget, amount: amount}, nil
}

// reserve waits for what this host holds and claims. A wait that was in vain
// counts as a log that is out of reach.
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
		return &grants.RefusedError{Budget: budget, Wanted: amount, Unreachable: true, Outage: true}
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
		return w.abandon(p, me, &grants.RefusedError{Budget: budget, Wanted: amount, Unreachable: true})
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
	var refused *grants.RefusedError
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
	// What is free is set aside first: another request could take it meanwhile.
	w.mu.Lock()
	p := w.purse(budget)
	part := max(0, min(amount, p.Free))
	p.Reserve(part)
	w.mu.Unlock()
	missing := amount - part
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	got := record.Tokens(0)
	if missing > 0 {
		got = w.opt.Lender.Borrow(ctx, budget, missing)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.Add(got)
	w.meters.borrowed.Inc(int64(got))
	ok := p.Reserve(missing)
	if !ok {
		p.Settle(part, 0)
		if w.closing || p.cut {
			p.returnFree()
		}
	}
	w.serveWaiting(p)
	w.log.Info("Borrowed.", "budget", budget, "missing", missing, "got", got, "enough", ok)
	return ok
}

// Lend gives another host an amount, or what is free of it. A host that reaches
// the log claims for those that don't. The caller must hand it over: it counts as
// spent here.
func (w *Wallet) Lend(ctx context.Context, budget record.BudgetID, amount record.Tokens) record.Tokens {
	if amount <= 0 {
		return 0
	}
	err := w.reserve(ctx, budget, amount, lendWait)
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(budget)
	if err == nil {
		p.Settle(amount, amount)
	} else {
		amount = max(0, min(amount, p.Free))
		p.Remove(amount)
	}
	w.meters.lent.Inc(int64(amount))
	return amount
}

// Isolated tells whether the log is out of reach.
func (w *Wallet) Isolated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost || !w.synced
}

// reservation is an amount that is set aside for one request.
type reservation struct {
	w      *Wallet
	budget record.BudgetID
	amount record.Tokens
	once   sync.Once
}

// Amount implements grants.Reservation.
func (r *reservation) Amount() record.Tokens { return r.amount }

// Settle implements grants.Reservation.
func (r *reservation) Settle(cost record.Tokens) { r.end(cost) }

// Release implements grants.Reservation.
func (r *reservation) Release() { r.end(0) }

// Billed implements grants.Reservation. What is claimed is on record already, so
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
