package host

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// lapsePollInterval is the interval at which Shutdown checks whether the entry
// answers have lapsed.
const lapsePollInterval = 100 * time.Millisecond

// Shutdown stops the host without interrupting a request. It announces that the
// host is leaving the fleet, serves until the entry answers that name the host
// have lapsed, closes the callers' address, waits for the requests that have arrived,
// returns the grants and waits until its answers to other hosts and operators are written.
// Then Run returns. If ctx ends first, the host stops all the same and Shutdown returns an
// error that names the unfinished work.
func (h *Host) Shutdown(ctx context.Context) error {
	defer close(h.drained)
	logger := h.logger.WithName("host")
	logger.Info("leaving")
	h.members.SetLeaving()
	h.entry.Leave()
	if err := h.awaitEntryLapse(ctx); err != nil {
		return err
	}
	logger.Info("entry answers have lapsed", "running", h.gateway.Running())
	h.gateway.SetDraining()
	drainErr := errors.Join(h.callers.Shutdown(ctx), h.gateway.Drain(ctx))
	closeErr := h.grants.Close(ctx)
	// Until the grants are returned, other hosts have to see that this one lives.
	if err := errors.Join(drainErr, closeErr, h.shutDownServers(ctx)); err != nil {
		return fmt.Errorf("host: stopped with work left: %w", err)
	}
	logger.Info("stopped, all grants returned")
	return nil
}

// shutDownServers waits until the answers to other hosts and operators are written.
func (h *Host) shutDownServers(ctx context.Context) error {
	operators := make(chan error, 1)
	go func() { operators <- h.operators.Shutdown(ctx) }()
	return errors.Join(h.hosts.Shutdown(ctx), <-operators)
}

// awaitEntryLapse waits until the entry answers that name this host have lapsed.
func (h *Host) awaitEntryLapse(ctx context.Context) error {
	for time.Now().Before(h.entry.AnswersExpireAt()) {
		timer := time.NewTimer(lapsePollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("host: stopped before its entry answers lapsed: %w", ctx.Err())
		}
	}
	return nil
}
