// Package balancer leases upstreams to requests. It keeps the routing state of each
// service and the connections to each upstream.
package balancer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
	corequarantine "github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/reachability"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/exchange"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
)

// Timeouts of connections to upstreams.
const (
	// connectTimeout bounds the opening of a connection. On a path of a few
	// milliseconds, three lost SYN packets are already too late for the caller, and
	// another upstream is faster.
	connectTimeout = 300 * time.Millisecond
	// maxIdle is how long an idle connection is kept.
	maxIdle = 30 * time.Second
)

// Errors of [Balancer.Pick].
var (
	// ErrNoUpstream reports that a service has no eligible upstream.
	ErrNoUpstream = errors.New("balancer: no upstream")
	// ErrNoVersion reports that no eligible upstream has the software version that has begun
	// the stream. Such a version is not started again.
	ErrNoVersion = errors.New("balancer: no upstream of the software version that began the stream")
	// ErrFull reports that no upstream has places or memory for another request now, or that all
	// are brittle or cold and this host has used its part of their room.
	ErrFull = errors.New("balancer: the upstreams have no room")
	// ErrEmptied reports that all upstreams of a service are in emptied failure domains.
	ErrEmptied = errors.New("balancer: the failure domains of all upstreams are emptied")
	// ErrCutOff reports that this host reaches no upstream of the service.
	ErrCutOff = errors.New("balancer: no upstream is within reach of this host")
	// ErrRetryBudget reports that the retry budget allows no further retry now.
	ErrRetryBudget = errors.New("balancer: the retry budget is used up")
)

// Options configure a [Balancer].
type Options struct {
	Host          string
	Run           uint64
	FailureDomain string
	// Retries returns this host's share of the fleet's retry limits.
	Retries func() admission.RetryLimits
	// Hosts returns the number of hosts that may be alive, including this one.
	Hosts   func() int
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Dialect exchange.Dialect
	// ClosedByPeer is called when an upstream has closed or refused a connection.
	ClosedByPeer func(catalog.Upstream)
	// Broadcast sends an event of a request to the other hosts by gossip.
	Broadcast func(gossip.Event)
	// Reach tells what other hosts reach. It may be nil.
	Reach Reach
	// Late reports whether this host's own timers were late in the time before now. It may be
	// nil.
	Late func(span time.Duration) bool
	// Crashed is called when an upstream has crashed while it began to run requests of this
	// host. Answered is called, with the balancer's lock held, when a service has answered a
	// request with the subjects, of this or another host.
	Crashed  func(up quarantine.Upstream, suspects []corequarantine.Suspect)
	Answered func(service string, subjects []corequarantine.Subject)
	Logger   logr.Logger
	Metrics  metrics.Registry
}

// Reach tells what other hosts reach; [reach.Prober] implements it.
type Reach interface {
	quarantine.Reach
	// OthersReached returns the time since the last contact of another host with an upstream of
	// a service, or false if none had any shortly before.
	OthersReached(ctx context.Context, service string) (time.Duration, bool)
}

// Balancer leases upstreams. It is safe for concurrent use.
type Balancer struct {
	opt    Options
	log    logr.Logger
	opened metrics.Counter
	limits metrics.Counter
	// choices counts the choices of an upstream, choiceTime their time in microseconds.
	choices, choiceTime metrics.Counter
	// detector calls this balancer without holding its lock.
	detector *quarantine.Detector

	mu        sync.Mutex
	table     *routes.Table
	upstreams []catalog.Upstream
	services  map[string]*service
	conns     map[string]*upstreamConns
	byHash    map[uint32]*upstreamConns
	seq       uint64
	lastPick  time.Time
	// recentLeases is the number of leases, weighted exponentially by age with the time
	// constant rateWindow, as of lastPick.
	recentLeases float64
	// running holds the sequence numbers of this host's leases that have not ended.
	running map[uint64]struct{}
	// limitDomains is set by SetLimitDomains.
	limitDomains []string
	// sharers is set by SetSharers.
	sharers []string
	// members is set by SetMembers, emptied by SetEmptied.
	members []string
	emptied []string
	closed  bool
	// awaiting is the number of requests in [Balancer.AwaitRoom].
	awaiting atomic.Int64
	// reconnecting is the number of upstreams out of reach to which connections are tried.
	reconnecting atomic.Int64
}

