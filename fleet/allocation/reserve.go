package allocation

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants"
)

const (
	// claimWait is the time, beside the pause between rounds, for which a request waits for a claim
	// while the log answers: four calls that are not overdue yet take about as long. After it, the
	// other hosts are asked.
	claimWait = 300 * time.Millisecond
	// lendWait bounds the time that a borrowing host waits for a claim of this host.
	lendWait = 100 * time.Millisecond
)

// Reserve implements grants.Reserver. It uses the host's allocation and claims from the
// log first. It borrows from other hosts if the log is unreachable or slow or the budget is claimed
// by others, but not if only this host is late, and waits for the log again if the others had too
// little. The request key is not needed, since each reservation is settled once, by this host. It
// returns a *grants.RefusedError, or the cause of ctx.
func (m *Manager) Reserve(ctx context.Context, budget record.BudgetID, _ record.RequestKey, amount record.Tokens, wait time.Duration) (grants.Reservation, error) {
	began := time.Now()
	firstWait := min(wait, claimWait+m.spacing())
	err := m.reserve(ctx, budget, amount, firstWait)
	var refused *grants.RefusedError
	onlyLate := time.Since(began) >= firstWait && m.late(firstWait)
	if errors.As(err, &refused) && !onlyLate && m.borrow(ctx, budget, amount) {
		err = nil
	}
	if left := wait - time.Since(began); left > 0 && errors.As(err, &refused) && refused.Unreachable {
		err = m.reserve(ctx, budget, amount, left)
	}
	if err != nil {
		m.meters.refused.Inc(1)
		return nil, err
	}
	return &reservation{m: m, budget: budget, amount: amount}, nil
}

// reserve reserves an amount from this host's allocation and waits for a claim if too
// little is free. The wait ends when the log is found to be unreachable.
func (m *Manager) reserve(ctx context.Context, budget record.BudgetID, amount record.Tokens, wait time.Duration) error {
	if amount < 0 || amount > record.MaxTokens {
		return &grants.RefusedError{Budget: budget, Wanted: amount}
	}
	m.mu.Lock()
	alloc := m.allocation(budget)
	if len(alloc.waiting) == 0 && alloc.Reserve(amount) {
		m.mu.Unlock()
		return nil
	}
	if m.logUnreachable || !m.synced {
		defer m.mu.Unlock()
		m.wakeRun()
		return &grants.RefusedError{Budget: budget, Wanted: amount, Unreachable: true, Outage: true}
	}
	entry := &waiter{amount: amount, done: make(chan error, 1)}
	alloc.waiting = append(alloc.waiting, entry)
	m.mu.Unlock()
	m.wakeRun()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err := <-entry.done:
		return err
	case <-timer.C:
		return m.abandon(alloc, entry, &grants.RefusedError{Budget: budget, Wanted: amount, Unreachable: true})
	case <-ctx.Done():
		return m.abandon(alloc, entry, context.Cause(ctx))
	}
}

// abandon ends a wait. A reservation made in the meantime is kept after a timeout and
// released if the caller has left.
func (m *Manager) abandon(alloc *allocation, entry *waiter, cause error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at := slices.Index(alloc.waiting, entry); at >= 0 {
		alloc.waiting = slices.Delete(alloc.waiting, at, at+1)
		return cause
	}
	err := <-entry.done
	var refused *grants.RefusedError
	if err == nil && !errors.As(cause, &refused) {
		alloc.Settle(entry.amount, 0) // the caller has left
		return cause
	}
	return err
}

// borrow reserves an amount, of which other hosts lend what is not free here. It reports
// whether the reservation was made.
func (m *Manager) borrow(ctx context.Context, budget record.BudgetID, amount record.Tokens) bool {
	if m.opt.Borrower == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	select {
	case m.loanSem <- struct{}{}:
		defer func() { <-m.loanSem }()
	case <-ctx.Done():
		return false
	}
	// The free amount is reserved first, so that no other request takes it meanwhile.
	m.mu.Lock()
	alloc := m.allocation(budget)
	setAside := max(0, min(amount, alloc.Free))
	alloc.Reserve(setAside)
	m.mu.Unlock()
	missing := amount - setAside
	got := record.Tokens(0)
	if missing > 0 {
		got = min(max(0, m.opt.Borrower.Borrow(ctx, budget, missing)), missing)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	alloc.Add(got)
	m.meters.borrowed.Inc(int64(got))
	ok := alloc.Reserve(missing)
	if !ok {
		alloc.Settle(setAside, 0)
		if m.closing || alloc.overclaimed {
			alloc.returnFree()
		}
	}
	m.serveWaiting(alloc)
	m.log.Info("Borrowed.", "budget", budget, "missing", missing, "got", got, "enough", ok)
	return ok
}

// Lend takes an amount out of the allocation for another host and returns it. It waits for
// a claim if too little is free, so that a host with access to the log claims for those
// without, and then lends the free part. A host without access lends all of the amount or
// nothing: parts too small for a request would go round among the hosts in an outage, and
// serve none. The amount counts as spent here, so the caller must hand it over.
func (m *Manager) Lend(ctx context.Context, budget record.BudgetID, amount record.Tokens) record.Tokens {
	m.mu.Lock()
	amount = min(amount, m.allocation(budget).prepaid)
	m.mu.Unlock()
	if amount <= 0 {
		return 0
	}
	err := m.reserve(ctx, budget, amount, lendWait)
	m.mu.Lock()
	defer m.mu.Unlock()
	alloc := m.allocation(budget)
	switch {
	case err == nil:
		alloc.Settle(amount, amount)
	case m.logUnreachable:
		amount = 0
	default:
		amount = max(0, min(amount, alloc.Free))
		alloc.Remove(amount)
	}
	m.meters.lent.Inc(int64(amount))
	return amount
}

// Isolated reports whether the log is unreachable or the claims have not been read yet.
func (m *Manager) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.logUnreachable || !m.synced
}

// reservation is an amount reserved for one request. It is settled or released once.
type reservation struct {
	m      *Manager
	budget record.BudgetID
	amount record.Tokens
	once   sync.Once
}

// Amount implements grants.Reservation.
func (r *reservation) Amount() record.Tokens { return r.amount }

// Settle implements grants.Reservation.
func (r *reservation) Settle(cost record.Tokens) { r.settleOnce(cost) }

// Release implements grants.Reservation.
func (r *reservation) Release() { r.settleOnce(0) }

// Billed implements grants.Reservation. It returns nil: claims are in the log before they
// are spent, so there is nothing to wait for.
func (r *reservation) Billed() <-chan struct{} { return nil }

func (r *reservation) settleOnce(cost record.Tokens) {
	r.once.Do(func() {
		m := r.m
		m.mu.Lock()
		defer m.mu.Unlock()
		alloc := m.allocation(r.budget)
		alloc.Settle(r.amount, cost)
		if m.closing || alloc.overclaimed {
			alloc.returnFree()
		}
		m.serveWaiting(alloc)
	})
}
