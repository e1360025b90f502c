package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

// Server handles the calls of other hosts to a [Service].
type Server struct {
	svc *Service
}

// NewServer returns the server of a service.
func NewServer(svc *Service) Server { return Server{svc: svc} }

// Submit implements PeerService.Submit. Unless this host owns the shard or should, the
// response names the host to ask instead.
func (v Server) Submit(ctx context.Context, req *connect.Request[peerpb.SubmitRequest]) (*connect.Response[peerpb.SubmitResponse], error) {
	s := v.svc
	id := record.ShardID(req.Msg.GetShard())
	if owner, ok := s.redirectTarget(id, req.Msg.GetAvoid()); ok {
		return connect.NewResponse(&peerpb.SubmitResponse{NotOwner: true, Owner: string(owner)}), nil
	}
	ops, err := decodeOps(req.Msg.GetOps())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply, err := s.serve(ctx, id, ops)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res, err := encodeReply(&reply)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(res), nil
}

// redirectTarget returns the host to which this host would submit, and whether that is
// another host. It returns false if this host owns the shard. avoid lists the hosts that
// the caller could not reach.
func (s *Service) redirectTarget(id record.ShardID, avoid []string) (record.HostID, bool) {
	if r, ok := s.followed(id); ok && r.owns() {
		return "", false
	}
	skip := make(map[record.HostID]bool, len(avoid))
	for _, host := range avoid {
		skip[record.HostID(host)] = true
	}
	host := s.route(id, skip)
	return host, host != s.opts.Self.Host
}

func (r *replica) owns() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownsLocked(time.Now())
}

// ShardState implements PeerService.ShardState. It returns CodeNotFound for a shard that
// this host does not follow.
func (v Server) ShardState(_ context.Context, req *connect.Request[peerpb.ShardStateRequest]) (*connect.Response[peerpb.ShardStateResponse], error) {
	r, ok := v.svc.followed(record.ShardID(req.Msg.GetShard()))
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("shard is not followed"))
	}
	data, covers, err := r.snapshot(time.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerpb.ShardStateResponse{Covers: uint64(covers), Snapshot: data}), nil
}

func (s *Service) giveBack(ctx context.Context, budget record.BudgetID) (record.Tokens, error) {
	s.mu.Lock()
	returner := s.returner
	s.mu.Unlock()
	if returner == nil {
		return 0, nil
	}
	return returner.GiveBack(ctx, budget)
}

// recallHolder asks one holder to give back unused grants and returns the amount in
// tokens, zero on failure. It also updates slowHosts: later rounds don't wait for a host
// whose call timed out.
func (s *Service) recallHolder(h record.Holder, id record.ShardID, budget record.BudgetID) record.Tokens {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.RecallWait)
	defer cancel()
	amount, err := s.recallFrom(ctx, h, id, budget)
	s.mu.Lock()
	s.slowHosts[h.Host] = errors.Is(ctx.Err(), context.DeadlineExceeded)
	s.mu.Unlock()
	if err != nil {
		s.opts.Logger.Info("recall failed", "shard", id, "budget", budget, "holder", h.String(), "error", err.Error())
		return 0
	}
	return amount
}

func (s *Service) isSlow(host record.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowHosts[host]
}

func (s *Service) recallFrom(ctx context.Context, h record.Holder, id record.ShardID, budget record.BudgetID) (record.Tokens, error) {
	if h == s.opts.Self {
		return s.giveBack(ctx, budget)
	}
	if s.avoided(h.Host, time.Now()) {
		return 0, fmt.Errorf("%w: %s did not answer recently", errPeer, h.Host)
	}
	client, ok := s.opts.View.Client(h.Host)
	if !ok {
		return 0, fmt.Errorf("%w: %s is not known", errPeer, h.Host)
	}
	res, err := client.Recall(ctx, connect.NewRequest(&peerpb.RecallRequest{
		Shard: uint32(id), Budget: string(budget), Incarnation: uint64(h.Incarnation),
	}))
	if err != nil {
		return 0, err
	}
	return record.Tokens(res.Msg.GetReturned()), nil
}

func decodeOps(encoded [][]byte) ([]record.Op, error) {
	ops := make([]record.Op, len(encoded))
	for i, data := range encoded {
		op, err := record.DecodeOp(data)
		if err != nil {
			return nil, err
		}
		ops[i] = op
	}
	return ops, nil
}

func encodeReply(reply *Reply) (*peerpb.SubmitResponse, error) {
	res := &peerpb.SubmitResponse{Epoch: uint64(reply.Epoch)}
	for _, result := range reply.Results {
		data, err := ledger.EncodeResult(result)
		if err != nil {
			return nil, err
		}
		res.Results = append(res.Results, data)
	}
	for _, s := range reply.Shortages {
		out := &peerpb.Shortage{Budget: string(s.Budget), Available: int64(s.Available), Held: int64(s.Held)}
		for _, h := range s.Holders {
			out.Holders = append(out.Holders, &peerpb.Holding{
				Host: string(h.Holder.Host), Incarnation: uint64(h.Holder.Incarnation), Amount: int64(h.Amount),
			})
		}
		res.Shortages = append(res.Shortages, out)
	}
	return res, nil
}

func decodeReply(res *peerpb.SubmitResponse, count int) (Reply, error) {
	reply := Reply{Epoch: record.Offset(res.GetEpoch())}
	if len(res.GetResults()) != count {
		return Reply{}, fmt.Errorf("%w: %d results for %d operations", errPeer, len(res.GetResults()), count)
	}
	for _, data := range res.GetResults() {
		result, err := ledger.DecodeResult(data)
		if err != nil {
			return Reply{}, err
		}
		reply.Results = append(reply.Results, result)
	}
	for _, s := range res.GetShortages() {
		reply.Shortages = append(reply.Shortages, decodeShortage(s))
	}
	return reply, nil
}

func decodeShortage(s *peerpb.Shortage) Shortage {
	out := Shortage{
		Budget:    record.BudgetID(s.GetBudget()),
		Available: record.Tokens(s.GetAvailable()),
		Held:      record.Tokens(s.GetHeld()),
	}
	for _, h := range s.GetHolders() {
		out.Holders = append(out.Holders, Holding{
			Holder: record.Holder{Host: record.HostID(h.GetHost()), Incarnation: record.Incarnation(h.GetIncarnation())},
			Amount: record.Tokens(h.GetAmount()),
		})
	}
	return out
}