// service is the state of one service.
type service struct {
	pool    *balance.Pool
	retries *admission.RetryBudget
	// reach tells whether this host is cut off from the service, and probing is true while it
	// tries to connect.
	reach   reachability.Monitor
	probing bool
}

type upstreamConns struct {
	up   catalog.Upstream
	pool *exchange.Pool
}

// Names of the counters of choices and of the microseconds that they took.
const (
	CounterChoices    = "upstream_choices"
	CounterChoiceTime = "upstream_choice_us"
)

// New returns a balancer without upstreams.
func New(opt Options) *Balancer {
	return &Balancer{
		opt:    opt,
		log:    opt.Logger.WithName("balancer"),
		opened: metrics.GetOrRegisterCounter("upstream_connections_opened", opt.Metrics),
		limits: metrics.GetOrRegisterCounter("upstream_limit_changes", opt.Metrics),

		choices:    metrics.GetOrRegisterCounter(CounterChoices, opt.Metrics),
		choiceTime: metrics.GetOrRegisterCounter(CounterChoiceTime, opt.Metrics),

		services: make(map[string]*service),
		conns:    make(map[string]*upstreamConns),
		running:  make(map[uint64]struct{}),
		detector: quarantine.NewDetector(opt.Logger, opt.Metrics, opt.Reach, opt.Crashed),
	}
}

// SetTable applies the services of the configuration in force.
func (b *Balancer) SetTable(t *routes.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
	b.sync()
}

// SetUpstreams replaces the upstreams of all services.
func (b *Balancer) SetUpstreams(ups []catalog.Upstream) {
	b.mu.Lock()
	b.upstreams = ups
	b.syncConns()
	b.sync()
	b.mu.Unlock()
	b.detector.ApplyList(b.listState)
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
		s, ok := b.services[svc.Name]
		if !ok {
			s = b.newService(svc)
			b.services[svc.Name] = s
		}
		s.pool.SetCold(svc.ColdPerSecond, svc.ColdStart)
		s.pool.Sync(byService[svc.Name])
	}
}

func (b *Balancer) newService(svc *routes.Service) *service {
	engine := routes.Engine{}
	if svc.Engine != nil {
		engine = *svc.Engine
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pool := balance.NewPool(b.opt.FailureDomain, engine, rng)
	b.setUpFleet(pool, svc)
	b.registerSpeeds(svc.Name)
	return &service{
		pool:    pool,
		retries: admission.NewFleetRetryBudget(b.opt.Retries(), time.Now()),
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
			MaxIdleConns:   func() int { return b.maxIdleConns(up) },
			Dialect:        b.opt.Dialect,
			Opened:         func() { b.opened.Inc(1) },
			ClosedByPeer:   func() { b.opt.ClosedByPeer(up) },
		})}
	}
	b.byHash = make(map[uint32]*upstreamConns, len(b.conns))
	for id, c := range b.conns {
		if !seen[id] {
			c.pool.Close()
			delete(b.conns, id)
			continue
		}
		b.byHash[gossip.UpstreamHash(c.up)] = c
	}
}

// maxIdleConns returns the number of idle connections that this host keeps to an upstream.
func (b *Balancer) maxIdleConns(up catalog.Upstream) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := balance.ConnLimit{Slots: up.Slots, Hosts: b.opt.Hosts()}
	if b.table != nil {
		if svc := b.table.Service(up.Service); svc != nil {
			limit.Max = svc.MaxConns
		}
	}
	return limit.IdleConns(b.opt.Host, up.ID)
}

