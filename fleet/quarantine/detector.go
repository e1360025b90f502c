package quarantine

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/fleet/reach"
)

const (
	// gatherTime is the time in which all connections to an upstream that has crashed are
	// found closed.
	gatherTime = 20 * time.Millisecond
	// connectTimeout bounds the connection that is opened to see whether it has.
	connectTimeout = 300 * time.Millisecond
	// confirmTime is how long broken requests wait for a sign that the upstream has crashed.
	confirmTime = 10 * time.Second
)

// Upstream is an upstream that may have crashed.
type Upstream struct {
	quarantine.Upstream
	ID      string
	Service string
	// Addr is the address at which other hosts are asked to connect. It is not valid if it is
	// not an IP address.
	Addr netip.AddrPort
}

// Reach tells whether an upstream accepts connections; [reach.Prober] implements it.
type Reach interface {
	Own(ctx context.Context, upstream netip.AddrPort) reach.State
	Others(ctx context.Context, upstream netip.AddrPort) reach.Word
}

// Detector finds out which upstreams have crashed. It is safe for concurrent use.
type Detector struct {
	log     logr.Logger
	crashes metrics.Counter
	crashed func(Upstream, []quarantine.Suspect)
	// reach is nil if this host's own view has to do.
	reach Reach

	mu     sync.Mutex
	broken map[uint64]*brokenRequests
}

// brokenRequests are requests whose connections an upstream has closed while it began to run
// them. It has crashed if it refuses connections, or is listed no more without having announced
// that, and no other host can connect to it either. A reset, a late answer or a cut leaves it as
// it is.
type brokenRequests struct {
	upstream Upstream
	suspects []quarantine.Suspect
	requests int
}

// NewDetector returns a detector that calls crashed for each crash. reach may be nil.
func NewDetector(log logr.Logger, registry metrics.Registry, reach Reach, crashed func(Upstream, []quarantine.Suspect)) *Detector {
	return &Detector{
		log: log.WithName("quarantine"), crashed: crashed, reach: reach, broken: make(map[uint64]*brokenRequests),
		crashes: metrics.GetOrRegisterCounter("upstream_crashes", registry),
	}
}

// BrokenOff records that an upstream has closed the connection while it began to run a request.
// connect opens a connection to the upstream; an error that wraps [syscall.ECONNREFUSED] shows
// that it has crashed.
func (d *Detector) BrokenOff(up Upstream, suspects []quarantine.Suspect, connect func(context.Context) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.broken[up.Hash]
	if !ok {
		b = &brokenRequests{upstream: up}
		d.broken[up.Hash] = b
		time.AfterFunc(gatherTime, func() { d.check(b, connect) })
		time.AfterFunc(confirmTime, func() { d.take(b) })
	}
	b.requests++
	b.suspects = append(b.suspects, suspects...)
}

// check opens a connection to an upstream that has broken off requests.
func (d *Detector) check(b *brokenRequests, connect func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := connect(ctx)
	switch {
	case err == nil:
		if d.take(b) {
			d.log.Info("Upstream has closed connections but goes on.", "upstream", b.upstream.ID, "requests", b.requests)
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		switch d.othersWord(b) {
		case wordEnded:
			if d.take(b) {
				d.report(b, err.Error())
			}
		case wordLives:
			if d.take(b) {
				d.logCutOff(b)
			}
		}
	}
}

// word is what other hosts say of an upstream.
type word int

const (
	wordNone word = iota // the list will tell
	wordEnded
	wordLives
)

// othersWord asks other hosts whether an upstream that refuses this host's connections refuses
// theirs too. Without other hosts, this host's own view has to do.
func (d *Detector) othersWord(b *brokenRequests) word {
	if d.reach == nil || !b.upstream.Addr.IsValid() {
		return wordEnded
	}
	others := d.reach.Others(context.Background(), b.upstream.Addr)
	switch {
	case others.Accepts > 0:
		return wordLives
	case others.Refuses > 0 || others.Hosts == 0:
		return wordEnded
	}
	return wordNone
}

func (d *Detector) logCutOff(b *brokenRequests) {
	d.log.Info("Upstream is cut off from this host, and accepts connections of others.", "upstream", b.upstream.ID, "requests", b.requests)
}

// take forgets broken requests. It returns false if they were forgotten before.
func (d *Detector) take(b *brokenRequests) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.broken[b.upstream.Hash] != b {
		return false
	}
	delete(d.broken, b.upstream.Hash)
	return true
}

// State is what the list says of an upstream.
type State int

// States of an upstream.
const (
	Listed State = iota
	// Leaving upstreams have announced that they will stop.
	Leaving
	Unlisted
)

// ApplyList applies a change of the list of upstreams. It reports a crash of each upstream with
// broken requests that is not listed any more and has not announced that.
func (d *Detector) ApplyList(state func(hash uint64) State) {
	d.mu.Lock()
	var gone []*brokenRequests
	for hash, b := range d.broken {
		switch state(hash) {
		case Leaving:
			delete(d.broken, hash)
		case Unlisted:
			gone = append(gone, b)
			delete(d.broken, hash)
		}
	}
	d.mu.Unlock()
	for _, b := range gone {
		go d.checkUnlisted(b)
	}
}

// checkUnlisted reports a crash of an upstream that is not listed any more, unless it accepts
// connections: it may only have lost its path to the list.
func (d *Detector) checkUnlisted(b *brokenRequests) {
	if d.reach != nil && b.upstream.Addr.IsValid() {
		ctx := context.Background()
		if d.reach.Own(ctx, b.upstream.Addr) == reach.Accepts || d.reach.Others(ctx, b.upstream.Addr).Accepts > 0 {
			d.logCutOff(b)
			return
		}
	}
	d.report(b, "its entry was removed")
}

func (d *Detector) report(b *brokenRequests, evidence string) {
	d.crashes.Inc(1)
	subjects := make([]string, 0, len(b.suspects))
	for _, s := range b.suspects {
		subjects = append(subjects, s.Subject.String())
	}
	d.log.Info("Upstream has crashed.", "upstream", b.upstream.ID, "service", b.upstream.Service,
		"requests", b.requests, "subjects", subjects, "evidence", evidence)
	d.crashed(b.upstream, b.suspects)
}
