package shard

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/rendezvous"
	"github.com/hazelworks/hazelworks/fleet/member"
)

// ranked returns the hosts that may own a shard, first choice first, by
// rendezvous hash over the hosts believed live.
func (s *Service) ranked(id record.ShardID) []record.HostID {
	var nodes []rendezvous.Node
	for _, h := range s.opts.View.Hosts() {
		if h.Belief == member.StateLive {
			nodes = append(nodes, rendezvous.Node{ID: string(h.ID), Weight: 1})
		}
	}
	if len(nodes) == 0 {
		return []record.HostID{s.opts.Self.Host}
	}
	order := rendezvous.Order(rendezvous.KeyOf(record.StreamOfShard(id)), nodes)
	hosts := make([]record.HostID, len(order))
	for i, at := range order {
		hosts[i] = record.HostID(nodes[at].ID)
	}
	return hosts
}

// pick returns the host to ask for a shard: the first choice that skip does not
// exclude, or this host if all are excluded.
func (s *Service) pick(id record.ShardID, skip func(record.HostID) bool) record.HostID {
	for _, host := range s.ranked(id) {
		if skip == nil || !skip(host) {
			return host
		}
	}
	return s.opts.Self.Host
}

// route returns the host to submit to: a hint that is still fresh, else the
// first choice that has not failed lately. If all have, it is this host.
func (s *Service) route(id record.ShardID, tried map[record.HostID]bool) record.HostID {
	now := time.Now()
	s.mu.Lock()
	h, ok := s.hints[id]
	s.mu.Unlock()
	skip := func(host record.HostID) bool { return tried[host] || s.avoided(host, now) }
	if ok && now.Before(h.until) && !skip(h.owner) {
		return h.owner
	}
	return s.pick(id, skip)
}

func (s *Service) avoided(host record.HostID, now time.Time) bool {
	if host == s.opts.Self.Host {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoid[host])
}

// setAvoid keeps this host from asking an unreachable owner for a while.
func (s *Service) setAvoid(host record.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[host] = time.Now().Add(s.opts.AvoidTime)
}

func (s *Service) setHint(id record.ShardID, host record.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hints[id] = hint{owner: host, until: time.Now().Add(s.opts.AvoidTime)}
}

func (s *Service) clearHint(id record.ShardID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hints, id)
}
