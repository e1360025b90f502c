package upstream

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/route"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// service holds the queue and the routing state of one service.
type service struct {
	pool *Pool
	name string

	mu        sync.Mutex
	settings  *settings.Service
	router    *route.Pool
	queue     *admission.Queue
	retries   *admission.RetryBudget
	upstreams map[string]*upstreamState
	waiters   map[*admission.Item]*waiter
	rng       *rand.Rand
	rate      serviceRate
}

// upstreamState is the state of one upstream apart from its routing state.
type upstreamState struct {
	up        settings.Upstream
	transport *transport
	limiter   *admission.Limiter
	// reportsLeaving is true while the upstream reports that it is leaving.
	reportsLeaving bool
	// reportedServing is what the upstream reports as loaded; nil before the
	// first report.
	reportedServing []route.Serving
	reportedAt      time.Time
	polledAt        time.Time
}

// waiter is a request in the queue.
type waiter struct {
	query    dispatch.Query
	queuedAt time.Time
	// callerDeadline is zero if the caller sets none.
	callerDeadline time.Time
	// result receives one lease or refusal.
	result chan pickResult
}

// pickResult holds either a lease or the error of a refusal.
type pickResult struct {
	lease *lease
	err   error
}

func newService(p *Pool, svc *settings.Service, rng *rand.Rand) *service {
	return &service{
		pool:      p,
		name:      svc.Name,
		settings:  svc,
		router:    route.NewPool(p.opt.Route, rng),
		queue:     admission.NewQueue(queueLimit(svc)),
		retries:   admission.NewRetryBudget(svc.RetryShare),
		upstreams: make(map[string]*upstreamState),
		waiters:   make(map[*admission.Item]*waiter),
		rng:       rng,
	}
}

// Defaults for services and upstreams whose settings give no value.
const (
	defaultQueueLimit   = 1000
	defaultQueueTimeout = 10 * time.Second
	defaultSlots        = 8
)

func queueLimit(svc *settings.Service) int {
	if svc.QueueLimit > 0 {
		return svc.QueueLimit
	}
	return defaultQueueLimit
}

func queueTimeout(svc *settings.Service) time.Duration {
	if svc.QueueTimeout > 0 {
		return svc.QueueTimeout
	}
	return defaultQueueTimeout
}

// apply updates the service to its settings and leaving upstreams. The caller
// holds pool.mu.
func (s *service) apply(svc *settings.Service, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = svc
	s.queue.SetLimit(queueLimit(svc))
	s.retries.SetShare(svc.RetryShare)
	seen := make(map[string]bool, len(svc.Upstreams))
	for _, up := range svc.Upstreams {
		seen[up.ID] = true
		s.applyUpstream(up)
	}
	for id, u := range s.upstreams {
		if !seen[id] {
			u.transport.CloseIdleConnections()
			delete(s.upstreams, id)
		}
	}
	s.syncRouter(now)
	s.dispatch(now)
}

func (s *service) applyUpstream(up settings.Upstream) {
	u, ok := s.upstreams[up.ID]
	if !ok || u.up.URL != up.URL {
		if ok {
			u.transport.CloseIdleConnections()
		}
		u = &upstreamState{limiter: newLimiter(up)}
		u.transport = newTransport(s.pool.opt.Dial, func(h headerReport) { s.observeHeaders(up.ID, h) })
		s.upstreams[up.ID] = u
	}
	u.up = up
}

func newLimiter(up settings.Upstream) *admission.Limiter {
	slots := up.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return admission.NewLimiter(admission.LimiterConfig{Initial: slots, Max: slots})
}

// syncRouter passes the current upstreams to the routing state. The caller holds
// pool.mu and s.mu.
func (s *service) syncRouter(now time.Time) {
	ups := make([]route.Upstream, 0, len(s.settings.Upstreams))
	for _, up := range s.settings.Upstreams {
		u := s.upstreams[up.ID]
		ups = append(ups, route.Upstream{
			ID:      up.ID,
			Serves:  s.serves(u),
			Role:    up.Role,
			Slots:   up.Slots,
			Leaving: up.Leaving || u.reportsLeaving || s.pool.leaving(up.ID),
		})
	}
	s.router.Sync(ups, now)
}

