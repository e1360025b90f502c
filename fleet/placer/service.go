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
)

// service is the placement of one service by this host.
type service struct {
	placer *Placer
	name   string
	client client

	// looking guards against two looks at once.
	looking bool

	mu      sync.Mutex
	set     *settings.Service
	office  office
	workers map[string]*worker
	loads   map[string]float64
	dwell   placement.Dwell
	load    time.Duration // of weights, the last one measured
}

// worker is what is known of one worker.
type worker struct {
	up      settings.Upstream
	serving placement.Target
	ready   bool
	drained bool
	// stale is true if it was last read while an order was under way.
	stale bool
	load  float64
	idle  bool
	// run is the order under way; nil if there is none.
	run     *run
	movedAt time.Time
	retryAt time.Time
	fails   int
}

// loadWeight is the weight of the newest load in the mean of a model.
const loadWeight = 0.3

func newService(p *Placer, name string) *service {
	transport := &http.Transport{DialContext: p.opt.Dial, IdleConnTimeout: 2 * tickInterval, ResponseHeaderTimeout: callTimeout}
	return &service{
		placer:  p,
		name:    name,
		client:  client{http: &http.Client{Transport: transport}},
		workers: make(map[string]*worker),
		loads:   make(map[string]float64),
		load:    firstLoadTime,
		office: office{
			self:   p.opt.Self,
			stream: record.StreamOfPlacement(name),
			log:    p.opt.Log,
			fold:   placement.NewFold(),
		},
	}
}

// begin takes in the settings and tells whether a look may start. The caller
// holds the placer's lock.
func (s *service) begin(svc *settings.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = svc
	if s.looking {
		return false
	}
	s.looking = true
	return true
}

// look reads the workers, decides and starts the orders.
func (s *service) look(ctx context.Context, wg *sync.WaitGroup) {
	defer func() {
		s.mu.Lock()
		s.looking = false
		s.mu.Unlock()
	}()
	s.readWorkers(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.takeOffice(ctx); err != nil {
		s.placer.log.Info("Not in office.", "service", s.name, "reason", err.Error())
		return
	}
	in := s.input(time.Now())
	s.dwell.Observe(in)
	in.Dwell = s.dwell.Mean(in.Now)
	for _, d := range placement.Plan(s.placer.opt.Config, in) {
		s.start(ctx, d, wg)
	}
}

func (s *service) takeOffice(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	before := s.office.epoch
	err := s.office.take(ctx)
	if err == nil && s.office.epoch != before {
		s.placer.log.Info("In office.", "service", s.name, "epoch", s.office.epoch)
	}
	return err
}

// readWorkers asks all workers what they serve and how loaded they are.
func (s *service) readWorkers(ctx context.Context) {
	s.mu.Lock()
	ups := s.set.Upstreams
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, up := range ups {
		wg.Go(func() {
			s.mu.Lock()
			w := s.worker(up)
			ordered := w.run != nil
			s.mu.Unlock()
			body, load, err := s.client.read(ctx, up.URL)
			s.mu.Lock()
			defer s.mu.Unlock()
			// What is read while an order is under way may be old when it ends.
			w.stale = ordered
			w.ready = err == nil && !ordered && !body.Loading && !load.Leaving && !up.Leaving && len(body.Models) == 1
			w.drained = err == nil && !ordered && body.Drain
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
	s.forget()
	s.measure()
}

func (s *service) worker(up settings.Upstream) *worker {
	w, ok := s.workers[up.ID]
	if !ok {
		w = &worker{}
		s.workers[up.ID] = w
	}
	w.up = up
	return w
}

// forget drops workers that are no longer in the settings.
func (s *service) forget() {
	known := make(map[string]bool, len(s.set.Upstreams))
	for _, up := range s.set.Upstreams {
		known[up.ID] = true
	}
	for id := range s.workers {
		if !known[id] {
			delete(s.workers, id)
		}
	}
}

// measure updates the mean load of each model.
func (s *service) measure() {
	now := make(map[string]float64)
	for _, w := range s.workers {
		now[w.serving.Model] += w.load
	}
	for _, m := range s.set.Models {
		s.loads[m.Name] += loadWeight * (now[m.Name] - s.loads[m.Name])
	}
}

// input gathers what a decision depends on.
func (s *service) input(now time.Time) placement.Input {
	in := placement.Input{
		Wanted:   s.office.fold.Wanted,
		Halted:   s.office.fold.Halted,
		LoadTime: s.load,
		Now:      now,
	}
	home := make(map[string]int)
	for _, up := range s.set.Upstreams {
		w := s.workers[up.ID]
		in.Workers = append(in.Workers, placement.Worker{
			ID: up.ID, Slots: slotsOf(up), Serving: w.serving, Ready: w.ready,
			Busy: w.run != nil || w.stale, Drained: w.drained, MovedAt: w.movedAt, RetryAt: w.retryAt,
		})
		home[homeOf(s.set, up)]++
	}
	for _, m := range s.set.Models {
		in.Models = append(in.Models, placement.Model{
			Target:      placement.Target{Model: m.Name, Version: m.Version, Adapters: m.Adapters},
			MinReplicas: m.MinReplicas, DeclaredReplicas: home[m.Name], Load: s.loads[m.Name],
		})
	}
	return in
}

func slotsOf(up settings.Upstream) int {
	const unknown = 8
	if up.Slots > 0 {
		return up.Slots
	}
	return unknown
}

// homeOf returns the model that the settings declare for a worker.
func homeOf(svc *settings.Service, up settings.Upstream) string {
	if len(up.Models) == 1 {
		return up.Models[0]
	}
	return svc.Models[0].Name
}

// retryAfter returns the pause after a number of failed orders in a row.
func retryAfter(fails int) time.Duration {
	pause := float64(retryTime) * math.Pow(2, float64(min(fails, 16)-1))
	return min(time.Duration(pause), maxRetryTime)
}
