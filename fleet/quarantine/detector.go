package quarantine

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
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

	// addresses returns the addresses of the upstreams of a service. It may be nil.
	addresses func(service string) []netip.AddrPort

	mu     sync.Mutex
	broken map[uint64]*brokenRequests
	// reported has the crashes that were reported, by the upstream's address.
	reported map[netip.AddrPort]time.Time
	// manyAt is when many upstreams of a service refused connections at once.
	manyAt map[string]time.Time
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
		reported: make(map[netip.AddrPort]time.Time), manyAt: make(map[string]time.Time),
		crashes: metrics.GetOrRegisterCounter("upstream_crashes", registry),
	}
}

// SetAddresses sets the function that returns the addresses of the upstreams of a service, so
// that trouble of most of them is told from the crash of one. It must be called before the
// detector is used.
func (d *Detector) SetAddresses(addresses func(service string) []netip.AddrPort) {
	d.addresses = addresses
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
			if d.manyRefuse(b) {
				d.log.Info("Many upstreams refuse connections at once.", "upstream", b.upstream.ID, "service", b.upstream.Service, "requests", b.requests)
				return // the list will tell
			}
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

// Bounds of the trouble that is not put down to one request.
const (
	// sampledUpstreams is the number of other upstreams of the service to which connections are
	// opened.
	sampledUpstreams = 8
	// manyRefusing is the least number of them that refuse connections if they were cut off, or
	// lost power, together. Those whose crash this host has reported don't count, as a request
	// may crash one after the other.
	manyRefusing = 3
	// manyTime is how long after such a moment the list has to tell of each crash.
	manyTime = 5 * time.Second
)

// manyRefuse reports whether most upstreams of a service refuse connections, and not only the
// one that has broken off requests. A request crashes one upstream at a time.
func (d *Detector) manyRefuse(b *brokenRequests) bool {
	if d.reach == nil || d.addresses == nil {
		return false
	}
	d.mu.Lock()
	known := time.Since(d.manyAt[b.upstream.Service]) < manyTime
	d.mu.Unlock()
	if known {
		return true
	}
	others := slices.DeleteFunc(d.addresses(b.upstream.Service), func(a netip.AddrPort) bool {
		return a == b.upstream.Addr || d.hasCrashed(a)
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), sampledUpstreams)]
	states := make(chan reach.State, len(others))
	for _, addr := range others {
		go func() { states <- d.reach.Own(context.Background(), addr) }()
	}
	refuse := 0
	for range others {
		if <-states == reach.Refuses {
			refuse++
		}
	}
	if refuse < manyRefusing || 2*refuse < len(others) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.manyAt[b.upstream.Service] = time.Now()
	return true
}

// hasCrashed reports whether a crash of the upstream at an address was reported a short time ago.
func (d *Detector) hasCrashed(addr netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.reported, func(_ netip.AddrPort, at time.Time) bool { return time.Since(at) > confirmTime })
	_, ok := d.reported[addr]
	return ok
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
	// Restarted upstreams are listed with a later start.
	Restarted
)

// ApplyList applies a change of the list of upstreams. It reports a crash of each upstream with
// broken requests that is not listed any more, or was started again, and has not announced that.
func (d *Detector) ApplyList(state func(Upstream) State) {
	d.mu.Lock()
	var gone, restarted []*brokenRequests
	for hash, b := range d.broken {
		switch state(b.upstream) {
		case Leaving:
			delete(d.broken, hash)
		case Unlisted:
			gone = append(gone, b)
			delete(d.broken, hash)
		case Restarted:
			restarted = append(restarted, b)
			delete(d.broken, hash)
		}
	}
	d.mu.Unlock()
	for _, b := range restarted {
		d.report(b, "it has started again")
	}
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
	d.mu.Lock()
	d.reported[b.upstream.Addr] = time.Now()
	d.mu.Unlock()
	subjects := make([]string, 0, len(b.suspects))
	for _, s := range b.suspects {
		subjects = append(subjects, s.Subject.String())
	}
	d.log.Info("Upstream has crashed.", "upstream", b.upstream.ID, "service", b.upstream.Service,
		"requests", b.requests, "subjects", subjects, "evidence", evidence)
	d.crashed(b.upstream, b.suspects)
}
