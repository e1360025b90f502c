package balancer

import (
	"context"

	corequarantine "github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
)

// BrokenOff records that the upstream has closed the connection while it began to run a
// request, with its suspects. An upstream that has announced its stop may do so.
func (l *Lease) BrokenOff(suspects []corequarantine.Suspect) {
	b := l.balancer
	b.mu.Lock()
	s, ok := b.services[l.service]
	leaving := !ok || s.pool.Leaving(l.Upstream)
	b.mu.Unlock()
	if leaving {
		return
	}
	up := quarantine.Upstream{ID: l.Upstream.ID, Service: l.Upstream.Service, Addr: l.Upstream.Addr}
	up.Hash = uint64(gossip.UpstreamHash(l.Upstream))
	b.detector.BrokenOff(up, suspects, func(ctx context.Context) error {
		err := l.Conns.Preconnect(ctx)
		if err != nil {
			l.Conns.CloseIdle()
		}
		return err
	})
}

// listState returns the state of the upstream with a hash.
func (b *Balancer) listState(hash uint64) quarantine.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.byHash[uint32(hash)]
	if !ok {
		return quarantine.Unlisted
	}
	if s, ok := b.services[c.up.Service]; ok && s.pool.Leaving(c.up) {
		return quarantine.Leaving
	}
	return quarantine.Listed
}
