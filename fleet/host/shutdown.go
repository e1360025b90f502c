package host

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// leavePoll is the interval at which the end of entry answers is looked up.
const leavePoll = 100 * time.Millisecond

// Shutdown stops the host without cutting off a request: it leaves the fleet,
// serves until the entry answers that name it have lapsed, waits for the
// requests in flight and gives its grants back. Then Run returns. If ctx ends
// first the host stops all the same and Shutdown tells what was left open.
func (h *Host) Shutdown(ctx context.Context) error {
	defer close(h.drained)
	logger := h.logger.WithName("host")
	logger.Info("leaving")
	h.members.SetLeaving()
	h.entry.Leave()
	if err := h.awaitLapse(ctx); err != nil {
		return err
	}
	logger.Info("entry answers have lapsed", "running", h.gateway.Running())
	drainErr := h.gateway.Drain(ctx)
	closeErr := h.bank.Close(ctx)
	if err := errors.Join(drainErr, closeErr); err != nil {
		return fmt.Errorf("host: stopped with work left: %w", err)
	}
	logger.Info("stopped, all grants returned")
	return nil
}

func (h *Host) awaitLapse(ctx context.Context) error {
	for time.Now().Before(h.entry.AnswersExpireAt()) {
		timer := time.NewTimer(leavePoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("host: stopped before its entry answers lapsed: %w", ctx.Err())
		}
	}
	return nil
}
