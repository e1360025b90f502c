package shard

import (
	"context"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

// call is one submission, which waits until its operations are read back.
type call struct {
	ctx      context.Context
	ops      []record.Op
	size     int
	urgent   bool
	queuedAt time.Time
	done     chan callResult
}

type callResult struct {
	results []ledger.Result
	err     error
}

func (c *call) finish(results []ledger.Result, err error) {
	c.done <- callResult{results: results, err: err}
}

// newCall returns a call for ops. Grants, claims, operators' operations and closing
// reports are urgent. Other reports and outcomes may wait for more to share their record,
// unless grants are being recalled.
func newCall(ctx context.Context, ops []record.Op) (*call, error) {
	c := &call{ctx: ctx, ops: ops, queuedAt: time.Now(), done: make(chan callResult, 1)}
	for i := range ops {
		data, err := record.EncodeOp(&ops[i])
		if err != nil {
			return nil, err
		}
		c.size += len(data)
		c.urgent = c.urgent || isUrgent(&ops[i])
	}
	return c, nil
}

func isUrgent(op *record.Op) bool {
	switch op.Kind {
	case record.KindOutcome:
		return false
	case record.KindReport:
		return op.Report != nil && op.Report.Closing
	default:
		return true
	}
}

// queue contains the calls that wait for the next batch.
type queue struct {
	mu         sync.Mutex
	waiting    []*call
	eagerCount int           // while positive, reports are not delayed
	signal     chan struct{} // has one element after a change that the writer has not seen
}

func newQueue() queue {
	return queue{signal: make(chan struct{}, 1)}
}

func (q *queue) add(c *call) {
	q.mu.Lock()
	q.waiting = append(q.waiting, c)
	q.mu.Unlock()
	q.wake()
}

// setEager starts or ends a period in which reports are not delayed, such as a recall of
// grants. Periods may overlap.
func (q *queue) setEager(on bool) {
	q.mu.Lock()
	if on {
		q.eagerCount++
	} else {
		q.eagerCount--
	}
	q.mu.Unlock()
	q.wake()
}

func (q *queue) wake() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// delay returns the time until the next batch is due, or false if the queue is empty.
func (q *queue) delay(now time.Time, reportDelay time.Duration) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return 0, false
	}
	if q.eagerCount > 0 {
		return 0, true
	}
	for _, c := range q.waiting {
		if c.urgent {
			return 0, true
		}
	}
	return max(0, q.waiting[0].queuedAt.Add(reportDelay).Sub(now)), true
}

// take removes the calls of the next batch from the queue and returns them. It drops
// calls whose context has ended.
func (q *queue) take(maxOps, maxBytes int) []*call {
	q.mu.Lock()
	defer q.mu.Unlock()
	var taken []*call
	ops, size := 0, 0
	for len(q.waiting) > 0 {
		c := q.waiting[0]
		full := ops+len(c.ops) > maxOps || size+c.size > maxBytes
		if full && len(taken) > 0 {
			break
		}
		q.waiting = q.waiting[1:]
		if err := c.ctx.Err(); err != nil {
			c.finish(nil, err)
			continue
		}
		taken = append(taken, c)
		ops += len(c.ops)
		size += c.size
	}
	return taken
}

// putBack puts calls that were not sent at the front of the queue.
func (q *queue) putBack(calls []*call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(calls, q.waiting...)
}

// fail ends all waiting calls with err.
func (q *queue) fail(err error) {
	q.mu.Lock()
	calls := q.waiting
	q.waiting = nil
	q.mu.Unlock()
	for _, c := range calls {
		c.finish(nil, err)
	}
}
