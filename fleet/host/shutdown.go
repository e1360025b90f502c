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
// Then Run returns. A request that may take longer than ctx is refused if it arrives after callers were to use
// other hosts, and one that still waits at the host as ctx ends. If ctx ends first, the host stops all the same and Shutdown returns an
// error that names the unfinished work.
func (h *Host) Shutdown(ctx context.Context) error {
	defer close(h.drained)
	logger := h.logger.WithName("host")
	logger.Info("leaving")
	h.members.SetLeaving()
	h.entry.Leave()
	drainErr := h.drain(ctx)
	closeErr := h.grants.Close(ctx)
	// Until the grants are returned, other hosts have to see that this one lives.
	if err := errors.Join(drainErr, closeErr, h.shutDownServers(ctx)); err != nil {
		return fmt.Errorf("host: stopped with work left: %w", err)
	}
	logger.Info("stopped, all grants returned")
	return nil
}

// refusalTime is the part of the time to stop for the refusals of requests that outlast it.
const refusalTime = 500 * time.Millisecond

// drain waits until callers no longer use this host and all requests are answered. Those that still wait at
// the host shortly before ctx ends are refused.
func (h *Host) drain(ctx context.Context) error {
	answerCtx := ctx
	if deadline, ok := ctx.Deadline(); ok {
		end := deadline.Add(-refusalTime)
		h.gateway.SetEnd(h.entry.AnswersExpireAt, end)
		var cancel context.CancelFunc
		answerCtx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	lapseErr := h.awaitEntryLapse(answerCtx)
	h.logger.WithName("host").Info("closing the callers' address", "running", h.gateway.Running())
	h.gateway.SetDraining()
	if errors.Join(lapseErr, h.callers.Shutdown(answerCtx), h.gateway.Drain(answerCtx)) == nil {
		return nil
	}
	h.gateway.RefuseWaiting()
	return errors.Join(lapseErr, h.callers.Shutdown(ctx), h.gateway.Drain(ctx))
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
