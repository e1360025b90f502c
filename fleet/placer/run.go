package placer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/placement"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/statechart"
)

// run is an order under way.
type run struct {
	service  *service
	worker   *worker
	url      string
	decision placement.Decision
	before   placement.Target
	machine  *statechart.Machine
	began    time.Time
}

// pollInterval is the time between two looks at a worker with an order.
const pollInterval = time.Second

// start records an order and carries it out. The caller holds s.mu.
func (s *service) start(ctx context.Context, d placement.Decision, wg *sync.WaitGroup) {
	w, ok := s.workers[d.Worker]
	if !ok {
		return
	}
	s.placer.log.Info("Order.",
		"service", s.name, "worker", d.Worker, "model", d.Target.Model, "version", d.Target.Version,
		"reason", d.Reason, "epoch", s.office.epoch, "gain", int(d.Gain), "cost", int(d.Cost))
	recorded, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	if err := s.office.order(recorded, d); err != nil {
		s.placer.log.Info("Order not recorded.", "service", s.name, "worker", d.Worker, "reason", err.Error())
		return
	}
	r := &run{service: s, worker: w, url: w.up.URL, decision: d, before: w.serving, machine: placement.OrderChart.Start(), began: time.Now()}
	w.run = r
	s.placer.orders.Inc(1)
	wg.Go(func() { r.carryOut(ctx) })
}

// carryOut takes the order through its chart.
func (r *run) carryOut(ctx context.Context) {
	var err error
	for !r.machine.Done() && err == nil {
		var event statechart.Event
		switch r.machine.State() {
		case placement.OrderDraining:
			event, err = placement.EventDrained, r.drain(ctx)
		case placement.OrderAcquiring:
			event, err = placement.EventAcquired, r.acquire(ctx)
		case placement.OrderLoading:
			event, err = placement.EventReady, r.load(ctx)
		case placement.OrderChecking:
			event, err = placement.EventPass, r.check(ctx)
		}
		if err == nil {
			err = r.machine.Fire(event)
		}
	}
	if err != nil {
		r.undo(ctx)
		_ = r.machine.Fire(placement.EventFail)
	}
	r.finish(ctx, err)
}

// send gives the worker an order, if this host is still in office.
func (r *run) send(ctx context.Context, body orderBody) error {
	s := r.service
	s.mu.Lock()
	confirm, cancel := context.WithTimeout(ctx, readWait)
	err := s.office.confirm(confirm)
	cancel()
	body.Fencing = s.office.epoch
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.client.put(ctx, r.url, body)
}

// drain asks the worker to say that it leaves and waits until it is idle.
func (r *run) drain(ctx context.Context) error {
	body := bodyOf(r.before, 0)
	body.Drain = true
	if err := r.send(ctx, body); err != nil {
		return err
	}
	return r.poll(ctx, drainTimeout, "drain", func() (bool, error) {
		_, load, err := r.service.client.read(ctx, r.url)
		return err == nil && load.Running+load.Waiting == 0, nil
	})
}

// acquire waits for the weight store.
func (r *run) acquire(ctx context.Context) error {
	store := r.service.placer.opt.Weights
	if store == nil || r.decision.Target.Equal(r.before) {
		return nil
	}
	return r.poll(ctx, acquireTimeout, "weight store", func() (bool, error) {
		_, err := store.Acquire(ctx, r.decision.Target.Model, r.decision.Target.Version)
		if errors.Is(err, platform.ErrThrottled) || errors.Is(err, platform.ErrUnavailable) {
			return false, nil
		}
		return err == nil, err
	})
}

// load gives the order and waits until the worker is ready.
func (r *run) load(ctx context.Context) error {
	if err := r.send(ctx, bodyOf(r.decision.Target, 0)); err != nil {
		return err
	}
	return r.poll(ctx, loadTimeout, "load", func() (bool, error) {
		body, _, err := r.service.client.read(ctx, r.url)
		return err == nil && !body.Loading, nil
	})
}

// check compares what the worker serves with the order.
func (r *run) check(ctx context.Context) error {
	body, _, err := r.service.client.read(ctx, r.url)
	if err != nil {
		return err
	}
	if got := body.target(); !got.Equal(r.decision.Target) {
		return fmt.Errorf("placer: worker serves %q version %q", got.Model, got.Version)
	}
	return nil
}

// undo asks a worker whose order has failed to serve what it served before.
func (r *run) undo(ctx context.Context) {
	if r.before.Model == "" {
		return
	}
	if err := r.send(ctx, bodyOf(r.before, 0)); err != nil {
		r.service.placer.log.Info("Order not undone.", "service", r.service.name, "worker", r.decision.Worker, "reason", err.Error())
	}
}

// poll asks once in each interval until done, an error or the timeout.
func (r *run) poll(ctx context.Context, timeout time.Duration, what string, done func() (bool, error)) error {
	deadline := time.Now().Add(timeout)
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("placer: %s took longer than %s", what, timeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// finish takes in how an order ended. A failed one is replaced in the stream by
// the target from before, and ends the roll-out that it belongs to.
func (r *run) finish(ctx context.Context, err error) {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	took := time.Since(r.began)
	r.worker.run = nil
	if err == nil {
		r.worker.fails = 0
		r.worker.movedAt = time.Now()
		s.load = took
		s.placer.log.Info("Order done.", "service", s.name, "worker", r.decision.Worker, "took", took.Round(time.Second).String())
		return
	}
	s.placer.failed.Inc(1)
	r.worker.fails++
	r.worker.retryAt = time.Now().Add(retryAfter(r.worker.fails))
	s.placer.log.Info("Order failed.", "service", s.name, "worker", r.decision.Worker, "reason", err.Error(), "retry_in", retryAfter(r.worker.fails).String())
	if errors.Is(err, errNoOffice) || ctx.Err() != nil {
		return
	}
	s.giveUp(ctx, r)
}

func (s *service) giveUp(ctx context.Context, r *run) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	back := placement.Decision{Worker: r.decision.Worker, Target: r.before, Reason: placement.ReasonRepair}
	if r.before.Model != "" && r.decision.Reason != placement.ReasonRepair {
		if err := s.office.order(ctx, back); err != nil {
			s.placer.log.Info("Order not recorded.", "service", s.name, "worker", r.decision.Worker, "reason", err.Error())
		}
	}
	if r.decision.Reason != placement.ReasonRollout {
		return
	}
	if err := s.office.halt(ctx, r.decision.Target); err != nil {
		s.placer.log.Info("Halt not recorded.", "service", s.name, "reason", err.Error())
		return
	}
	s.placer.log.Info("Roll-out halted.", "service", s.name, "model", r.decision.Target.Model, "version", r.decision.Target.Version)
}
