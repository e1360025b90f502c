// Package placer decides for each service which worker serves which model, and
// orders the workers to load it. One host at a time does this for a service: the
// writer, which is the host that appended the newest epoch record to the service's
// placement stream.
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

// Options configures a [Placer]. Self, Settings and Log are required.
type Options struct {
	Self     record.Holder
	Settings settings.Source
	// View lists the hosts among which writers are chosen; nil means only this
	// host.
	View member.View
	Log  platform.Log
	// Weights grants permission to load a model; nil means that none is needed.
	Weights platform.WeightStore
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Logger  logr.Logger
	Metrics metrics.Registry
	Config  placement.Config
}

// Intervals, timeouts and limits of the placer.
const (
	// tickInterval is the time between two reconciliations of a service.
	tickInterval = 5 * time.Second
	// callTimeout bounds one call of a worker.
	callTimeout = 3 * time.Second
	// drainTimeout bounds the wait for the requests in flight at a worker.
	drainTimeout = 2 * time.Minute
	// loadTimeout bounds the time from the order to load until the worker is ready.
	loadTimeout = 10 * time.Minute
	// acquireTimeout bounds the wait for the weight store.
	acquireTimeout = 5 * time.Minute
	// initialRetryDelay is the delay before the next order to a worker after a
	// failed one. It doubles with each further failure in a row.
	initialRetryDelay = 30 * time.Second
	maxRetryDelay     = 15 * time.Minute
	// initialLoadTime is the assumed duration of a load until one was measured.
	initialLoadTime = time.Minute
	// logTimeout bounds the log calls of one step: becoming the writer, confirming it,
	// or recording an order or a failure.
	logTimeout = 2 * time.Second
	// maxReadRecords limits the records of one read of the log.
	maxReadRecords = 500
)

// Placer runs the placement of the services whose writer this host should be.
type Placer struct {
	opt           Options
	log           logr.Logger
	startedOrders metrics.Counter
	failedOrders  metrics.Counter

	mu       sync.Mutex
	services map[string]*service
}

// New returns a placer that is not running yet.
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
		opt:           opt,
		log:           opt.Logger.WithName("placement"),
		startedOrders: metrics.GetOrRegisterCounter("placement.orders", opt.Metrics),
		failedOrders:  metrics.GetOrRegisterCounter("placement.failed", opt.Metrics),
		services:      make(map[string]*service),
	}
}

// Run reconciles the services of this host every tickInterval until ctx ends. It
// returns after the orders in progress have ended.
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
				wg.Go(func() { s.reconcile(ctx, &wg) })
			}
		}
	}
}

// due returns the services whose writer this host should be and that are not being
// reconciled. It marks them as being reconciled.
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
		if !isManaged(svc) || !p.isCandidate(svc.Name) {
			continue
		}
		s, ok := p.services[svc.Name]
		if !ok {
			s = newService(p, svc.Name)
			p.services[svc.Name] = s
		}
		if s.beginReconcile(svc) {
			out = append(out, s)
		}
	}
	return out
}

// isManaged reports whether the placer decides the placement of a service: the
// service has models and upstreams, and each upstream declares at most one model. An
// upstream without a model is allowed only if the service has a single one.
func isManaged(svc *settings.Service) bool {
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

// isCandidate reports whether this host should be the writer of a service: it is the
// first live host by rendezvous hash.
func (p *Placer) isCandidate(service string) bool {
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