// ShedError reports that a request was shed because its service is overloaded.
type ShedError struct {
	// Delay is the time until the limit of the best upstream allows the request. Wait,
	// Read and Generate are the estimated times there: until it starts on the request,
	// from then to the start of the answer, and from there to the end of the answer.
	Delay, Wait, Read, Generate time.Duration
	// Remaining is the time until the caller leaves.
	Remaining time.Duration
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ShedError) Error() string {
	return fmt.Sprintf("balancer: the best upstream begins in %v, reads for %v and answers for %v, with %v left",
		(e.Delay + e.Wait).Round(time.Millisecond), e.Read.Round(time.Millisecond), e.Generate.Round(time.Millisecond), e.Remaining.Round(time.Millisecond))
}

// PausedError reports that all upstreams of a service have asked this host to pause.
type PausedError struct {
	// RetryAfter is the time until the first of them accepts requests again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("balancer: all upstreams have asked for a pause, the first for another %v", e.RetryAfter.Round(time.Millisecond))
}

// noUpstream returns the error for a query that no upstream fits.
func (s *service) noUpstream(q *balance.Query, now time.Time) error {
	if s.pool.Full(q, now) {
		return ErrFull
	}
	if left, paused := s.pool.NextReturn(q, now); paused {
		return &PausedError{RetryAfter: left}
	}
	if s.pool.AllEmptied(q) {
		return ErrEmptied
	}
	if q.Version != origin.Unknown {
		return ErrNoVersion
	}
	return ErrNoUpstream
}

// AdmitFunc decides whether a request may be sent to the chosen upstream. An error
// rejects the request, and [Balancer.Pick] returns it.
type AdmitFunc func(balance.Choice) error

// Pick leases the best upstream of a service if admit returns nil. A retry is charged to
// the retry budget. The error is [ErrNoUpstream], [ErrNoVersion], [ErrFull], [ErrEmptied], a
// [*PausedError], [ErrRetryBudget] or that of admit.
func (b *Balancer) Pick(service string, q *balance.Query, retry bool, admit AdmitFunc) (*Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	if !ok {
		return nil, ErrNoUpstream
	}
	now := time.Now()
	s.retries.SetLimits(b.opt.Retries())
	if !retry {
		s.retries.RecordAttempt()
	} else if !s.retries.AllowRetry(now) {
		return nil, ErrRetryBudget
	}
	choice, ok := s.pool.Choose(q, now)
	b.choices.Inc(1)
	b.choiceTime.Inc(time.Since(now).Microseconds())
	if !ok {
		return nil, s.noUpstream(q, now)
	}
	if err := admit(choice); err != nil {
		return nil, err
	}
	conns, ok := b.conns[choice.Upstream.ID]
	if !ok {
		return nil, ErrNoUpstream
	}
	b.seq++
	l := &Lease{Choice: choice, Conns: conns.pool, balancer: b, service: service, startsAt: now.Add(choice.Delay),
		attempt: balance.AttemptID{Host: b.opt.Host, Run: b.opt.Run, Seq: b.seq}}
	b.running[b.seq] = struct{}{}
	b.recentLeases = b.recentAt(now) + 1
	b.lastPick = now
	s.pool.Begin(l.attempt, choice.Upstream.ID, q.Work, choice.UsualRead, now)
	b.opt.Broadcast(gossip.Event{
		Kind: gossip.Begun, Seq: b.seq, Upstream: gossip.UpstreamHash(choice.Upstream),
		Begun: &gossip.RequestInfo{ReadMillis: uint32(choice.UsualRead.Milliseconds()), Work: q.Work},
	})
	if s.pool.TakeToken(choice.Upstream.ID, now) {
		b.opt.Broadcast(gossip.Event{Kind: gossip.TokenTaken, Seq: b.seq, Upstream: gossip.UpstreamHash(choice.Upstream)})
	}
	return l, nil
}

// HasVersion reports whether a service has a software version, also in upstreams that are
// leaving.
func (b *Balancer) HasVersion(service string, v origin.Version) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	return ok && s.pool.HasVersion(v)
}

