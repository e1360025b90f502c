package upstream

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/route"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// lease implements dispatch.Lease.
type lease struct {
	service   *service
	worker    *worker
	routed    *route.Worker
	up        settings.Upstream
	transport *transport
	decision  dispatch.Decision
	once      sync.Once
}

// Upstream returns the settings of the upstream.
func (l *lease) Upstream() settings.Upstream { return l.up }

// Transport returns the upstream's connection pool.
func (l *lease) Transport() http.RoundTripper { return l.transport }

// Decision tells how the upstream was chosen.
func (l *lease) Decision() dispatch.Decision { return l.decision }

// Done ends the lease.
func (l *lease) Done(r dispatch.Result) {
	l.once.Do(func() { l.service.finish(l, r, time.Now()) })
}

// finish takes in the result of an attempt and serves the next in the queue.
func (s *service) finish(l *lease, r dispatch.Result, now time.Time) {
	if silent(r) {
		l.transport.reset()
		s.pool.metrics.silent.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := l.routed.InFlight()
	before := l.routed.State()
	s.router.Finish(l.routed, s.outcomeOf(r), now)
	if r.Load != nil {
		s.observe(l.up.ID, *r.Load, now)
	}
	s.adapt(l.worker, r, inFlight, now)
	s.router.SetLimit(l.up.ID, l.worker.limiter.Limit())
	if !r.Cancelled && r.Latency > 0 {
		s.rate.observe(r.Latency)
	}
	if after := l.routed.State(); after != before {
		s.pool.logState(s.name, l.up.ID, before, after)
	}
	s.dispatch(now)
}

func (s *service) observe(id string, load dispatch.LoadReport, now time.Time) {
	s.router.Observe(id, route.Report{Load: load.Running + load.Waiting, Slots: load.Slots}, now)
}

func (s *service) adapt(w *worker, r dispatch.Result, inFlight int, now time.Time) {
	if overloaded(r.Status) || congested(r.Load) {
		w.limiter.ObserveOverload(now)
		return
	}
	if r.Err == nil && !r.Cancelled {
		w.limiter.Observe(r.FirstByte, inFlight, now)
	}
}

// congested tells whether an upstream holds more requests in its own queue than
// it needs to stay busy. Its queue is not fair, so requests wait here instead.
func congested(load *dispatch.LoadReport) bool {
	return load != nil && load.Slots > 0 && load.Waiting*waitingPerSlots > load.Slots
}

// waitingPerSlots is the number of slots for each request that may wait there.
const waitingPerSlots = 16

func overloaded(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// outcomeOf tells what a result says about the health of the upstream. A
// refusal for lack of capacity is no failure; the limiter answers to it. The
// caller holds s.mu.
func (s *service) outcomeOf(r dispatch.Result) route.Outcome {
	switch {
	case r.Cancelled && s.hung(r):
		return route.Failed
	case r.Cancelled, overloaded(r.Status):
		return route.Neutral
	case r.Err != nil, r.Status >= http.StatusInternalServerError:
		return route.Failed
	}
	return route.Succeeded
}

// minHung is the least time without an answer that counts as a failure.
const minHung = 2 * time.Second

// hung tells whether a caller gave up on an upstream that had not answered in
// the time in which others end whole requests.
func (s *service) hung(r dispatch.Result) bool {
	return r.Started && r.FirstByte == 0 && r.Latency >= max(minHung, s.rate.usual())
}

// silent tells whether the connection stopped delivering.
func silent(r dispatch.Result) bool {
	if r.Silent {
		return true
	}
	var timeout net.Error
	return errors.As(r.Err, &timeout) && timeout.Timeout()
}
