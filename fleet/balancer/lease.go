package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/fleet/exchange"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

// Lease allows one attempt to send a request to an upstream. End must be called.
type Lease struct {
	balance.Choice
	Conns    *exchange.Pool
	balancer *Balancer
	service  string
	attempt  balance.AttemptID
	// startsAt is when the upstream's limit allows the request to be sent.
	startsAt time.Time

	mu        sync.Mutex
	started   bool
	startedAt time.Time
	ended     bool
	// givenUp is true once the attempt is cancelled because its answer has not started.
	givenUp bool
	// passedOn is true once the caller has a part of the answer, which may be before its first event.
	passedOn   bool
	stallTimer *time.Timer
}

// AwaitStart waits until the upstream's limit allows the request to be sent. It returns
// false if ctx ends before, or if the upstream takes no requests any more.
func (l *Lease) AwaitStart(ctx context.Context) bool {
	if l.Delay <= 0 {
		return true
	}
	timer := time.NewTimer(time.Until(l.startsAt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[l.service]
	return ok && s.pool.Accepts(l.Upstream, time.Now())
}

func (l *Lease) recordEvent(kind gossip.EventKind, o balance.Outcome) {
	e := gossip.Event{Kind: kind, Seq: l.attempt.Seq, Upstream: gossip.UpstreamHash(l.Upstream), Outcome: o}
	l.balancer.mu.Lock()
	defer l.balancer.mu.Unlock()
	if kind == gossip.Ended {
		delete(l.balancer.running, l.attempt.Seq)
	}
	if s, ok := l.balancer.services[l.service]; ok {
		l.balancer.apply(s, l.attempt, l.Upstream, e, time.Now())
	}
	l.balancer.opt.Broadcast(e)
}

// OnStall calls stalled if the answer has not started after a time, and then giveUp, unless that is nil
// or the answer has started meanwhile. The stall counts as a fault of the upstream, whatever the later
// outcome of the request.
func (l *Lease) OnStall(after time.Duration, stalled, giveUp func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stallTimer = time.AfterFunc(after, func() {
		l.mu.Lock()
		done := l.started || l.ended
		l.mu.Unlock()
		if done {
			return
		}
		l.recordEvent(gossip.Stalled, balance.Failed)
		stalled()
		if giveUp != nil && l.markGivenUp() {
			giveUp()
		}
	})
}

// markGivenUp reports whether the attempt may be cancelled. Its answer can't start any more then.
func (l *Lease) markGivenUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.givenUp = !l.started && !l.passedOn && !l.ended
	return l.givenUp
}

// PassOn records that a part of the answer without an event is passed on. It returns false if the attempt
// was given up before.
func (l *Lease) PassOn() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passedOn = !l.givenUp
	return l.passedOn
}

// FirstEvent records the start of the answer. It returns false if the attempt was given up before.
func (l *Lease) FirstEvent() bool {
	l.mu.Lock()
	if l.givenUp {
		l.mu.Unlock()
		return false
	}
	started := l.started
	if !started {
		l.started, l.startedAt = true, time.Now()
	}
	if l.stallTimer != nil {
		l.stallTimer.Stop()
	}
	l.mu.Unlock()
	if !started {
		l.recordEvent(gossip.FirstEvent, balance.Neutral)
		l.balancer.observeLatency(l)
	}
	return true
}

// minIntervalEvents is the minimum number of events whose mean interval indicates the
// load.
const minIntervalEvents = 4

// ObserveEvents records the mean interval between events. events is the number of events
// since the start of the answer.
func (l *Lease) ObserveEvents(events int64) {
	l.mu.Lock()
	started, at := l.started, l.startedAt
	l.mu.Unlock()
	if !started || events < minIntervalEvents {
		return
	}
	l.balancer.mu.Lock()
	defer l.balancer.mu.Unlock()
	if s, ok := l.balancer.services[l.service]; ok {
		s.pool.ObserveEventInterval(time.Since(at) / time.Duration(events-1))
	}
}

// observeLatency compares the time to the start of an answer with its estimate.
func (b *Balancer) observeLatency(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.services[l.service]; ok {
		s.pool.ObserveLatency(l.Choice, time.Since(l.startsAt))
	}
}

// End ends the lease and records the outcome of the attempt.
func (l *Lease) End(o balance.Outcome) {
	l.mu.Lock()
	l.ended = true
	if l.stallTimer != nil {
		l.stallTimer.Stop()
	}
	l.mu.Unlock()
	l.recordEvent(gossip.Ended, o)
}
