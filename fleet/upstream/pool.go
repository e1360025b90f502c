// Package upstream leases upstreams to requests. For each service it keeps the
// fair queue, the routing state and one connection pool per upstream. It follows
// the settings, the reports of the upstreams, the drains by operators and the
// platform's list of upstream hosts.
package upstream

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/route"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/member"
)

// Dialer opens connections to upstreams.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Options configures a [Pool]. Settings is required.
type Options struct {
	Self     record.Holder
	Settings settings.Source
	// View returns the hosts that share the upstreams; nil means this host alone.
	View member.View
	// UpstreamHosts is the platform's list of upstream hosts, by upstream ID. Upstreams
	// that it lists as leaving get no new requests. It may be nil.
	UpstreamHosts platform.HostList
	// Dial opens all connections; nil means TCP.
	Dial    Dialer
	Logger  logr.Logger
	Metrics metrics.Registry
	// Rand is the source of randomness; nil means a random seed.
	Rand  *rand.Rand
	Route route.Config
}

// Pool leases the upstreams of all services. It implements [dispatch.Picker].
type Pool struct {
	opt     Options
	log     logr.Logger
	metrics poolMetrics

	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*service
	current  *settings.Resolved
	hosts    []string
	// drained holds the IDs of upstreams that operators drain, listedLeaving
	// those that the platform lists as leaving.
	drained       map[string]bool
	listedLeaving map[string]bool
}

// syncInterval is how often Run checks the settings and hosts for changes. Each
// request checks the settings too.
const syncInterval = 250 * time.Millisecond

// NewPool returns a pool of the upstreams in the current settings.
func NewPool(opt Options) *Pool {
	if opt.Rand == nil {
		opt.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opt.Dial == nil {
		opt.Dial = defaultDial
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewRegistry()
	}
	if opt.Logger.GetSink() == nil {
		opt.Logger = logr.Discard()
	}
	p := &Pool{
		opt:           opt,
		log:           opt.Logger.WithName("upstream"),
		metrics:       newPoolMetrics(opt.Metrics),
		rng:           opt.Rand,
		services:      make(map[string]*service),
		drained:       make(map[string]bool),
		listedLeaving: make(map[string]bool),
	}
	p.syncSettings(time.Now())
	return p
}

// Pick implements [dispatch.Picker].
func (p *Pool) Pick(ctx context.Context, q dispatch.Query) (dispatch.Lease, error) {
	return p.serviceOf(q.Service).pick(ctx, q)
}

// serviceOf returns the state of a service, after applying the current settings.
func (p *Pool) serviceOf(svc *settings.Service) *service {
	p.syncSettings(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.services[svc.Name]
	if !ok { // A request may refer to settings newer or older than the current ones.
		s = p.newService(svc)
		p.services[svc.Name] = s
	}
	return s
}

// syncSettings applies the current settings if they have changed.
func (p *Pool) syncSettings(now time.Time) {
	current := p.opt.Settings.Current()
	p.mu.Lock()
	defer p.mu.Unlock()
	if current == nil || current == p.current {
		return
	}
	if p.current != nil && current.Version < p.current.Version {
		return
	}
	p.current = current
	p.apply(now)
}

// apply updates all services to the settings and the leaving upstreams. The
// caller holds p.mu.
func (p *Pool) apply(now time.Time) {
	seen := make(map[string]bool)
	for i := range p.current.Services {
		svc := &p.current.Services[i]
		seen[svc.Name] = true
		s, ok := p.services[svc.Name]
		if !ok {
			s = p.newService(svc)
			p.services[svc.Name] = s
			continue
		}
		s.apply(svc, now)
	}
	for name, s := range p.services {
		if !seen[name] {
			s.close(now)
			delete(p.services, name)
		}
	}
}

func (p *Pool) newService(svc *settings.Service) *service {
	seed := rand.NewPCG(p.rng.Uint64(), p.rng.Uint64())
	s := newService(p, svc, rand.New(seed))
	s.setHosts(p.hosts)
	s.apply(svc, time.Now())
	return s
}

// leaving reports whether an operator drains an upstream or the platform lists
// it as leaving. The caller holds p.mu.
func (p *Pool) leaving(id string) bool {
	return p.drained[id] || p.listedLeaving[id]
}

// syncHosts updates the set of hosts that share the upstreams.
func (p *Pool) syncHosts() {
	if p.opt.View == nil {
		return
	}
	var ids []string
	for _, h := range p.opt.View.Hosts() {
		ids = append(ids, string(h.ID))
	}
	slices.Sort(ids)
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(ids, p.hosts) {
		return
	}
	p.hosts = ids
	for _, s := range p.services {
		s.setHosts(ids)
	}
}

// Drain stops new requests to an upstream until Undrain. It returns false if no
// service has this upstream.
func (p *Pool) Drain(id string) bool { return p.setDrained(id, true) }

// Undrain ends a drain. It returns false if no service has this upstream.
func (p *Pool) Undrain(id string) bool { return p.setDrained(id, false) }

func (p *Pool) setDrained(id string, drained bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil || !p.hasUpstream(id) {
		return false
	}
	if drained {
		p.drained[id] = true
	} else {
		delete(p.drained, id)
	}
	p.apply(time.Now())
	p.log.Info("Drain changed.", "upstream", id, "drained", drained)
	return true
}

func (p *Pool) hasUpstream(id string) bool {
	return slices.ContainsFunc(p.current.Services, func(s settings.Service) bool {
		return slices.ContainsFunc(s.Upstreams, func(u settings.Upstream) bool { return u.ID == id })
	})
}

// sortedServices returns the services, sorted by name.
func (p *Pool) sortedServices() []*service {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*service, 0, len(p.services))
	for _, s := range p.services {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return out
}

// Run follows the settings, the hosts and the platform's list, polls idle
// upstreams for their load and probes ejected ones. It sheds queued requests
// that would miss their deadline. It returns nil when ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	if p.opt.UpstreamHosts != nil {
		wg.Go(func() { p.followHostList(ctx) })
	}
	wg.Go(func() { p.pollLoop(ctx) })
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return nil
		case now := <-tick.C:
			p.syncSettings(now)
			p.syncHosts()
			for _, s := range p.sortedServices() {
				s.sweep(now)
			}
		}
	}
}
