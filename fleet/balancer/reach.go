package balancer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hazelworks/hazelworks/fleet/exchange"
)

// reachProbeInterval is the time between two connections that a host tries to open to an upstream
// which is out of reach, or to any of a service from which it is cut off.
const reachProbeInterval = 250 * time.Millisecond

// probeSpacing is the least time between two connections that a host tries to open to all upstreams that
// are out of reach together. A host that is late itself may find all of a large service out of reach, and
// attempts at each of them would keep it late.
const probeSpacing = 20 * time.Millisecond

// reconnectInterval returns the time between two attempts at one upstream while outOfReach of them are
// tried.
func reconnectInterval(outOfReach int64) time.Duration {
	return max(reachProbeInterval, time.Duration(outOfReach)*probeSpacing)
}

// Reached records that the upstream has answered.
func (l *Lease) Reached() {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.services[l.service]; ok {
		s.reach.Reached(time.Now())
	}
}

// NotReached records that the upstream has not answered: the connection failed or broke off
// before the answer, or the answer is long overdue.
func (l *Lease) NotReached() {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[l.service]
	if !ok {
		return
	}
	now := time.Now()
	s.reach.NotReached(l.Upstream.ID, now)
	if !s.probing && !b.closed && s.reach.Suspected(s.pool.Open(now)) {
		s.probing = true
		go b.probeReach(l.service, s)
	}
}

// maxLateExcuse is the time without any contact with a service after which timeouts count even if this
// host is late: several times as long as late answers take.
const maxLateExcuse = 2 * time.Second

// Overdue records that the upstream has not answered within a time. That proves nothing while this
// host's own timers are late.
func (l *Lease) Overdue(waited time.Duration) {
	if !l.excused(waited) {
		l.NotReached()
	}
}

// TimeoutProves reports whether a timeout after a time says something about the upstream. Another
// request may have begun to wait for the connection before.
func (l *Lease) TimeoutProves(waited time.Duration) bool {
	return !l.excused(max(waited, connectTimeout))
}

// excused reports whether this host itself was late in the time before now, and other upstreams of the
// service have answered it shortly before.
func (l *Lease) excused(waited time.Duration) bool {
	b := l.balancer
	if !b.late(waited) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[l.service]
	return ok && !s.reach.SilentFor(maxLateExcuse, time.Now())
}

// late reports whether this host's own timers were late in the time before now.
func (b *Balancer) late(span time.Duration) bool { return b.opt.Late != nil && b.opt.Late(span) }

// NotConnected records that the upstream has not accepted a connection. Other upstreams are
// preferred until it accepts one, which is tried now and then.
func (l *Lease) NotConnected() {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[l.service]
	if !ok || !s.pool.SetOutOfReach(l.Upstream, true, time.Now()) {
		return
	}
	b.log.Info("Upstream is out of reach.", "upstream", l.Upstream.ID, "service", l.service)
	go b.reconnect(s, l)
}

// reconnect tries to open a connection to an upstream until it accepts one or has left the list.
func (b *Balancer) reconnect(s *service, l *Lease) {
	began := time.Now()
	b.reconnecting.Add(1)
	defer b.reconnecting.Add(-1)
	for {
		time.Sleep(reconnectInterval(b.reconnecting.Load()))
		b.mu.Lock()
		c, listed := b.conns[l.Upstream.ID]
		listed = listed && c.pool == l.Conns
		closed, emptied := b.closed, b.isEmptied(l.service, l.Upstream.ID)
		b.mu.Unlock()
		if !listed || closed {
			return
		}
		if emptied {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		err := l.Conns.Preconnect(ctx)
		cancel()
		if err != nil {
			continue
		}
		b.mu.Lock()
		s.reach.Reached(time.Now())
		s.pool.SetOutOfReach(l.Upstream, false, time.Now())
		b.mu.Unlock()
		b.log.Info("Upstream is within reach again.", "upstream", l.Upstream.ID, "service", l.service, "after", time.Since(began))
		return
	}
}

// ReachedAgo returns the time since this host's last contact with an upstream of a service, or
// false if it was not shortly before.
func (b *Balancer) ReachedAgo(service string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	if !ok {
		return 0, false
	}
	return s.reach.ReachedAgo(time.Now())
}

// OthersReach reports whether another host has had contact with an upstream of a service shortly
// before.
func (b *Balancer) OthersReach(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	return ok && s.reach.OthersReach(time.Now())
}

// CutOff reports whether this host reaches no upstream of a service while other hosts do.
func (b *Balancer) CutOff(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	now := time.Now()
	return ok && s.reach.CutOff(s.pool.Open(now), now)
}

// probeReach asks other hosts whether they reach a service, and tries to open a connection to one
// of its upstreams, until that succeeds.
func (b *Balancer) probeReach(name string, s *service) {
	began := time.Now()
	b.log.Info("The last upstreams of a service were out of reach.", "service", name)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		asked := time.Now()
		var ago time.Duration
		others := false
		if b.opt.Reach != nil {
			ago, others = b.opt.Reach.OthersReached(ctx, name)
		}
		cancel()
		b.mu.Lock()
		if others {
			s.reach.OthersReached(asked.Add(-ago))
		}
		conns := b.randomConns(name)
		b.mu.Unlock()
		ctx, cancel = context.WithTimeout(context.Background(), connectTimeout)
		accepted := conns != nil && conns.Preconnect(ctx) == nil
		cancel()
		b.mu.Lock()
		now := time.Now()
		if accepted {
			s.reach.Reached(now)
		}
		done := b.closed || !s.reach.Suspected(s.pool.Open(now))
		s.probing = !done
		b.mu.Unlock()
		if done {
			b.log.Info("An upstream of the service is within reach again.", "service", name, "after", time.Since(began))
			return
		}
		time.Sleep(reachProbeInterval)
	}
}

// CountForwarded counts a request that another host sends to its upstreams for this one.
func (b *Balancer) CountForwarded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.recentLeases = b.recentAt(now) + 1
	b.lastPick = now
}

// randomConns returns the connections to a random upstream of a service, or nil. The caller
// holds mu.
func (b *Balancer) randomConns(service string) *exchange.Pool {
	var all []*exchange.Pool
	for _, c := range b.conns {
		if c.up.Service == service && !c.up.Leaving && !b.isEmptied(service, c.up.ID) {
			all = append(all, c.pool)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[rand.IntN(len(all))]
}

// Close ends the attempts to reach upstreams.
func (b *Balancer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}
