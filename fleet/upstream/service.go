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

// service is the queue and the routing state of one service.
type service struct {
	pool *Pool
	name string

	mu      sync.Mutex
	set     *settings.Service
	router  *route.Pool
	queue   *admission.Queue
	retries *admission.RetryBudget
	workers map[string]*worker
	waiters map[*admission.Item]*waiter
	rng     *rand.Rand
	rate    serviceRate
}

// worker is what the fleet holds for one upstream beside its routing state.
type worker struct {
	up        settings.Upstream
	transport *transport
	limiter   *admission.Limiter
	// selfLeaving is true while the upstream says that it is leaving.
	selfLeaving bool
	// serving is what it has loaded by its own word; nil if never heard.
	serving  []route.Serving
	heardAt  time.Time
	polledAt time.Time
}

// waiter is a request in the queue.
type waiter struct {
	query dispatch.Query
	since time.Time
	// finishBy is the caller's deadline; zero if there is none.
	finishBy time.Time
	// ready receives a lease or a refusal, once.
	ready chan answer
}

type answer struct {
	lease *lease
	err   error
}

func newService(p *Pool, svc *settings.Service, rng *rand.Rand) *service {
	return &service{
		pool:    p,
		name:    svc.Name,
		set:     svc,
		router:  route.NewPool(p.opt.Route, rng),
		queue:   admission.NewQueue(queueLimit(svc)),
		retries: admission.NewRetryBudget(svc.RetryShare),
		workers: make(map[string]*worker),
		waiters: make(map[*admission.Item]*waiter),
		rng:     rng,
	}
}

// Defaults for services whose settings name none.
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

// apply takes in the service's settings and leavers. The caller holds pool.mu.
func (s *service) apply(svc *settings.Service, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = svc
	s.queue.SetLimit(queueLimit(svc))
	s.retries.SetShare(svc.RetryShare)
	seen := make(map[string]bool, len(svc.Upstreams))
	for _, up := range svc.Upstreams {
		seen[up.ID] = true
		s.applyWorker(up)
	}
	for id, w := range s.workers {
		if !seen[id] {
			w.transport.CloseIdleConnections()
			delete(s.workers, id)
		}
	}
	s.syncRouter(now)
	s.dispatch(now)
}

func (s *service) applyWorker(up settings.Upstream) {
	w, ok := s.workers[up.ID]
	if !ok || w.up.URL != up.URL {
		if ok {
			w.transport.CloseIdleConnections()
		}
		w = &worker{limiter: newLimiter(up)}
		w.transport = newTransport(s.pool.opt.Dial, func(h headers) { s.heard(up.ID, h) })
		s.workers[up.ID] = w
	}
	w.up = up
}

func newLimiter(up settings.Upstream) *admission.Limiter {
	slots := up.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return admission.NewLimiter(admission.LimiterConfig{Initial: slots, Max: slots})
}

// syncRouter hands the upstreams to the routing state. The caller holds
// pool.mu and s.mu.
func (s *service) syncRouter(now time.Time) {
	ups := make([]route.Upstream, 0, len(s.set.Upstreams))
	for _, up := range s.set.Upstreams {
		w := s.workers[up.ID]
		ups = append(ups, route.Upstream{
			ID:      up.ID,
			Serves:  s.serves(w),
			Role:    up.Role,
			Slots:   up.Slots,
			Leaving: up.Leaving || w.selfLeaving || s.pool.leaving(up.ID),
		})
	}
	s.router.Sync(ups, now)
}

// serves returns what an upstream has loaded: by its own word if it was heard,
// else by the settings.
func (s *service) serves(w *worker) []route.Serving {
	if w.serving != nil {
		return w.serving
	}
	var out []route.Serving
	for _, m := range s.set.Models {
		if len(w.up.Models) == 0 || contains(w.up.Models, m.Name) {
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

// close refuses what waits for a service that is gone.
func (s *service) close(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = &settings.Service{Name: s.name}
	s.syncRouter(now)
	s.dispatch(now)
	for id, w := range s.workers {
		w.transport.CloseIdleConnections()
		delete(s.workers, id)
	}
}

// pick waits for an upstream.
func (s *service) pick(ctx context.Context, q dispatch.Query) (dispatch.Lease, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	now := time.Now()
	w := &waiter{query: q, since: now, ready: make(chan answer, 1)}
	deadline := now.Add(queueTimeout(q.Service))
	if d, ok := ctx.Deadline(); ok {
		w.finishBy = d
		if d.Before(deadline) {
			deadline = d
		}
	}
	it := s.item(q, deadline)
	if err := s.enqueue(it, w, now); err != nil {
		return nil, s.refused(q, err)
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case a := <-w.ready:
		return s.answered(q, a)
	case <-ctx.Done():
		return s.abandon(q, it, w, ctx.Err())
	case <-timer.C:
		return s.abandon(q, it, w, nil)
	}
}

func (s *service) item(q dispatch.Query, deadline time.Time) *admission.Item {
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

// classOf groups requests for which the same upstreams are able.
func classOf(q dispatch.Query) string {
	if q.Adapter == "" && len(q.Exclude) == 0 {
		return q.Model
	}
	return q.Model + "\x00" + q.Adapter + "\x00" + strings.Join(q.Exclude, "\x00")
}

// enqueue adds a request to the queue and serves what can be served.
func (s *service) enqueue(it *admission.Item, w *waiter, now time.Time) *dispatch.RefusedError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.query.Retry {
		if !s.retries.AllowRetry(now) {
			return s.refusal(dispatch.ReasonRetryShare, s.wait(it))
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
			return s.refusal(dispatch.ReasonNoneAble, 0)
		}
	}
	if wait := s.wait(it); now.Add(wait).After(it.Deadline) || s.tooLate(w, now.Add(wait)) {
		return s.refusal(dispatch.ReasonShed, wait)
	}
	evicted, ok := s.queue.Push(it)
	if !ok {
		return s.refusal(dispatch.ReasonQueueFull, s.wait(it))
	}
	s.waiters[it] = w
	if evicted != nil {
		s.refuse(evicted, dispatch.ReasonQueueFull)
	}
	s.dispatch(now)
	return nil
}

// abandon ends a wait without success, unless a lease came in the meantime.
func (s *service) abandon(q dispatch.Query, it *admission.Item, w *waiter, cause error) (dispatch.Lease, error) {
	s.mu.Lock()
	if s.queue.Remove(it) {
		delete(s.waiters, it)
		refusal := s.refusal(dispatch.ReasonQueueTimeout, s.wait(it))
		s.mu.Unlock()
		if cause != nil {
			return nil, cause
		}
		return nil, s.refused(q, refusal)
	}
	s.mu.Unlock()
	a := <-w.ready
	if cause != nil && a.lease != nil {
		a.lease.Done(dispatch.Result{Cancelled: true})
		return nil, cause
	}
	return s.answered(q, a)
}

func (s *service) answered(q dispatch.Query, a answer) (dispatch.Lease, error) {
	if a.lease == nil {
		return nil, s.refused(q, a.err)
	}
	s.pool.logChosen(q, a.lease)
	return a.lease, nil
}

func (s *service) refused(q dispatch.Query, err error) error {
	s.pool.logRefused(q, err)
	return err
}
