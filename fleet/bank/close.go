package bank

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// closePoll is the time between looks at the reservations that are still open.
const closePoll = 20 * time.Millisecond

// quietTime is how long a host does not ask ahead of need after a recall.
const quietTime = 2 * time.Second

// errOpen reports that requests still ran when the time to close was up.
var errOpen = errors.New("bank: reservations are still open")

// GiveBack implements shard.Returner: it returns the free amount of a budget
// and waits until the return has been read back.
func (b *Manager) GiveBack(ctx context.Context, budget record.BudgetID) (record.Tokens, error) {
	b.mu.Lock()
	h, ok := b.budgets[budget]
	if !ok || h.free <= 0 || h.lastAsking() {
		b.mu.Unlock()
		return 0, nil
	}
	amount := h.free
	h.giveBack(amount)
	h.quietUntil = time.Now().Add(quietTime)
	done := h.account.hurry()
	b.mu.Unlock()
	b.opts.Logger.Info("recalled", "budget", budget, "amount", amount)
	select {
	case <-done:
		return amount, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-b.ctx.Done():
		return 0, ErrClosed
	}
}

// Close refuses new requests, waits for the running ones, settles them all and
// returns every grant with a closing report for each shard. If ctx ends first,
// the grants of requests that still run stay with this host and Close says so.
// The bank does nothing more afterwards.
func (b *Manager) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	for _, h := range b.budgets {
		for _, w := range h.waiters {
			w.done <- ErrClosed
		}
		h.waiters = nil
	}
	b.mu.Unlock()
	defer b.wg.Wait()
	defer b.stop()
	idle := b.awaitIdle(ctx)
	return errors.Join(idle, b.closeAccounts(ctx))
}

// Stop ends the bank at once. What was not reported is lost and the grants stay
// with this incarnation, as when the process dies.
func (b *Manager) Stop() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.stop()
	b.wg.Wait()
}

// awaitIdle waits until no reservation is open.
func (b *Manager) awaitIdle(ctx context.Context) error {
	for b.openReservations() > 0 {
		if !sleepFor(ctx, closePoll) {
			return fmt.Errorf("%w: %w", errOpen, ctx.Err())
		}
	}
	return nil
}

func (b *Manager) openReservations() record.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum record.Tokens
	for _, h := range b.budgets {
		sum += h.reserved
	}
	return sum
}

// closeAccounts sends the last report of each shard and waits for all.
func (b *Manager) closeAccounts(ctx context.Context) error {
	b.mu.Lock()
	var waits []<-chan struct{}
	for _, a := range b.accounts {
		waits = append(waits, a.close())
	}
	b.mu.Unlock()
	var errs []error
	for _, done := range waits {
		select {
		case <-done:
		case <-ctx.Done():
			errs = append(errs, fmt.Errorf("bank: a last report was not read back: %w", ctx.Err()))
		}
	}
	return errors.Join(errs...)
}

// close puts the return of all free amounts into the next report. The report
// closes the holder if no request still runs. The caller holds the bank's mutex.
func (a *account) close() <-chan struct{} {
	open := false
	for _, h := range a.holdings {
		open = open || h.reserved > 0
		if h.free > 0 {
			h.giveBack(h.free)
		}
	}
	a.draft.Closing = !open
	if a.emptyDraft() {
		done := make(chan struct{})
		close(done)
		return done
	}
	return a.hurry()
}