// rateWindow is the time over which the rate of leases is averaged.
const rateWindow = 5 * time.Second

func (b *Balancer) recentAt(now time.Time) float64 {
	return b.recentLeases * math.Exp(-now.Sub(b.lastPick).Seconds()/rateWindow.Seconds())
}

// Rate returns the recent rate of leases, in leases per second.
func (b *Balancer) Rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recentAt(time.Now()) / rateWindow.Seconds()
}

// OldestRunning returns the sequence number of the oldest lease that has not ended, or the
// next number if there is none.
func (b *Balancer) OldestRunning() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.seq + 1
	for seq := range b.running {
		oldest = min(oldest, seq)
	}
	return oldest
}

// ApplyGossip applies a gossip message of another host.
func (b *Balancer) ApplyGossip(m *gossip.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, e := range m.Events {
		c, ok := b.byHash[e.Upstream]
		if !ok {
			continue // not listed here yet, or removed
		}
		if n, ok := e.Notice(); ok {
			b.applyNotice(c.up, n, m.Host, now)
			continue
		}
		if s, ok := b.services[c.up.Service]; ok {
			attempt := balance.AttemptID{Host: string(m.Host), Run: m.Run, Seq: e.Seq}
			b.apply(s, attempt, c.up, e, now)
		}
	}
	for _, s := range b.services {
		s.pool.DropEnded(string(m.Host), m.Run, m.Oldest, now)
	}
}

// apply applies an event of a request at an upstream. The caller holds mu.
func (b *Balancer) apply(s *service, attempt balance.AttemptID, up catalog.Upstream, e gossip.Event, now time.Time) {
	id := up.ID
	switch {
	case e.Kind == gossip.Begun && e.Begun != nil:
		s.pool.Begin(attempt, id, e.Begun.Work.Bounded(), time.Duration(e.Begun.ReadMillis)*time.Millisecond, now)
	case e.Kind == gossip.TokenTaken:
		s.pool.TakeToken(id, now)
	case e.Kind == gossip.FirstEvent:
		b.countOthersContact(s, attempt, id, now)
		s.pool.FirstEvent(attempt, id, now)
	case e.Kind == gossip.Stalled:
		s.pool.Stall(id, now)
	case e.Kind == gossip.Ended:
		if e.Outcome == balance.Succeeded {
			b.countOthersContact(s, attempt, id, now)
		}
		if work, answered := s.pool.End(attempt, id, e.Outcome, now); answered {
			b.opt.Answered(up.Service, work.Subjects())
		}
	}
}

// countOthersContact records that an upstream has answered another host.
func (b *Balancer) countOthersContact(s *service, attempt balance.AttemptID, id string, now time.Time) {
	if attempt.Host != b.opt.Host {
		s.reach.OthersReached(now)
		s.pool.OthersReached(id, now)
	}
}

// AllowRetry reports whether the retry budget of a service allows another attempt of a request,
// at an upstream that another host chooses.
func (b *Balancer) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	return ok && s.retries.AllowRetry(time.Now())
}

// roomPollInterval is the least time between two looks for room.
const roomPollInterval = 5 * time.Millisecond

// AwaitRoom waits until an upstream has room for the request of a query, if none has any. It
// returns when it has waited long enough or would wait in vain, or when ctx ends.
func (b *Balancer) AwaitRoom(ctx context.Context, service string, q *balance.Query, limit time.Duration) {
	end := time.Now().Add(limit)
	b.awaiting.Add(1)
	defer b.awaiting.Add(-1)
	for ctx.Err() == nil {
		delay, full := b.roomDelay(service, q)
		if !full || !time.Now().Add(delay).Before(end) {
			return
		}
		// All that wait look at the upstreams, at most a thousand times a second together.
		pause := time.NewTimer(max(roomPollInterval, delay, time.Duration(b.awaiting.Load())*time.Millisecond))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
		}
	}
}
