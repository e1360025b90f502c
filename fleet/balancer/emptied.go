package balancer

import (
	"time"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/routes"
)

// SetEmptied sets the failure domains whose upstreams get nothing new.
func (b *Balancer) SetEmptied(domains []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.emptied = domains
	for _, s := range b.services {
		s.pool.SetEmptied(domains, time.Now())
	}
}

// SetMembers sets the hosts, with this one, that divide the rates of cold upstreams: all that are
// listed. It is nil until they are known.
func (b *Balancer) SetMembers(hosts []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = hosts
	for _, s := range b.services {
		s.pool.SetMembers(hosts)
	}
}

// setUpFleet tells a new pool what belongs to the whole fleet. The caller holds mu.
func (b *Balancer) setUpFleet(pool *balance.Pool, svc *routes.Service) {
	now := time.Now()
	pool.SetCold(svc.ColdPerSecond, svc.ColdStart)
	pool.SetLimitDomains(b.limitDomains, now)
	pool.SetSharers(b.opt.Host, b.sharers)
	pool.SetMembers(b.members)
	pool.SetEmptied(b.emptied, now)
}

// isEmptied reports whether an upstream of a service is in an emptied failure domain.
func (b *Balancer) isEmptied(service, id string) bool {
	s, ok := b.services[service]
	return ok && s.pool.Emptied(id)
}

// roomDelay returns the time until an upstream has room for a query, as far as that is known, and
// whether none has now.
func (b *Balancer) roomDelay(service string, q *balance.Query) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	now := time.Now()
	if !ok || !s.pool.Full(q, now) {
		return 0, false
	}
	return s.pool.RoomDelay(q, now), true
}
