package balancer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

const (
	// gatherTime is the time in which all connections to an upstream that has crashed are
	// found closed.
	gatherTime = 20 * time.Millisecond
	// crashConfirmTime is how long broken requests wait for a sign that the upstream has
	// crashed.
	crashConfirmTime = 10 * time.Second
)

// brokenRequests are requests whose connections one start of an upstream has closed while it
// began to run them. It has crashed if it accepts no connections any more, or is listed no
// more without having announced that. A reset, a late answer or a cut leaves it as it is.
type brokenRequests struct {
	up       catalog.Upstream
	suspects []quarantine.Suspect
	requests int
}

// BrokenOff records that the upstream has closed the connection while it began to run a
// request, with its suspects.
func (l *Lease) BrokenOff(suspects []quarantine.Suspect) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[l.service]
	if !ok || s.pool.Leaving(l.Upstream) || len(suspects) == 0 {
		return
	}
	hash := gossip.UpstreamHash(l.Upstream)
	broken, ok := b.broken[hash]
	if !ok {
		broken = &brokenRequests{up: l.Upstream}
		b.broken[hash] = broken
		time.AfterFunc(gatherTime, func() { b.checkCrash(hash, l) })
		time.AfterFunc(crashConfirmTime, func() { b.forgetBroken(hash, broken) })
	}
	broken.requests++
	broken.suspects = append(broken.suspects, suspects...)
}

// checkCrash opens a connection to an upstream that has broken off requests. The connection
// is kept for other requests.
func (b *Balancer) checkCrash(hash uint32, l *Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := l.Conns.Preconnect(ctx)
	b.mu.Lock()
	broken, ok := b.broken[hash]
	if !ok {
		b.mu.Unlock()
		return
	}
	switch {
	case err == nil:
		delete(b.broken, hash)
		b.mu.Unlock()
		b.log.Info("Upstream has closed connections but goes on.", "upstream", broken.up.ID, "requests", broken.requests)
	case errors.Is(err, syscall.ECONNREFUSED):
		delete(b.broken, hash)
		b.mu.Unlock()
		l.Conns.CloseIdle()
		b.reportCrash(broken, err.Error())
	default:
		b.mu.Unlock()
	}
}

func (b *Balancer) forgetBroken(hash uint32, broken *brokenRequests) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.broken[hash] == broken {
		delete(b.broken, hash)
	}
}

// takeUnlisted returns, and forgets, the broken requests of upstreams that are not listed any
// more. The caller holds mu.
func (b *Balancer) takeUnlisted() []*brokenRequests {
	var out []*brokenRequests
	for hash, broken := range b.broken {
		if _, listed := b.byHash[hash]; !listed {
			out = append(out, broken)
			delete(b.broken, hash)
		}
	}
	return out
}

// reportCrash reports a crash. The caller does not hold mu.
func (b *Balancer) reportCrash(broken *brokenRequests, evidence string) {
	b.crashes.Inc(1)
	subjects := make([]string, 0, len(broken.suspects))
	for _, s := range broken.suspects {
		subjects = append(subjects, s.Subject.String())
	}
	b.log.Info("Upstream has crashed.", "upstream", broken.up.ID, "started", broken.up.Started, "service", broken.up.Service,
		"requests", broken.requests, "subjects", subjects, "evidence", evidence)
	b.opt.Crashed(broken.up, broken.suspects)
}
