package balancer

import (
	"time"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

// SetLimitDomains sets the failure domains among which the limits of upstreams are divided,
// or nil if all hosts share them.
func (b *Balancer) SetLimitDomains(domains []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitDomains = domains
	for _, s := range b.services {
		s.pool.SetLimitDomains(domains, time.Now())
	}
}

// SetSharers sets the hosts, with this one, that share the room of brittle upstreams.
func (b *Balancer) SetSharers(hosts []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharers = hosts
	for _, s := range b.services {
		s.pool.SetSharers(b.opt.Host, hosts)
	}
}

// ApplyNotice applies what the upstream has stated in its answer. The other hosts are told
// if it is leaving or changes its limit.
func (l *Lease) ApplyNotice(n balance.Notice) {
	if n == (balance.Notice{}) {
		return
	}
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	news := b.applyNotice(l.Upstream, n, record.HostID(b.opt.Host), time.Now())
	if news.Leaving {
		b.opt.Broadcast(gossip.LeavingEvent(l.Upstream))
	}
	if news.Limit {
		b.opt.Broadcast(gossip.LimitEvent(l.Upstream, n.Limit))
	}
	if news.Brittle {
		b.opt.Broadcast(gossip.BrittleEvent(l.Upstream, n.Brittle))
	}
}

// Notices returns the events for all that upstreams have stated and that still holds.
func (b *Balancer) Notices() []gossip.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var events []gossip.Event
	for _, s := range b.services {
		s.pool.Notices(func(up catalog.Upstream, n balance.Notice) {
			if n.Leaving {
				events = append(events, gossip.LeavingEvent(up))
			}
			if n.Limit.State == balance.LimitPresent {
				events = append(events, gossip.LimitEvent(up, n.Limit))
			}
			if n.Brittle.State == balance.LimitPresent {
				events = append(events, gossip.BrittleEvent(up, n.Brittle))
			}
		})
	}
	return events
}

// applyNotice applies a notice that a host has received, and returns what was not known
// before. The caller holds mu.
func (b *Balancer) applyNotice(up catalog.Upstream, n balance.Notice, by record.HostID, now time.Time) balance.News {
	s, ok := b.services[up.Service]
	if !ok {
		return balance.News{}
	}
	news := s.pool.ApplyNotice(up, n, now)
	if news.Leaving {
		b.log.Info("Upstream states that it is leaving.", "upstream", up.ID, "started", up.Started, "told_to", by)
	}
	if n.RetryAfter > 0 {
		b.log.Info("Upstream asks for a pause.", "upstream", up.ID, "for", n.RetryAfter)
	}
	if news.Brittle {
		b.log.Info("Upstream states how many rejections it bears.", "upstream", up.ID, "brittle", n.Brittle.State == balance.LimitPresent,
			"per_second", n.Brittle.PerSecond, "told_to", by)
	}
	if news.Limit {
		b.limits.Inc(1)
		b.log.Info("Upstream changes its limit.", "upstream", up.ID, "limited", n.Limit.State == balance.LimitPresent,
			"per_second", n.Limit.PerSecond, "told_to", by)
	}
	return news
}
