package relayhost

import (
	"context"
	"errors"
	"time"

	"github.com/hazelworks/hazelworks/core/knownfault"
)

var errStopped = errors.New("relayhost: stopped")

// Stop starts a graceful stop; Run returns when it is complete.
func (h *Host) Stop() {
	if !h.leaving.CompareAndSwap(false, true) {
		return
	}
	limit := h.bounds.Load().Grace - graceMargin
	h.leave = leaveTimes{began: time.Now(), limit: limit, stay: min(lingerTTLs*directoryTTL, time.Duration(maxLingerShare*float64(limit)))}
	// Set now, since timers and goroutines of a host at its limit are late too.
	h.relay.SetEnd(h.leave.began.Add(h.leave.stay-signalDelay), h.leave.began.Add(limit))
	close(h.stop)
}

// leaveTimes are the times of a stop.
type leaveTimes struct {
	// began is when the signal was noticed.
	began time.Time
	// limit is the time from there to the last answer.
	limit time.Duration
	// stay is the time for which callers may take the host for a sound one.
	stay time.Duration
}

// Parts of the time between the signal to stop and the forced kill.
const (
	// lingerTTLs is how long callers may keep a directory answer, in multiples of its
	// TTL.
	lingerTTLs = 3
	// maxLingerShare bounds that wait, as a share of the time to stop: the rest is for the
	// last answers.
	maxLingerShare = 0.5
	// graceMargin is reserved for the exit of the process itself.
	graceMargin = 700 * time.Millisecond
	// signalDelay is the time that the signal may take to reach a host whose processor is at its
	// limit. It is subtracted from the time for which callers may take the host for a sound one.
	signalDelay = 250 * time.Millisecond
	// refusalTime is the part of it for the refusals of requests that outlast the host.
	refusalTime = 200 * time.Millisecond
	// releaseTime is reserved for the last writes of the budgets, beside answers that take
	// as long as there is time.
	releaseTime = 500 * time.Millisecond
)

// announceLeave writes to the log that this host leaves. Callers' time to leave doesn't wait for it:
// other hosts learn it from this one too.
func (h *Host) announceLeave(ctx context.Context, began time.Time) {
	if err := h.putSelf(ctx); err != nil {
		h.log.Info("Leaving could not be announced.", "error", err.Error(), "took", time.Since(began))
		return
	}
	h.log.Info("Leave announced.", "took", time.Since(began))
}

// awaitLeave waits for a call of Stop, then until callers no longer use this host and all
// answers are complete.
func (h *Host) awaitLeave(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-h.stop:
	}
	began, limit := h.leave.began, h.leave.limit
	h.log.Info("Leaving.", "grace", h.bounds.Load().Grace, "in_progress", h.relay.LogInProgress(false))
	if knownfault.CutOnStop {
		return errStopped
	}
	ctx, cancel := context.WithDeadline(ctx, began.Add(limit))
	defer cancel()
	h.hosts.mu.Lock()
	h.hosts.table.SetLeaving()
	h.hosts.mu.Unlock()
	h.relay.SetDraining()
	go h.announceLeave(ctx, began)
	linger := time.NewTimer(time.Until(began.Add(h.leave.stay)))
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	h.log.Info("Closing callers' connections.", "after", time.Since(began))
	h.budgets.Drain()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if err := h.callers.Shutdown(ctx); err != nil {
			h.log.Info("Answers were cut off.", "error", err.Error())
		}
		now := time.Now()
		h.relay.SetEnd(now, now) // other hosts forward nothing more
		// The last part of an answer is written after its request has ended.
		if err := errors.Join(h.relay.Wait(ctx), h.peers.Shutdown(ctx)); err != nil {
			h.log.Info("Answers to callers of other hosts were cut off.", "error", err.Error())
		}
	}()
	release := time.NewTimer(limit - releaseTime - time.Since(began))
	defer release.Stop()
	select {
	case <-answered:
	case <-release.C:
	}
	if err := h.budgets.Close(ctx); err != nil {
		h.log.Info("Budgets were not released.", "error", err.Error())
	}
	<-answered
	cutOff := h.relay.LogInProgress(true)
	if cutOff > 0 {
		h.endRequests()
	}
	h.log.Info("Left.", "took", time.Since(began), "cut_off", cutOff)
	return errStopped
}

// endRequests ends the requests that outlast the host, and gives those the time for an answer that can be
// refused.
func (h *Host) endRequests() {
	h.relay.End()
	ctx, cancel := context.WithTimeout(context.Background(), refusalTime)
	defer cancel()
	if err := errors.Join(h.callers.Shutdown(ctx), h.peers.Shutdown(ctx)); err != nil {
		h.log.Info("Refusals were cut off.", "error", err.Error())
	}
}
