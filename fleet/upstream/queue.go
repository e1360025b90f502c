package upstream

import (
	"errors"
	"math"
	"time"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/route"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// Bounds of the time after which refused callers are asked to come back.
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

// dispatch serves waiting requests while upstreams are free, and refuses those
// that no upstream is able to serve any more. The caller holds s.mu.
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
		if s.tooLate(w, now) {
			s.refuse(it, dispatch.ReasonShed)
			continue
		}
		delete(s.waiters, it)
		s.grant(w, d, now)
	}
	s.refuseClasses(unable)
}

// tooLate tells whether a request that is sent at the given time would probably
// end after its caller's deadline. What is allowed for the attempt is at most
// half of the caller's time, so that short deadlines are not always refused.
// The caller holds s.mu.
func (s *service) tooLate(w *waiter, at time.Time) bool {
	if w.finishBy.IsZero() {
		return false
	}
	attempt := min(s.rate.usual(), w.finishBy.Sub(w.since)/2)
	return at.Add(attempt).After(w.finishBy)
}

// refuseClasses refuses all requests of the same classes as the given ones.
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
			s.refuse(it, dispatch.ReasonNoneAble)
		}
	}
}

// grant leases the chosen upstream to a waiter.
func (s *service) grant(w *waiter, d route.Decision, now time.Time) {
	s.router.Start(d.Chosen)
	l := &lease{
		service: s,
		routed:  d.Chosen,
		worker:  s.workers[d.Chosen.ID()],
		decision: dispatch.Decision{
			Candidates: d.Candidates,
			Reason:     string(d.Reason),
			Waited:     now.Sub(w.since),
		},
	}
	l.transport = l.worker.transport
	l.up = l.worker.up
	w.ready <- answer{lease: l}
}

// refuse answers a request that has been taken out of the queue.
func (s *service) refuse(it *admission.Item, reason dispatch.Reason) {
	w := s.waiters[it]
	delete(s.waiters, it)
	w.ready <- answer{err: s.refusal(reason, s.wait(it))}
}

func (s *service) refusal(reason dispatch.Reason, wait time.Duration) *dispatch.RefusedError {
	e := &dispatch.RefusedError{Service: s.name, Reason: reason, Candidates: len(s.workers)}
	if reason == dispatch.ReasonNoneAble {
		e.Candidates = 0
	}
	jitter := 1 + s.rng.Float64()/2
	e.RetryAfter = min(max(time.Duration(float64(wait)*jitter), minRetryAfter), maxRetryAfter)
	return e
}

// wait estimates how long a new request of an account would wait: its place in
// the fair order over the rate of service. The caller holds s.mu.
func (s *service) wait(it *admission.Item) time.Duration {
	perSecond := s.rate.perSecond(s.router.InFlight())
	if perSecond <= 0 {
		return 0
	}
	seconds := float64(s.queue.Position(it)) / perSecond
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// sweep gives up on requests that will not be served before their deadline, so
// that their callers learn it at once.
func (s *service) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(now)
	for _, it := range s.queue.Waiting() {
		if s.tooLate(s.waiters[it], now) && s.queue.Remove(it) {
			s.refuse(it, dispatch.ReasonShed)
		}
	}
}

// serviceRate estimates the rate of service by Little's law.
type serviceRate struct {
	// latency is the moving mean of the time that a request holds its
	// upstream, and spread that of its distance from the mean, in seconds.
	// Both are zero until the first has ended.
	latency float64
	spread  float64
}

// Weights of the newest value, and of the spread in the usual latency.
const (
	latencyWeight = 0.05
	spreadWeight  = 2
)

func (r *serviceRate) observe(held time.Duration) {
	if r.latency == 0 {
		r.latency = held.Seconds()
		return
	}
	off := held.Seconds() - r.latency
	r.latency += latencyWeight * off
	r.spread += latencyWeight * (math.Abs(off) - r.spread)
}

// usual returns the time within which most requests end.
func (r *serviceRate) usual() time.Duration {
	return time.Duration((r.latency + spreadWeight*r.spread) * float64(time.Second))
}

func (r *serviceRate) perSecond(inFlight int) float64 {
	if r.latency == 0 {
		return 0
	}
	return float64(inFlight) / r.latency
}

// reasonOf returns the reason of a refusal for logs and metrics.
func reasonOf(err error) string {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		return string(refused.Reason)
	}
	return "ended"
}
