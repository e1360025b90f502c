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

// Times of a reservation.
const (
	// claimWait is the usual time for a claim: three calls to the log. Other hosts
	// are asked after it.
	claimWait = 60 * time.Millisecond
	// lendWait bounds the time that another host waits for a claim of this one.
	lendWait = 100 * time.Millisecond
)

// Reserve implements bank.Reserver. It asks the log first, then the other hosts,
// and goes on waiting for the log if neither had it. The key is not needed, since
// each reservation is settled once, here.
func (w *Wallet) Reserve(ctx context.Context, budget record.BudgetID, _ record.RequestKey, amount record.Tokens, wait time.Duration) (bank.Reservation, error) {
	firstWait := claimWait + w.spacing()
	err := w.reserve(ctx, budget, amount, min(firstWait, wait))
	var refused *bank.RefusedError
	if errors.As(err, &refused) && w.borrow(ctx, budget, amount) {
		err = nil
	}
	if errors.As(err, &refused) && refused.Unreachable && wait > firstWait {
		err = w.reserve(ctx, budget, amount, wait-firstWait)
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
	alloc := w.allocation(budget)
	if len(alloc.waiting) == 0 && alloc.Reserve(amount) {
		w.mu.Unlock()
		return nil
	}
	if w.logUnreachable || !w.synced {
		defer w.mu.Unlock()
		w.wakeRun()
		return &bank.RefusedError{Budget: budget, Wanted: amount, Unreachable: true, Outage: true}
	}
	entry := &waiter{amount: amount, done: make(chan error, 1)}
	alloc.waiting = append(alloc.waiting, entry)
	w.mu.Unlock()
	w.wakeRun()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err := <-entry.done:
		return err
	case <-timer.C:
		return w.abandon(alloc, entry, &bank.RefusedError{Budget: budget, Wanted: amount, Unreachable: true})
	case <-ctx.Done():
		return w.abandon(alloc, entry, context.Cause(ctx))
	}
}

// abandon ends a wait. What came in the meantime is not lost.
func (w *Wallet) abandon(alloc *allocation, entry *waiter, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := slices.Index(alloc.waiting, entry); at >= 0 {
		alloc.waiting = slices.Delete(alloc.waiting, at, at+1)
		return cause
	}
	err := <-entry.done
	var refused *bank.RefusedError
	if err == nil && !errors.As(cause, &refused) {
		alloc.Settle(entry.amount, 0) // nobody waits for it any more
		return cause
	}
	return err
}

// borrow reserves an amount with the help of other hosts.
func (w *Wallet) borrow(ctx context.Context, budget record.BudgetID, amount record.Tokens) bool {
	if w.opt.Borrower == nil {
		return false
	}
	// What is free is set aside first: another request could take it meanwhile.
	w.mu.Lock()
	alloc := w.allocation(budget)
	setAside := max(0, min(amount, alloc.Free))
	alloc.Reserve(setAside)
	w.mu.Unlock()
	missing := amount - setAside
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	got := record.Tokens(0)
	if missing > 0 {
		got = w.opt.Borrower.Borrow(ctx, budget, missing)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	alloc.Add(got)
	w.meters.borrowed.Inc(int64(got))
	ok := alloc.Reserve(missing)
	if !ok {
		alloc.Settle(setAside, 0)
		if w.closing || alloc.overclaimed {
			alloc.returnFree()
		}
	}
	w.serveWaiting(alloc)
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
	alloc := w.allocation(budget)
	if err == nil {
		alloc.Settle(amount, amount)
	} else {
		amount = max(0, min(amount, alloc.Free))
		alloc.Remove(amount)
	}
	w.meters.lent.Inc(int64(amount))
	return amount
}

// Isolated tells whether the log is out of reach.
func (w *Wallet) Isolated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logUnreachable || !w.synced
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
func (r *reservation) Settle(cost record.Tokens) { r.settleOnce(cost) }

// Release implements bank.Reservation.
func (r *reservation) Release() { r.settleOnce(0) }

// Billed implements bank.Reservation. What is claimed is on record already, so
// there is nothing to wait for.
func (r *reservation) Billed() <-chan struct{} { return nil }

func (r *reservation) settleOnce(cost record.Tokens) {
	r.once.Do(func() {
		w := r.w
		w.mu.Lock()
		defer w.mu.Unlock()
		alloc := w.allocation(r.budget)
		alloc.Settle(r.amount, cost)
		if w.closing || alloc.overclaimed {
			alloc.returnFree()
		}
		w.serveWaiting(alloc)
	})
}
