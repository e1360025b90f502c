package shard

import (
	"context"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
)

// State is the state of a shard on one host.
type State struct {
	Fold *shardfold.Fold
	// Host is the host whose replica was read.
	Host record.HostID
	// Fresh is false if the replica may lag behind the log, as in an outage.
	Fresh bool
}

// State returns the owner's state of a shard, or that of this host's replica if the
// owner can't be reached. The fold is a copy. It returns an error if this host stops or
// has no records of the shard yet.
func (s *Service) State(ctx context.Context, id record.ShardID) (State, error) {
	if r, ok := s.followed(id); ok && r.owns() {
		return s.ownState(r)
	}
	host := s.route(id, nil)
	if host != s.opts.Self.Host {
		if data, err := s.fetchPeerState(ctx, host, id); err == nil {
			fold, err := shardfold.Restore(data)
			return State{Fold: fold, Host: host, Fresh: true}, err
		}
	}
	r, err := s.replica(id)
	if err != nil {
		return State{}, err
	}
	r.touch(time.Now())
	if err := s.waitLoaded(ctx, r); err != nil && r.offset() == 0 {
		return State{}, err
	}
	return s.ownState(r)
}

func (s *Service) ownState(r *replica) (State, error) {
	now := time.Now()
	data, _, err := r.snapshot(now)
	if err != nil {
		return State{}, err
	}
	fold, err := shardfold.Restore(data)
	return State{Fold: fold, Host: s.opts.Self.Host, Fresh: r.fresh(now)}, err
}

// fresh reports whether the end of the stream was read within twice the poll wait.
func (r *replica) fresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.caughtUpAt) < 2*r.svc.opts.PollWait
}
