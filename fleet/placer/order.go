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

// activeOrder is an order in progress.
type activeOrder struct {
	service   *service
	worker    *worker
	url       string
	decision  placement.Decision
	previous  placement.Target
	machine   *statechart.Machine
	startedAt time.Time
}

// pollInterval is the time between two polls of a worker or of the weight store
// during an order.
const pollInterval = time.Second

// start records an order in the stream and executes it in a goroutine of wg. The
// caller holds s.mu.
func (s *service) start(ctx context.Context, d placement.Decision, wg *sync.WaitGroup) {
	w, ok := s.workers[d.Worker]
	if !ok {
		return
	}
	s.placer.log.Info("Order.",
		"service", s.name, "worker", d.Worker, "model", d.Target.Model, "version", d.Target.Version,
		"reason", d.Reason, "epoch", s.writer.epoch, "gain", int(d.Gain), "cost", int(d.Cost))
	appendCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := s.writer.appendOrder(appendCtx, d); err != nil {
		s.placer.log.Info("Order not recorded.", "service", s.name, "worker", d.Worker, "reason", err.Error())
		return
	}
	o := &activeOrder{service: s, worker: w, url: w.upstream.URL, decision: d, previous: w.serving, machine: placement.OrderChart.Start(), startedAt: time.Now()}
	w.order = o
	s.placer.startedOrders.Inc(1)
	wg.Go(func() { o.execute(ctx) })
}

// execute runs the steps of the order until its state chart is done or a step fails.
func (o *activeOrder) execute(ctx context.Context) {
	var err error
	for !o.machine.Done() && err == nil {
		var event statechart.Event
		switch o.machine.State() {
		case placement.OrderDraining:
			event, err = placement.EventDrained, o.drain(ctx)
		case placement.OrderAcquiring:
			event, err = placement.EventAcquired, o.acquire(ctx)
		case placement.OrderLoading:
			event, err = placement.EventReady, o.load(ctx)
		case placement.OrderChecking:
			event, err = placement.EventPass, o.check(ctx)
		}
		if err == nil {
			err = o.machine.Fire(event)
		}
	}
	if err != nil {
		o.undo(ctx)
		_ = o.machine.Fire(placement.EventFail)
	}
	o.finish(ctx, err)
}

// send sends an order to the worker if this host is still the writer. The order
// carries the epoch as fencing token.
func (o *activeOrder) send(ctx context.Context, body placementBody) error {
	s := o.service
	s.mu.Lock()
	confirmCtx, cancel := context.WithTimeout(ctx, logTimeout)
	err := s.writer.confirm(confirmCtx)
	cancel()
	body.Fencing = s.writer.epoch
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.client.put(ctx, o.url, body)
}

// drain asks the worker to report itself as leaving and waits until it is idle.
func (o *activeOrder) drain(ctx context.Context) error {
	body := newPlacementBody(o.previous, 0)
	body.Drain = true
	if err := o.send(ctx, body); err != nil {
		return err
	}
	return o.poll(ctx, drainTimeout, "drain", func() (bool, error) {
		_, load, err := o.service.client.read(ctx, o.url)
		return err == nil && load.Running+load.Waiting == 0, nil
	})
}

// acquire waits until the weight store permits the load. It skips this if the worker
// serves the target already.
func (o *activeOrder) acquire(ctx context.Context) error {
	store := o.service.placer.opt.Weights
	if store == nil || o.decision.Target.Equal(o.previous) {
		return nil
	}
	return o.poll(ctx, acquireTimeout, "weight store", func() (bool, error) {
		_, err := store.Acquire(ctx, o.decision.Target.Model, o.decision.Target.Version)
		if errors.Is(err, platform.ErrThrottled) || errors.Is(err, platform.ErrUnavailable) {
			return false, nil
		}
		return err == nil, err
	})
}

// load sends the order to load and waits until the worker is ready.
func (o *activeOrder) load(ctx context.Context) error {
	if err := o.send(ctx, newPlacementBody(o.decision.Target, 0)); err != nil {
		return err
	}
	return o.poll(ctx, loadTimeout, "load", func() (bool, error) {
		body, _, err := o.service.client.read(ctx, o.url)
		return err == nil && !body.Loading, nil
	})
}

// check returns an error if the worker does not serve the target.
func (o *activeOrder) check(ctx context.Context) error {
	body, _, err := o.service.client.read(ctx, o.url)
	if err != nil {
		return err
	}
	if got := body.target(); !got.Equal(o.decision.Target) {
		return fmt.Errorf("placer: worker serves %q version %q", got.Model, got.Version)
	}
	return nil
}

// undo orders a worker whose order has failed to serve its previous target.
func (o *activeOrder) undo(ctx context.Context) {
	if o.previous.Model == "" {
		return
	}
	if err := o.send(ctx, newPlacementBody(o.previous, 0)); err != nil {
		o.service.placer.log.Info("Order not undone.", "service", o.service.name, "worker", o.decision.Worker, "reason", err.Error())
	}
}

// poll calls done every pollInterval until it returns true or an error, or until the
// timeout has passed. step names the step in the timeout's error.
func (o *activeOrder) poll(ctx context.Context, timeout time.Duration, step string, done func() (bool, error)) error {
	deadline := time.Now().Add(timeout)
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("placer: %s took longer than %s", step, timeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// finish records the result of an order. After a failure the worker is retried with
// backoff, and if this host is still the writer, recordFailure updates the stream.
func (o *activeOrder) finish(ctx context.Context, err error) {
	s := o.service
	s.mu.Lock()
	defer s.mu.Unlock()
	took := time.Since(o.startedAt)
	o.worker.order = nil
	if err == nil {
		o.worker.failures = 0
		o.worker.movedAt = time.Now()
		s.loadTime = took
		s.placer.log.Info("Order done.", "service", s.name, "worker", o.decision.Worker, "took", took.Round(time.Second).String())
		return
	}
	s.placer.failedOrders.Inc(1)
	o.worker.failures++
	o.worker.retryAt = time.Now().Add(retryDelay(o.worker.failures))
	s.placer.log.Info("Order failed.", "service", s.name, "worker", o.decision.Worker, "reason", err.Error(), "retry_in", retryDelay(o.worker.failures).String())
	if errors.Is(err, errNotWriter) || ctx.Err() != nil {
		return
	}
	s.recordFailure(ctx, o)
}

// recordFailure replaces a failed order in the stream by an order for the previous
// target, and halts the roll-out that the order belongs to.
func (s *service) recordFailure(ctx context.Context, o *activeOrder) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	repair := placement.Decision{Worker: o.decision.Worker, Target: o.previous, Reason: placement.ReasonRepair}
	if o.previous.Model != "" && o.decision.Reason != placement.ReasonRepair {
		if err := s.writer.appendOrder(ctx, repair); err != nil {
			s.placer.log.Info("Order not recorded.", "service", s.name, "worker", o.decision.Worker, "reason", err.Error())
		}
	}
	if o.decision.Reason != placement.ReasonRollout {
		return
	}
	if err := s.writer.appendHalt(ctx, o.decision.Target); err != nil {
		s.placer.log.Info("Halt not recorded.", "service", s.name, "reason", err.Error())
		return
	}
	s.placer.log.Info("Roll-out halted.", "service", s.name, "model", o.decision.Target.Model, "version", o.decision.Target.Version)
}
