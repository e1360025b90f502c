package shard

import (
	"context"
	"errors"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

const (
	minAppendBackoff = 20 * time.Millisecond
	maxAppendBackoff = time.Second
	// appendTries bounds the sendings of one batch before its callers are told.
	appendTries = 4
	// firstResendWait is the wait for a read-back before an append whose effect
	// is unknown is sent again; it doubles with each try.
	firstResendWait = 50 * time.Millisecond
)

// write appends queued operations in batches until the replica stops. While one
// batch is under way, new operations collect for the next.
func (r *replica) write() {
	defer r.queue.fail(ErrClosed)
	if r.waitLoaded(r.ctx) != nil {
		return
	}
	throttle := backoff{low: minAppendBackoff, high: maxAppendBackoff}
	pace := newAppendPace(r.svc.opts.AppendsPerSecond, r.svc.opts.Shards)
	for r.collect() {
		if pace.wait(r.ctx) != nil {
			return
		}
		calls := r.queue.take(r.svc.opts.MaxBatchOps, r.svc.opts.MaxBatchBytes)
		if len(calls) == 0 {
			continue
		}
		if err := r.send(calls); errors.Is(err, platform.ErrThrottled) {
			r.svc.throttled.Inc(1)
			r.queue.putBack(calls)
			throttle.fail()
		} else {
			throttle.ease()
		}
		if throttle.current > 0 {
			pause(r.ctx, r.svc.jitter(throttle.current))
		}
	}
}

// collect waits until a batch is due. It returns false when the replica stops.
func (r *replica) collect() bool {
	for {
		delay, some := r.queue.delay(time.Now(), r.svc.opts.ReportDelay)
		if some && delay == 0 {
			return r.ctx.Err() == nil
		}
		if !r.waitSignal(delay, some) {
			return false
		}
	}
}

// waitSignal waits for a new call, or for delay if timed is set.
func (r *replica) waitSignal(delay time.Duration, timed bool) bool {
	var due <-chan time.Time
	if timed {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-r.queue.signal:
	case <-due:
	case <-r.ctx.Done():
		return false
	}
	return true
}

// send appends one batch and answers its calls after reading it back. Only for
// ErrThrottled the calls are left unanswered.
func (r *replica) send(calls []*call) error {
	batch := r.compose(calls)
	data, err := record.EncodeBatch(batch)
	if err != nil {
		finishAll(calls, err)
		return err
	}
	ch := r.expect(batch.Seq)
	defer r.forget(batch.Seq)
	back, err := r.appendAndRead(data, ch)
	switch {
	case err == nil:
		answer(calls, batch, back.results)
	case !errors.Is(err, platform.ErrThrottled):
		finishAll(calls, err)
	}
	return err
}

// appendAndRead appends a batch until it is read back. The batch is sent again
// when the reply of an append was lost; the fold drops the second copy.
func (r *replica) appendAndRead(data []byte, ch chan readBack) (readBack, error) {
	unknown := false
	wait := firstResendWait
	for try := 1; ; try++ {
		err := r.append(data)
		if err == nil {
			return r.await(ch, r.svc.opts.ReadBackWait)
		}
		noEffect := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled)
		if !unknown && errors.Is(err, platform.ErrThrottled) {
			return readBack{}, platform.ErrThrottled
		}
		unknown = unknown || !noEffect
		back, readErr := r.await(ch, r.svc.jitter(wait))
		if readErr == nil {
			return back, nil
		}
		if r.ctx.Err() != nil {
			return readBack{}, ErrClosed
		}
		if try == appendTries {
			return readBack{}, giveUp(unknown, err)
		}
		r.svc.resends.Inc(1)
		wait *= 2
	}
}

func giveUp(unknown bool, err error) error {
	if unknown {
		return errors.Join(ErrNotReadBack, err)
	}
	return errors.Join(ErrLogUnavailable, err)
}

func (r *replica) append(data []byte) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.svc.opts.AppendTimeout)
	defer cancel()
	_, err := r.svc.opts.Log.Append(ctx, r.stream, data)
	if err == nil {
		r.svc.appends.Inc(1)
	}
	return err
}

func (r *replica) await(ch chan readBack, wait time.Duration) (readBack, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case back := <-ch:
		return back, nil
	case <-timer.C:
		return readBack{}, ErrNotReadBack
	case <-r.ctx.Done():
		return readBack{}, ErrClosed
	}
}

// compose builds the batch of calls. If this host does not own the shard and an
// operation depends on that, the batch takes the shard over in the same record.
func (r *replica) compose(calls []*call) *record.Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := &record.Batch{
		Writer: r.svc.opts.Self,
		Seq:    r.svc.batchSeq.Add(1),
		Epoch:  r.epoch,
	}
	if r.epoch == 0 && anyEpochBound(calls) {
		batch.OpensEpoch = true
		batch.Ops = append(batch.Ops, record.Op{Kind: record.KindEpoch})
		r.svc.takeovers.Inc(1)
		r.svc.opts.Logger.Info("taking shard over", "shard", r.id, "from", r.fold.Owner().String())
	}
	limit := newGrantLimit(r.fold)
	for _, c := range calls {
		for _, op := range c.ops {
			if op.Kind == record.KindGrant {
				op.Amount = limit.limit(&op)
			}
			batch.Ops = append(batch.Ops, op)
		}
	}
	return batch
}

func anyEpochBound(calls []*call) bool {
	for _, c := range calls {
		for i := range c.ops {
			if epochBound(c.ops[i].Kind) {
				return true
			}
		}
	}
	return false
}

func epochBound(kind record.Kind) bool {
	return kind == record.KindGrant || kind == record.KindClaim
}

// answer hands each call its part of a batch's results.
func answer(calls []*call, batch *record.Batch, results []ledger.Result) {
	next := 0
	if batch.OpensEpoch {
		next = 1
	}
	for _, c := range calls {
		c.finish(results[next:next+len(c.ops)], nil)
		next += len(c.ops)
	}
}

func finishAll(calls []*call, err error) {
	for _, c := range calls {
		c.finish(nil, err)
	}
}
