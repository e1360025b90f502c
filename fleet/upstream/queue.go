package upstream

import (
	"errors"
	"math"
	"time"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/route"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// Bounds of the delay after which refused callers are told to retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// decide asks the routing state for an upstream. The caller holds s.mu.
func (s *service) decide(q dispatch.Query, now time.Time) route.Decision {
	return s.router.Decide(&route.Query{
		Need:    route.Need{Model: q.Model, Adapter: q.Adapter},
		Prefix:  q.PrefixHash,
		Exclude: q.Exclude,
		NoProbe: q.Retry || !q.Service.Repeatable,
	}, now)
}

// dispatch leases free upstreams to queued requests, and refuses requests that no
// upstream is able to serve any more. The caller holds s.mu.
func (s *service) dispatch(now time.Time) {
	var unable []*admission.Item
	for s.queue.Len() > 0 {
		var d route.Decision
		it := s.queue.Pop(func(it *admission.Item) bool {
			d = s.decide(s.waiters[it].query, now)
			if d.Reason == route.ReasonNoneEligible {
				unable = append(unable, it)
			}
			return d.Chosen != nil
		})
		if it == nil {
			break
		}
		w := s.waiters[it]
		if s.wouldMissDeadline(w, now) {
			s.refuse(it, dispatch.ReasonShed)
			continue
		}
		delete(s.waiters, it)
		s.grant(w, d, now)
	}
	s.refuseClasses(unable)
}

// wouldMissDeadline reports whether a request that is sent at the given time
// would probably end after its caller's deadline. The estimate of the attempt's
// duration is capped at half of the time from queuing to the deadline; without
// this cap, requests with short deadlines would always be refused. The caller
// holds s.mu.
func (s *service) wouldMissDeadline(w *waiter, at time.Time) bool {
	if w.callerDeadline.IsZero() {
		return false
	}
	attempt := min(s.rate.typicalLatency(), w.callerDeadline.Sub(w.queuedAt)/2)
	return at.Add(attempt).After(w.callerDeadline)
}

// refuseClasses refuses all queued requests of the same classes as the given
// ones, since no upstream is able to serve them. The caller holds s.mu.
func (s *service) refuseClasses(unable []*admission.Item) {
	if len(unable) == 0 {
		return
	}
	classes := make(map[string]bool, len(unable))
	for _, it := range unable {
		classes[it.Class] = true
	}
	for _, it := range s.queue.Waiting() {
		if classes[it.Class] && s.queue.Remove(it) {
			s.refuse(it, dispatch.ReasonNoneEligible)
		}
	}
}

// grant leases the chosen upstream to a waiter. The caller holds s.mu.
func (s *service) grant(w *waiter, d route.Decision, now time.Time) {
	s.router.Start(d.Chosen)
	l := &lease{
		service:    s,
		routeState: d.Chosen,
		state:      s.upstreams[d.Chosen.ID()],
		decision: dispatch.Decision{
			Candidates: d.Candidates,
			Reason:     string(d.Reason),
			Waited:     now.Sub(w.queuedAt),
		},
	}
	l.transport = l.state.transport
	l.up = l.state.up
	w.result <- pickResult{lease: l}
}

// refuse sends a refusal to a request that has been removed from the queue. The
// caller holds s.mu.
func (s *service) refuse(it *admission.Item, reason dispatch.Reason) {
	w := s.waiters[it]
	delete(s.waiters, it)
	w.result <- pickResult{err: s.newRefusal(reason, s.estimateWait(it))}
}

// newRefusal returns a refusal. Its RetryAfter is the estimated wait, which jitter
// lengthens by up to a half, within minRetryAfter and maxRetryAfter. The caller
// holds s.mu.
func (s *service) newRefusal(reason dispatch.Reason, wait time.Duration) *dispatch.RefusedError {
	e := &dispatch.RefusedError{Service: s.name, Reason: reason, Candidates: len(s.upstreams)}
	if reason == dispatch.ReasonNoneEligible {
		e.Candidates = 0
	}
	jitter := 1 + s.rng.Float64()/2
	e.RetryAfter = min(max(time.Duration(float64(wait)*jitter), minRetryAfter), maxRetryAfter)
	return e
}

// estimateWait estimates how long a new request of an account would wait in the
// queue: the number of requests before it in the fair order, divided by the rate
// of service. It returns 0 while the rate is unknown. The caller holds s.mu.
func (s *service) estimateWait(it *admission.Item) time.Duration {
	perSecond := s.rate.perSecond(s.router.InFlight())
	if perSecond <= 0 {
		return 0
	}
	seconds := float64(s.queue.Position(it)) / perSecond
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// sweep refuses queued requests that would miss their caller's deadline, so that
// callers get the refusal without waiting for the deadline.
func (s *service) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(now)
	for _, it := range s.queue.Waiting() {
		if s.wouldMissDeadline(s.waiters[it], now) && s.queue.Remove(it) {
			s.refuse(it, dispatch.ReasonShed)
		}
	}
}

// serviceRate estimates the rate of service by Little's law: requests in flight
// divided by mean latency.
type serviceRate struct {
	// latency is the moving mean of the time that a request holds its upstream,
	// and deviation the moving mean of the absolute difference from latency,
	// both in seconds. Both are zero until the first request has ended.
	latency   float64
	deviation float64
}

const (
	// latencyWeight is the weight of the newest value in the moving means.
	latencyWeight = 0.05
	// deviationFactor is the number of deviations that typicalLatency adds to
	// the mean.
	deviationFactor = 2
)

// observe adds the time that a request held its upstream.
func (r *serviceRate) observe(duration time.Duration) {
	if r.latency == 0 {
		r.latency = duration.Seconds()
		return
	}
	diff := duration.Seconds() - r.latency
	r.latency += latencyWeight * diff
	r.deviation += latencyWeight * (math.Abs(diff) - r.deviation)
}

// typicalLatency returns the time within which most requests end; zero if none
// has ended yet.
func (r *serviceRate) typicalLatency() time.Duration {
	return time.Duration((r.latency + deviationFactor*r.deviation) * float64(time.Second))
}

// perSecond returns the requests that end in a second; zero if unknown.
func (r *serviceRate) perSecond(inFlight int) float64 {
	if r.latency == 0 {
		return 0
	}
	return float64(inFlight) / r.latency
}

// reasonOf returns the reason of a refusal for logs and metrics; "ended" means
// that the context of the request ended.
func reasonOf(err error) string {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		return string(refused.Reason)
	}
	return "ended"
}