// serves returns what an upstream has loaded: what it reported last, or what the
// settings say if it has not reported yet.
func (s *service) serves(u *upstreamState) []route.Serving {
	if u.reportedServing != nil {
		return u.reportedServing
	}
	var out []route.Serving
	for _, m := range s.settings.Models {
		if len(u.up.Models) == 0 || contains(u.up.Models, m.Name) {
			out = append(out, route.Serving{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
	}
	return out
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (s *service) setHosts(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.SetHosts(string(s.pool.opt.Self.Host), hosts)
}

// close refuses the queued requests of a service that was removed from the
// settings, and closes its idle connections. The caller holds pool.mu.
func (s *service) close(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = &settings.Service{Name: s.name}
	s.syncRouter(now)
	s.dispatch(now)
	for id, u := range s.upstreams {
		u.transport.CloseIdleConnections()
		delete(s.upstreams, id)
	}
}

// pick queues a request and waits for a lease. It waits at most for the queue
// timeout of the service or until the deadline of ctx.
func (s *service) pick(ctx context.Context, q dispatch.Query) (dispatch.Lease, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	now := time.Now()
	w := &waiter{query: q, queuedAt: now, result: make(chan pickResult, 1)}
	deadline := now.Add(queueTimeout(q.Service))
	if d, ok := ctx.Deadline(); ok {
		w.callerDeadline = d
		if d.Before(deadline) {
			deadline = d
		}
	}
	it := s.newItem(q, deadline)
	if err := s.enqueue(it, w, now); err != nil {
		return nil, s.reportRefusal(q, err)
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case a := <-w.result:
		return s.finishPick(q, a)
	case <-ctx.Done():
		return s.abandon(q, it, w, ctx.Err())
	case <-timer.C:
		return s.abandon(q, it, w, nil)
	}
}

func (s *service) newItem(q dispatch.Query, deadline time.Time) *admission.Item {
	it := &admission.Item{
		Firm:       q.Firm,
		Account:    q.Account,
		Class:      classOf(q),
		Priority:   q.Priority,
		Deadline:   deadline,
		FirmWeight: q.Service.FirmWeights[q.Firm],
	}
	if current := s.pool.opt.Settings.Current(); current != nil {
		if a, ok := current.Account(q.Account); ok {
			it.AccountWeight = a.Weight
		}
	}
	return it
}

// classOf returns a key that is the same for requests that the same upstreams
// are able to serve.
func classOf(q dispatch.Query) string {
	if q.Adapter == "" && len(q.Exclude) == 0 {
		return q.Model
	}
	return q.Model + "\x00" + q.Adapter + "\x00" + strings.Join(q.Exclude, "\x00")
}

// enqueue leases an upstream at once if the queue is empty and one is free.
// Else it adds the request to the queue, or returns a refusal.
func (s *service) enqueue(it *admission.Item, w *waiter, now time.Time) *dispatch.RefusedError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.query.Retry {
		if !s.retries.AllowRetry(now) {
			return s.newRefusal(dispatch.ReasonRetryShare, s.estimateWait(it))
		}
	} else {
		s.retries.RecordAttempt()
	}
	if s.queue.Len() == 0 {
		d := s.decide(w.query, now)
		if d.Chosen != nil {
			s.queue.ChargeUnqueued(it)
			s.grant(w, d, now)
			return nil
		}
		if d.Reason == route.ReasonNoneEligible {
			return s.newRefusal(dispatch.ReasonNoneEligible, 0)
		}
	}
	if wait := s.estimateWait(it); now.Add(wait).After(it.Deadline) || s.wouldMissDeadline(w, now.Add(wait)) {
		return s.newRefusal(dispatch.ReasonShed, wait)
	}
	evicted, ok := s.queue.Push(it)
	if !ok {
		return s.newRefusal(dispatch.ReasonQueueFull, s.estimateWait(it))
	}
	s.waiters[it] = w
	if evicted != nil {
		s.refuse(evicted, dispatch.ReasonQueueFull)
	}
	s.dispatch(now)
	return nil
}

// abandon removes a request from the queue after a timeout, or after cause ended
// its context. If it has left the queue already, its result is used, but a lease
// that comes after cause is returned unused.
func (s *service) abandon(q dispatch.Query, it *admission.Item, w *waiter, cause error) (dispatch.Lease, error) {
	s.mu.Lock()
	if s.queue.Remove(it) {
		delete(s.waiters, it)
		refusal := s.newRefusal(dispatch.ReasonQueueTimeout, s.estimateWait(it))
		s.mu.Unlock()
		if cause != nil {
			return nil, cause
		}
		return nil, s.reportRefusal(q, refusal)
	}
	s.mu.Unlock()
	a := <-w.result
	if cause != nil && a.lease != nil {
		a.lease.Done(dispatch.Result{Cancelled: true})
		return nil, cause
	}
	return s.finishPick(q, a)
}

// finishPick logs the result of a pick and returns it.
func (s *service) finishPick(q dispatch.Query, a pickResult) (dispatch.Lease, error) {
	if a.lease == nil {
		return nil, s.reportRefusal(q, a.err)
	}
	s.pool.logChosen(q, a.lease)
	return a.lease, nil
}

// reportRefusal logs and counts a refusal and returns its error.
func (s *service) reportRefusal(q dispatch.Query, err error) error {
	s.pool.logRefused(q, err)
	return err
}
