package shard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

// maxSubmitAttempts is the maximum number of attempts of one submission, each at another
// host or in another epoch.
const maxSubmitAttempts = 6

// errNotOwner is returned if the called host does not own the shard.
var errNotOwner = errors.New("shard: the host asked is not the owner")

// errStale is returned if the shard changed its owner during each attempt.
var errStale = errors.New("shard: the owner was superseded while it served")

// Submit submits operations to the shard's owner and returns one result for each after
// it has been read back from the log. Operations are idempotent: after an error, their
// effect is unknown and they may be submitted again.
func (s *Service) Submit(ctx context.Context, id record.ShardID, ops []record.Op) ([]ledger.Result, error) {
	reply, err := s.Request(ctx, id, ops)
	return reply.Results, err
}

// Request is like Submit, but returns the whole reply, with the shortages of grants.
func (s *Service) Request(ctx context.Context, id record.ShardID, ops []record.Op) (Reply, error) {
	if len(ops) == 0 {
		return Reply{}, nil
	}
	reply := Reply{Results: make([]ledger.Result, len(ops))}
	unanswered := make([]int, len(ops))
	for i := range ops {
		unanswered[i] = i
	}
	lastErr := errStale
	tried := make(map[record.HostID]bool)
	for attempt := 0; attempt < maxSubmitAttempts && len(unanswered) > 0; attempt++ {
		part, err := s.submitOnce(ctx, id, pickOps(ops, unanswered), tried)
		if err == nil {
			unanswered = merge(&reply, part, unanswered)
			continue
		}
		lastErr = err
		if ctx.Err() != nil || !retryable(err) || s.allTried(id, tried) {
			return Reply{}, err
		}
	}
	if len(unanswered) > 0 {
		return Reply{}, lastErr
	}
	return reply, nil
}

// retryable reports whether another attempt, possibly at another host, may succeed.
func retryable(err error) bool {
	return errors.Is(err, errNotOwner) || errors.Is(err, errPeer) ||
		errors.Is(err, ErrLogUnavailable) || errors.Is(err, ErrNotReadBack)
}

// allTried reports whether all hosts that may own the shard have failed.
func (s *Service) allTried(id record.ShardID, tried map[record.HostID]bool) bool {
	for _, host := range s.ranked(id) {
		if !tried[host] {
			return false
		}
	}
	return tried[s.opts.Self.Host]
}

// submitOnce submits to the host that should own the shard, or to this host if all
// others have failed. A host that fails is added to tried.
func (s *Service) submitOnce(ctx context.Context, id record.ShardID, ops []record.Op, tried map[record.HostID]bool) (Reply, error) {
	host := s.route(id, tried)
	if host == s.opts.Self.Host {
		reply, err := s.serve(ctx, id, ops)
		if err != nil {
			tried[host] = true
		}
		return reply, err
	}
	reply, err := s.submitToPeer(ctx, host, id, ops, tried)
	if errors.Is(err, errPeer) && ctx.Err() == nil {
		tried[host] = true
		s.setAvoid(host)
		s.clearHint(id)
		s.opts.Logger.Info("owner unreachable", "shard", id, "host", host, "error", err.Error())
		pause(ctx, s.jitter(s.opts.TakeoverWait))
	}
	return reply, err
}

func pickOps(ops []record.Op, indexes []int) []record.Op {
	list := make([]record.Op, len(indexes))
	for i, index := range indexes {
		list[i] = ops[index]
	}
	return list
}

// merge copies the results of a partial reply into reply and returns the indexes of the
// operations that were rejected for a stale epoch.
func merge(reply *Reply, part Reply, indexes []int) []int {
	var stale []int
	for i, index := range indexes {
		if part.Results[i].Reason == ledger.ReasonStaleEpoch {
			stale = append(stale, index)
			continue
		}
		reply.Results[index] = part.Results[i]
	}
	reply.Shortages = append(reply.Shortages, part.Shortages...)
	reply.Epoch = part.Epoch
	return stale
}

// errPeer is returned if a call to another host was not possible or failed.
var errPeer = errors.New("shard: host failed")

// submitToPeer submits to another host.
func (s *Service) submitToPeer(ctx context.Context, host record.HostID, id record.ShardID, ops []record.Op, tried map[record.HostID]bool) (Reply, error) {
	client, ok := s.opts.View.Client(host)
	if !ok {
		return Reply{}, fmt.Errorf("%w: %s is not known", errPeer, host)
	}
	req := &peerpb.SubmitRequest{Shard: uint32(id), Avoid: s.unusable(tried)}
	for i := range ops {
		data, err := record.EncodeOp(&ops[i])
		if err != nil {
			return Reply{}, err
		}
		req.Ops = append(req.Ops, data)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.PeerTimeout)
	defer cancel()
	res, err := client.Submit(ctx, connect.NewRequest(req))
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %s: %w", errPeer, host, err)
	}
	if res.Msg.GetNotOwner() {
		s.setHint(id, record.HostID(res.Msg.GetOwner()))
		return Reply{}, errNotOwner
	}
	return decodeReply(res.Msg, len(ops))
}

// unusable returns the hosts that have failed in this submission or are avoided.
func (s *Service) unusable(tried map[record.HostID]bool) []string {
	now := time.Now()
	list := make([]string, 0, len(tried))
	for host := range tried {
		list = append(list, string(host))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, until := range s.avoidUntil {
		if now.Before(until) && !tried[host] {
			list = append(list, string(host))
		}
	}
	slices.Sort(list)
	return list
}
