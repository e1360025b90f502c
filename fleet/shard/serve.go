package shard

import (
	"context"
	"errors"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

// Reply is the answer to a submission: one result for each operation, in order, and the
// shortages of grants that got less than they need.
type Reply struct {
	Results   []ledger.Result
	Shortages []Shortage
	Epoch     record.Offset
}

// serve handles operations as the shard's owner, or as the host that is about to take
// the shard over.
func (s *Service) serve(ctx context.Context, id record.ShardID, ops []record.Op) (Reply, error) {
	r, err := s.replica(id)
	if err != nil {
		return Reply{}, err
	}
	r.touch(time.Now())
	if err := s.waitLoaded(ctx, r); err != nil {
		return Reply{}, err
	}
	reply := Reply{Results: make([]ledger.Result, len(ops))}
	rest, index := s.refuseGrants(ctx, r, ops, &reply)
	if len(rest) > 0 {
		results, err := r.submit(ctx, rest)
		if err != nil {
			return Reply{}, err
		}
		for i, res := range results {
			reply.Results[index[i]] = res
			s.addShortage(r, &ops[index[i]], &res, &reply)
		}
	}
	reply.Epoch = r.currentEpoch()
	return reply, nil
}

func (s *Service) waitLoaded(ctx context.Context, r *replica) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.LoadWait)
	defer cancel()
	err := r.waitLoaded(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return ErrLogUnavailable
	}
	return err
}

// refuseGrants puts the results of grants that the budget can't cover, even after a
// recall from the other holders, into reply. It returns the remaining operations, which
// must be appended, and their indexes in ops.
func (s *Service) refuseGrants(ctx context.Context, r *replica, ops []record.Op, reply *Reply) ([]record.Op, []int) {
	var rest []record.Op
	var index []int
	for i := range ops {
		op := &ops[i]
		if op.Kind == record.KindGrant && s.refuseGrant(ctx, r, op, &reply.Results[i]) {
			reply.Shortages = append(reply.Shortages, r.shortage(op))
			continue
		}
		rest = append(rest, *op)
		index = append(index, i)
	}
	return rest, index
}

// refuseGrant reports whether the budget can't cover a grant even after a recall, and
// sets the result if so. Grants without a need cause no recall.
func (s *Service) refuseGrant(ctx context.Context, r *replica, op *record.Op, res *ledger.Result) bool {
	short, ok := r.shortResult(op)
	if !ok {
		return false
	}
	if op.Need > 0 {
		r.recallGrants(ctx, op)
		short, ok = r.shortResult(op)
	}
	*res = short
	return ok
}

func (s *Service) addShortage(r *replica, op *record.Op, res *ledger.Result, reply *Reply) {
	if op.Kind == record.KindGrant && res.Granted < max(1, op.Need) {
		reply.Shortages = append(reply.Shortages, r.shortage(op))
	}
}

func (r *replica) currentEpoch() record.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.Epoch()
}

// submit queues operations for the next batch and waits for their results.
func (r *replica) submit(ctx context.Context, ops []record.Op) ([]ledger.Result, error) {
	c, err := newCall(ctx, ops)
	if err != nil {
		return nil, err
	}
	r.queue.add(c)
	select {
	case res := <-c.done:
		return res.results, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.ctx.Done():
		return nil, ErrClosed
	}
}
