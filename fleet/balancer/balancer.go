// Package balancer leases upstreams to requests. It holds the routing state of
// each service and the connections to each upstream.
package balancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/exchange"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

// Times of connections to upstreams.
const (
	// connectTimeout bounds the opening of a connection: three lost opening
	// packets of a path of some milliseconds would already be too late for the
	// caller, another upstream is sooner.
	connectTimeout = 300 * time.Millisecond
	// maxIdle bounds the time that a connection stays unused.
	maxIdle = 30 * time.Second
)

// ErrNone reports that a service has no upstream that could be used.
var ErrNone = errors.New("balancer: no upstream")

// Options configure a [Balancer].
type Options struct {
	Host          string
	FailureDomain string
	Dial          func(ctx context.Context, network, address string) (net.Conn, error)
	Dialect       exchange.Dialect
	// Tell passes events of requests on to the other hosts.
	Tell    func(gossip.Event)
	Logger  logr.Logger
	Metrics metrics.Registry
}

// Balancer leases upstreams. It is safe for concurrent use.
type Balancer struct {
	opt    Options
	log    logr.Logger
	opened metrics.Counter

	mu        sync.Mutex
	table     *routes.Table
	upstreams []catalog.Upstream
	services  map[string]*balance.Pool
	conns     map[string]*upstreamConns
	seq       uint64
}

type upstreamConns struct {
	up   catalog.Upstream
	pool *exchange.Pool
}

// New returns a balancer without upstreams.
func New(opt Options) *Balancer {
	return &Balancer{
		opt:      opt,
		log:      opt.Logger.WithName("balancer"),
		opened:   metrics.GetOrRegisterCounter("upstream_connections_opened", opt.Metrics),
		services: make(map[string]*balance.Pool),
		conns:    make(map[string]*upstreamConns),
	}
}

// SetTable takes in the services of the configuration in force.
func (b *Balancer) SetTable(t *routes.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
	b.sync()
}

// SetUpstreams replaces the upstreams of all services.
func (b *Balancer) SetUpstreams(ups []catalog.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upstreams = ups
	b.syncConns()
	b.sync()
}

func (b *Balancer) sync() {
	if b.table == nil {
		return
	}
	byService := make(map[string][]catalog.Upstream)
	for _, up := range b.upstreams {
		byService[up.Service] = append(byService[up.Service], up)
	}
	for i := range b.table.Services {
		svc := &b.table.Services[i]
		pool, ok := b.services[svc.Name]
		if !ok {
			cache := int64(0)
			if svc.Engine != nil {
				cache = svc.Engine.CacheTokens
			}
			rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
			pool = balance.NewPool(b.opt.FailureDomain, cache, rng)
			b.services[svc.Name] = pool
		}
		pool.Sync(byService[svc.Name])
	}
}

func (b *Balancer) syncConns() {
	seen := make(map[string]bool, len(b.upstreams))
	for _, up := range b.upstreams {
		seen[up.ID] = true
		old, ok := b.conns[up.ID]
		if ok && old.up.SameStart(up) {
			continue
		}
		if ok {
			old.pool.Close()
		}
		b.conns[up.ID] = &upstreamConns{up: up, pool: exchange.NewPool(up.Addr.String(), exchange.Options{
			Dial:           b.opt.Dial,
			ConnectTimeout: connectTimeout,
			MaxIdle:        maxIdle,
			Dialect:        b.opt.Dialect,
			Opened:         func() { b.opened.Inc(1) },
		})}
	}
	for id, c := range b.conns {
		if !seen[id] {
			c.pool.Close()
			delete(b.conns, id)
		}
	}
}

// Lease is the right to send one request to an upstream.
type Lease struct {
	balance.Choice
	Conns   *exchange.Pool
	b       *Balancer
	service string
	ticket  balance.Ticket
	begun   bool
}

// Pick leases the best upstream of a service.
func (b *Balancer) Pick(service string, q *balance.Query) (*Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pool, ok := b.services[service]
	if !ok {
		return nil, ErrNone
	}
	now := time.Now()
	choice, ok := pool.Choose(q, now)
	if !ok {
		return nil, ErrNone
	}
	conns, ok := b.conns[choice.Upstream.ID]
	if !ok {
		return nil, ErrNone
	}
	b.seq++
	l := &Lease{Choice: choice, Conns: conns.pool, b: b, service: service,
		ticket: balance.Ticket{Host: b.opt.Host, Seq: b.seq}}
	pool.Begin(l.ticket, choice.Upstream.ID, q.Work, now)
	l.tell(gossip.Begun, q.Work)
	return l, nil
}

func (l *Lease) tell(kind gossip.EventKind, work *balance.Work) {
	l.b.opt.Tell(gossip.Event{Kind: kind, Seq: l.ticket.Seq, Service: l.service, Upstream: l.Upstream.ID, Work: work})
}

// Hear takes in an event of another host's request.
func (b *Balancer) Hear(t balance.Ticket, e gossip.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pool, ok := b.services[e.Service]
	if !ok {
		return
	}
	switch e.Kind {
	case gossip.Begun:
		pool.Begin(t, e.Upstream, e.Work, time.Now())
	case gossip.First:
		pool.First(t, e.Upstream)
	case gossip.Ended:
		pool.End(t, e.Upstream)
	}
}

// First notes that the answer has begun.
func (l *Lease) First() {
	if l.begun {
		return
	}
	l.begun = true
	l.tell(gossip.First, nil)
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if pool, ok := l.b.services[l.service]; ok {
		pool.First(l.ticket, l.Upstream.ID)
	}
}

// End ends the lease.
func (l *Lease) End() {
	l.tell(gossip.Ended, nil)
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if pool, ok := l.b.services[l.service]; ok {
		pool.End(l.ticket, l.Upstream.ID)
	}
}
