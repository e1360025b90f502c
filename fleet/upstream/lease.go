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

// lease implements [dispatch.Lease].
type lease struct {
	service    *service
	state      *upstreamState
	routeState *route.UpstreamState
	up         settings.Upstream
	transport  *transport
	decision   dispatch.Decision
	once       sync.Once
}

// Upstream returns the settings of the upstream at the time of the lease.
func (l *lease) Upstream() settings.Upstream { return l.up }

// Transport returns the upstream's connection pool.
func (l *lease) Transport() http.RoundTripper { return l.transport }

// Decision returns how the upstream was chosen.
func (l *lease) Decision() dispatch.Decision { return l.decision }

// Done ends the lease. Only the first call has an effect.
func (l *lease) Done(r dispatch.Result) {
	l.once.Do(func() { l.service.finish(l, r, time.Now()) })
}

// finish applies the result of an attempt and dispatches queued requests.
func (s *service) finish(l *lease, r dispatch.Result, now time.Time) {
	if silent(r) {
		l.transport.reset()
		s.pool.metrics.silent.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := l.routeState.InFlight()
	before := l.routeState.State()
	s.router.Finish(l.routeState, s.outcomeOf(r), now)
	if r.Load != nil {
		s.observe(l.up.ID, *r.Load, now)
	}
	s.adjustLimit(l.state, r, inFlight, now)
	s.router.SetLimit(l.up.ID, l.state.limiter.Limit())
	if !r.Cancelled && r.Latency > 0 {
		s.rate.observe(r.Latency)
	}
	if after := l.routeState.State(); after != before {
		s.pool.logState(s.name, l.up.ID, before, after)
	}
	s.dispatch(now)
}

func (s *service) observe(id string, load dispatch.LoadReport, now time.Time) {
	s.router.Observe(id, route.Report{Load: load.Running + load.Waiting, Slots: load.Slots}, now)
}

// adjustLimit updates the concurrency limit of an upstream after an attempt. The
// caller holds s.mu.
func (s *service) adjustLimit(u *upstreamState, r dispatch.Result, inFlight int, now time.Time) {
	if overloaded(r.Status) || congested(r.Load) {
		u.limiter.ObserveOverload(now)
		return
	}
	if r.Err == nil && !r.Cancelled {
		u.limiter.Observe(r.FirstByte, inFlight, now)
	}
}

// congested reports whether an upstream queues more requests than it needs to
// stay busy. Its queue is not fair, so requests should wait in this host's queue.
func congested(load *dispatch.LoadReport) bool {
	return load != nil && load.Slots > 0 && load.Waiting*slotsPerWaiting > load.Slots
}

// slotsPerWaiting is the number of an upstream's slots for each request that may
// wait in its queue.
const slotsPerWaiting = 16

func overloaded(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// outcomeOf returns what a result means for the health of the upstream. A refusal
// for lack of capacity is not a failure; the limiter reacts to it. The caller
// holds s.mu.
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

// minHungTime is the least time without an answer after which a cancelled attempt
// counts as a failure.
const minHungTime = 2 * time.Second

// hung reports whether a caller cancelled an attempt that had no first byte in
// the time in which most attempts end as a whole. The caller holds s.mu.
func (s *service) hung(r dispatch.Result) bool {
	return r.Started && r.FirstByte == 0 && r.Latency >= max(minHungTime, s.rate.typicalLatency())
}

// silent reports whether the connection stopped delivering data: the gateway
// found it silent, or the attempt ended with a network timeout.
func silent(r dispatch.Result) bool {
	if r.Silent {
		return true
	}
	var timeout net.Error
	return errors.As(r.Err, &timeout) && timeout.Timeout()
}
