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
	// maxAppendAttempts is the maximum number of appends of one batch before its callers
	// get an error.
	maxAppendAttempts = 4
	// initialResendDelay is the time to wait for the read-back of a failed append before
	// it is sent again. It doubles with each attempt.
	initialResendDelay = 50 * time.Millisecond
)

// write appends queued operations in batches until the replica stops. While a batch is
// in flight, new operations are queued for the next.
func (r *replica) write() {
	defer r.queue.fail(ErrClosed)
	if r.waitLoaded(r.ctx) != nil {
		return
	}
	throttle := backoff{low: minAppendBackoff, high: maxAppendBackoff}
	limiter := newAppendLimiter(r.svc.opts.AppendsPerSecond, r.svc.opts.Shards)
	for r.waitBatchDue() {
		if limiter.wait(r.ctx) != nil {
			return
		}
		calls := r.queue.take(r.svc.opts.MaxBatchOps, r.svc.opts.MaxBatchBytes)
		if len(calls) == 0 {
			continue
		}
		if err := r.send(calls); errors.Is(err, platform.ErrThrottled) {
			r.svc.throttled.Inc(1)
			r.queue.putBack(calls)
			throttle.increase()
		} else {
			throttle.decrease()
		}
		if throttle.current > 0 {
			pause(r.ctx, r.svc.jitter(throttle.current))
		}
	}
}

// waitBatchDue waits until a batch is due. It returns false when the replica stops.
func (r *replica) waitBatchDue() bool {
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

// waitSignal waits for a change of the queue, but at most for delay if timed is true. It
// returns false when the replica stops.
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

// send appends one batch and finishes its calls after reading it back, or with an error.
// On ErrThrottled, the calls are not finished.
func (r *replica) send(calls []*call) error {
	batch := r.buildBatch(calls)
	data, err := record.EncodeBatch(batch)
	if err != nil {
		finishAll(calls, err)
		return err
	}
	ch := r.addPending(batch.Seq)
	defer r.removePending(batch.Seq)
	back, err := r.appendAndRead(data, ch)
	switch {
	case err == nil:
		answer(calls, batch, back.results)
	case !errors.Is(err, platform.ErrThrottled):
		finishAll(calls, err)
	}
	return err
}

// appendAndRead appends a batch and waits until it is read back. It sends the batch again
// if an append fails, also when its effect is unknown: the fold ignores a second copy.
func (r *replica) appendAndRead(data []byte, ch chan readBack) (readBack, error) {
	effectUnknown := false
	wait := initialResendDelay
	for try := 1; ; try++ {
		err := r.append(data)
		if err == nil {
			return r.awaitReadBack(ch, r.svc.opts.ReadBackWait)
		}
		noEffect := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled)
		if !effectUnknown && errors.Is(err, platform.ErrThrottled) {
			return readBack{}, platform.ErrThrottled
		}
		effectUnknown = effectUnknown || !noEffect
		back, readErr := r.awaitReadBack(ch, r.svc.jitter(wait))
		if readErr == nil {
			return back, nil
		}
		if r.ctx.Err() != nil {
			return readBack{}, ErrClosed
		}
		if try == maxAppendAttempts {
			return readBack{}, appendError(effectUnknown, err)
		}
		r.svc.resends.Inc(1)
		wait *= 2
	}
}

func appendError(effectUnknown bool, err error) error {
	if effectUnknown {
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

func (r *replica) awaitReadBack(ch chan readBack, wait time.Duration) (readBack, error) {
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

// buildBatch returns the batch of calls. If this host does not own the shard and an
// operation is bound to an epoch, the batch first takes the shard over, in the same
// record.
func (r *replica) buildBatch(calls []*call) *record.Batch {
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
		r.svc.opts.Logger.Info("taking over the shard", "shard", r.id, "from", r.fold.Owner().String())
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

// answer finishes each call with its part of a batch's results.
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
