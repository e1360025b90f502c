package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/rendezvous"
	"github.com/hazelworks/hazelworks/fleet/member"
)

// candidate is a host that may own shards.
type candidate struct {
	id   record.HostID
	hash uint64
}

// candidates are the hosts that may own shards at some point in time.
type candidates []candidate

// candidates returns the hosts that this host believes to be live.
func (s *Service) candidates() candidates {
	hosts := s.opts.View.Hosts()
	list := make(candidates, 0, len(hosts))
	for i := range hosts {
		if hosts[i].ObservedState == member.StateLive {
			id := hosts[i].ID
			list = append(list, candidate{id: id, hash: rendezvous.KeyOf(string(id))})
		}
	}
	return list
}

// best returns the host with the highest rendezvous score for a shard among those that
// skip does not exclude. It returns false if there is none.
func (c candidates) best(key uint64, skip func(record.HostID) bool) (record.HostID, bool) {
	var best record.HostID
	var top uint64
	found := false
	for _, host := range c {
		if skip != nil && skip(host.id) {
			continue
		}
		score := rendezvous.Mix(key, host.hash)
		if !found || score > top || (score == top && host.id < best) {
			best, top, found = host.id, score, true
		}
	}
	return best, found
}

func shardKey(id record.ShardID) uint64 {
	return rendezvous.KeyOf(record.StreamOfShard(id))
}

// ranked returns the hosts that may own a shard, highest rendezvous score first.
func (s *Service) ranked(id record.ShardID) []record.HostID {
	list := s.candidates()
	key := shardKey(id)
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rendezvous.Mix(key, b.hash), rendezvous.Mix(key, a.hash)), cmp.Compare(a.id, b.id))
	})
	hosts := make([]record.HostID, len(list))
	for i, host := range list {
		hosts[i] = host.id
	}
	return hosts
}

// pick returns the highest-ranked host for a shard that skip does not exclude, or this
// host if all are excluded.
func (s *Service) pick(id record.ShardID, skip func(record.HostID) bool) record.HostID {
	if host, ok := s.candidates().best(shardKey(id), skip); ok {
		return host
	}
	return s.opts.Self.Host
}

// Owner returns the host that this host would submit a shard's operations to.
func (s *Service) Owner(id record.ShardID) record.HostID {
	return s.route(id, nil)
}

// route returns the host to submit to: the owner named by a fresh hint, or the
// highest-ranked host that has not failed recently. If all have failed, it is this host.
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
	return now.Before(s.avoidUntil[host])
}

// setAvoid excludes an unreachable owner from calls for Options.AvoidTime.
func (s *Service) setAvoid(host record.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[host] = time.Now().Add(s.opts.AvoidTime)
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
