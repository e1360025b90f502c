// Package placer decides, for each service, which worker serves what, and gives
// the orders. One host at a time does so for a service: the writer that took
// office with the newest epoch record in the service's placement stream.
package placer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/placement"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/rendezvous"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
)

// Options configure a [Placer]. Self, Settings and Log are required.
type Options struct {
	Self     record.Holder
	Settings settings.Source
	// View gives the hosts among which writers are chosen; nil means this host.
	View member.View
	Log  platform.Log
	// Weights gives permission to load; nil means that none is needed.
	Weights platform.WeightStore
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Logger  logr.Logger
	Metrics metrics.Registry
	Config  placement.Config
}

// Times of the placer.
const (
	// tickInterval is the time between two looks at a service.
	tickInterval = 5 * time.Second
	callTimeout  = 3 * time.Second
	// drainTimeout bounds the wait for the requests in flight at a worker.
	drainTimeout = 2 * time.Minute
	// loadTimeout bounds a load, from the order to ready.
	loadTimeout = 10 * time.Minute
	// acquireTimeout bounds the wait for the weight store.
	acquireTimeout = 5 * time.Minute
	// retryTime is the pause after a failed order; each further one doubles it.
	retryTime    = 30 * time.Second
	maxRetryTime = 15 * time.Minute
	// firstLoadTime is assumed until a load was measured.
	firstLoadTime = time.Minute
	// readWait bounds a read of the log.
	readWait = 2 * time.Second
	maxRead  = 500
)

// Placer runs the placement of the services that this host is to write for.
type Placer struct {
	opt    Options
	log    logr.Logger
	orders metrics.Counter
	failed metrics.Counter

	mu       sync.Mutex
	services map[string]*service
}

// New returns a placer.
func New(opt Options) *Placer {
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewRegistry()
	}
	if opt.Logger.GetSink() == nil {
		opt.Logger = logr.Discard()
	}
	if opt.Config.MaxOrders == 0 {
		opt.Config = placement.DefaultConfig()
	}
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{Timeout: callTimeout}).DialContext
	}
	return &Placer{
		opt:      opt,
		log:      opt.Logger.WithName("placement"),
		orders:   metrics.GetOrRegisterCounter("placement.orders", opt.Metrics),
		failed:   metrics.GetOrRegisterCounter("placement.failed", opt.Metrics),
		services: make(map[string]*service),
	}
}

// Run looks at all services until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			for _, s := range p.due() {
				wg.Go(func() { s.look(ctx, &wg) })
			}
		}
	}
}

// due returns the services that this host is to write for and that are not
// being looked at.
func (p *Placer) due() []*service {
	current := p.opt.Settings.Current()
	if current == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*service
	for i := range current.Services {
		svc := &current.Services[i]
		if !managed(svc) || !p.candidate(svc.Name) {
			continue
		}
		s, ok := p.services[svc.Name]
		if !ok {
			s = newService(p, svc.Name)
			p.services[svc.Name] = s
		}
		if s.begin(svc) {
			out = append(out, s)
		}
	}
	return out
}

// managed tells whether the placement of a service is decided here: it has
// models, and each worker serves one of them at a time.
func managed(svc *settings.Service) bool {
	if svc.Kind != settings.ServiceModel || len(svc.Models) == 0 {
		return false
	}
	for _, up := range svc.Upstreams {
		if len(up.Models) > 1 || (len(up.Models) == 0 && len(svc.Models) > 1) {
			return false
		}
	}
	return len(svc.Upstreams) > 0
}

// candidate tells whether this host should write for a service: it is the first
// live host by rendezvous hash.
func (p *Placer) candidate(service string) bool {
	if p.opt.View == nil {
		return true
	}
	var nodes []rendezvous.Node
	for _, h := range p.opt.View.Hosts() {
		if h.ObservedState == member.StateLive || h.ID == p.opt.Self.Host {
			nodes = append(nodes, rendezvous.Node{ID: string(h.ID), Weight: 1})
		}
	}
	if len(nodes) == 0 {
		return true
	}
	best := rendezvous.Best(rendezvous.KeyOf(service), nodes)
	return nodes[best].ID == string(p.opt.Self.Host)
}
