package placer

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/placement"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/heads"
)

// service runs the placement of one service.
type service struct {
	placer *Placer
	name   string
	client client

	// reconciling prevents two reconciliations at once. It is guarded by mu.
	reconciling bool

	mu        sync.Mutex
	spec      *settings.Service
	writer    streamWriter
	workers   map[string]*worker
	meanLoads map[string]float64
	dwell     placement.Dwell
	loadTime  time.Duration // duration of the last order that succeeded
}

// worker is the state of one worker as last read from it.
type worker struct {
	upstream settings.Upstream
	serving  placement.Target
	ready    bool
	// silentSince is when the worker stopped answering while it was ready, or zero.
	silentSince time.Time
	drained     bool
	// stale is true if the state was read while an order was in progress.
	stale bool
	load  float64
	idle  bool
	// order is the order in progress; nil if there is none.
	order    *activeOrder
	movedAt  time.Time
	retryAt  time.Time
	failures int
}

// loadSmoothing is the weight of the newest load in the moving average of a
// model's load.
const loadSmoothing = 0.3

func newService(p *Placer, name string) *service {
	transport := &http.Transport{DialContext: p.opt.Dial, IdleConnTimeout: 2 * tickInterval, ResponseHeaderTimeout: callTimeout}
	return &service{
		placer:    p,
		name:      name,
		client:    client{http: &http.Client{Transport: heads.Checked(transport)}},
		workers:   make(map[string]*worker),
		meanLoads: make(map[string]float64),
		loadTime:  initialLoadTime,
		writer: streamWriter{
			self:   p.opt.Self,
			stream: record.StreamOfPlacement(name),
			log:    p.opt.Log,
			fold:   placement.NewFold(),
		},
	}
}

// beginReconcile applies the settings and reports whether a reconciliation may start.
// The caller holds the placer's lock.
func (s *service) beginReconcile(svc *settings.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = svc
	if s.reconciling {
		return false
	}
	s.reconciling = true
	return true
}

// reconcile reads the workers' state, plans the orders and starts them.
func (s *service) reconcile(ctx context.Context, wg *sync.WaitGroup) {
	defer func() {
		s.mu.Lock()
		s.reconciling = false
		s.mu.Unlock()
	}()
	s.readWorkers(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	tookOffice, err := s.becomeWriter(ctx)
	if err != nil {
		s.placer.log.Info("Host is not the writer.", "service", s.name, "reason", err.Error())
		return
	}
	if tookOffice {
		// An order of the writer before may have reached a worker since it was read.
		return
	}
	in := s.planInput(time.Now())
	s.dwell.Observe(in)
	in.Dwell = s.dwell.Mean(in.Now)
	for _, d := range placement.Plan(s.placer.opt.Config, in) {
		s.start(ctx, d, wg)
	}
}

// becomeWriter makes this host the writer, and reports whether it was not before.
func (s *service) becomeWriter(ctx context.Context) (tookOffice bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	before := s.writer.epoch
	if err := s.writer.acquire(ctx, time.Now()); err != nil {
		return false, err
	}
	if s.writer.epoch == before {
		return false, nil
	}
	s.placer.log.Info("In office.", "service", s.name, "epoch", s.writer.epoch)
	return true, nil
}

// readWorkers reads from all workers what they serve and their load.
func (s *service) readWorkers(ctx context.Context) {
	s.mu.Lock()
	ups := s.spec.Upstreams
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, up := range ups {
		wg.Go(func() {
			s.mu.Lock()
			w := s.worker(up)
			hadOrder := w.order != nil
			s.mu.Unlock()
			body, load, err := s.client.read(ctx, up.URL)
			s.mu.Lock()
			defer s.mu.Unlock()
			// What was read during an order may be outdated once the order has ended.
			w.stale = hadOrder
			switch {
			case err == nil || hadOrder:
				w.silentSince = time.Time{}
			case w.ready:
				w.silentSince = time.Now()
			}
			w.ready = err == nil && !hadOrder && !body.Loading && !load.Leaving && !up.Leaving && len(body.Models) == 1
			w.drained = err == nil && !hadOrder && body.Drain
			if err == nil {
				w.serving = body.target()
				w.load = float64(load.Running + load.Waiting)
				w.idle = load.Running+load.Waiting == 0
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeUnlistedWorkers()
	s.updateMeanLoads()
}

func (s *service) worker(up settings.Upstream) *worker {
	w, ok := s.workers[up.ID]
	if !ok {
		w = &worker{}
		s.workers[up.ID] = w
	}
	w.upstream = up
	return w
}

// removeUnlistedWorkers removes workers that are no longer in the settings.
func (s *service) removeUnlistedWorkers() {
	known := make(map[string]bool, len(s.spec.Upstreams))
	for _, up := range s.spec.Upstreams {
		known[up.ID] = true
	}
	for id := range s.workers {
		if !known[id] {
			delete(s.workers, id)
		}
	}
}

// updateMeanLoads updates the moving average of each model's load, in requests that
// run or wait.
func (s *service) updateMeanLoads() {
	current := make(map[string]float64)
	for _, w := range s.workers {
		current[w.serving.Model] += w.load
	}
	for _, m := range s.spec.Models {
		s.meanLoads[m.Name] += loadSmoothing * (current[m.Name] - s.meanLoads[m.Name])
	}
}

// planInput returns the input of [placement.Plan].
func (s *service) planInput(now time.Time) placement.Input {
	in := placement.Input{
		Wanted:   s.writer.fold.Wanted,
		Halted:   s.writer.fold.Halted,
		LoadTime: s.loadTime,
		Now:      now,
	}
	declaredReplicas := make(map[string]int)
	for _, up := range s.spec.Upstreams {
		w := s.workers[up.ID]
		in.Workers = append(in.Workers, placement.Worker{
			ID: up.ID, Slots: slotsOf(up), Serving: w.serving, Ready: w.ready, SilentSince: w.silentSince,
			Busy: w.order != nil || w.stale, Drained: w.drained, MovedAt: w.movedAt, RetryAt: w.retryAt,
		})
		declaredReplicas[declaredModel(s.spec, up)]++
	}
	for _, m := range s.spec.Models {
		in.Models = append(in.Models, placement.Model{
			Target:      placement.Target{Model: m.Name, Version: m.Version, Adapters: m.Adapters},
			MinReplicas: m.MinReplicas, DeclaredReplicas: declaredReplicas[m.Name], Load: s.meanLoads[m.Name],
		})
	}
	return in
}

// slotsOf returns the slots of an upstream, or a default if the settings name none.
func slotsOf(up settings.Upstream) int {
	const defaultSlots = 8
	if up.Slots > 0 {
		return up.Slots
	}
	return defaultSlots
}

// declaredModel returns the model that the settings declare for a worker: its own, or
// else the first of the service.
func declaredModel(svc *settings.Service, up settings.Upstream) string {
	if len(up.Models) == 1 {
		return up.Models[0]
	}
	return svc.Models[0].Name
}

// retryDelay returns the delay after a number of failed orders in a row.
func retryDelay(failures int) time.Duration {
	delay := float64(initialRetryDelay) * math.Pow(2, float64(min(failures, 16)-1))
	return min(time.Duration(delay), maxRetryDelay)
}
