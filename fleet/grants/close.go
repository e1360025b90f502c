package grants

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// closePollInterval is the time between checks for open reservations during Close.
const closePollInterval = 20 * time.Millisecond

// prefetchPause is the time after a recall in which the host requests no grant
// ahead of need.
const prefetchPause = 2 * time.Second

// errReservationsOpen reports that requests still ran when Close timed out.
var errReservationsOpen = errors.New("grants: reservations are still open")

// GiveBack implements shard.Returner: it returns the free amount of a budget
// and waits until the return has been read back.
func (m *Manager) GiveBack(ctx context.Context, budget record.BudgetID) (record.Tokens, error) {
	m.mu.Lock()
	a, ok := m.budgets[budget]
	if !ok || a.free <= 0 || a.onLastRequest() {
		m.mu.Unlock()
		return 0, nil
	}
	amount := a.free
	a.returnFree(amount)
	a.prefetchPausedUntil = time.Now().Add(prefetchPause)
	done := a.client.flushNow()
	m.mu.Unlock()
	m.opts.Logger.Info("recalled", "budget", budget, "amount", amount)
	select {
	case <-done:
		return amount, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-m.ctx.Done():
		return 0, ErrClosed
	}
}

// Close refuses new requests, waits for the running ones, settles them all and
// returns every grant with a closing report for each shard. If ctx ends first,
// the grants of requests that still run stay with this host and Close returns an
// error. The manager is stopped afterwards.
func (m *Manager) Close(ctx context.Context) error {
	m.mu.Lock()
	m.closed = true
	for _, a := range m.budgets {
		for _, w := range a.waiters {
			w.done <- ErrClosed
		}
		a.waiters = nil
	}
	m.mu.Unlock()
	defer m.wg.Wait()
	defer m.stop()
	idle := m.awaitIdle(ctx)
	return errors.Join(idle, m.closeShards(ctx))
}

// Stop stops the manager at once. Unreported settlements are lost and the grants
// stay with this incarnation, as after a crash.
func (m *Manager) Stop() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.stop()
	m.wg.Wait()
}

// awaitIdle waits until no reservation is open.
func (m *Manager) awaitIdle(ctx context.Context) error {
	for m.openReservations() > 0 {
		if !sleepFor(ctx, closePollInterval) {
			return fmt.Errorf("%w: %w", errReservationsOpen, ctx.Err())
		}
	}
	return nil
}

func (m *Manager) openReservations() record.Tokens {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum record.Tokens
	for _, a := range m.budgets {
		sum += a.reserved
	}
	return sum
}

// closeShards sends the last report to each shard and waits until all are read
// back.
func (m *Manager) closeShards(ctx context.Context) error {
	m.mu.Lock()
	var waits []<-chan struct{}
	for _, c := range m.clients {
		waits = append(waits, c.close())
	}
	m.mu.Unlock()
	var errs []error
	for _, done := range waits {
		select {
		case <-done:
		case <-ctx.Done():
			errs = append(errs, fmt.Errorf("grants: a last report was not read back: %w", ctx.Err()))
		}
	}
	return errors.Join(errs...)
}

// close adds the return of all free amounts to the next report and sends it. The
// report closes the holder if no request still runs. The caller holds the
// manager's mutex.
func (c *shardClient) close() <-chan struct{} {
	open := false
	for _, a := range c.allocations {
		open = open || a.reserved > 0
		if a.free > 0 {
			a.returnFree(a.free)
		}
	}
	c.draft.Closing = !open
	if c.emptyDraft() {
		done := make(chan struct{})
		close(done)
		return done
	}
	return c.flushNow()
}
