package relayhost

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	mathrand "math/rand/v2"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/admin"
	"github.com/hazelworks/hazelworks/fleet/allocation"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/fanout"
	"github.com/hazelworks/hazelworks/fleet/follow"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/fleet/lending"
	"github.com/hazelworks/hazelworks/fleet/relay"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// Times of the log's followers.
const (
	// watchWait is how long a read waits for records. A connection that went
	// silent is noticed after it and the call's own timeout.
	watchWait = time.Second
	// tablePause lets the versions of a storm gather.
	tablePause = 50 * time.Millisecond
	// listPause lets the upstreams' heartbeats gather: entries may be late by
	// far more before a leaving upstream has gone.
	listPause = 400 * time.Millisecond
	// maxListPause bounds the pause in a large fleet: upstreams that leave must be
	// seen within drain_ms. Hosts that come may be seen later by far.
	maxListPause  = 1200 * time.Millisecond
	maxHostsPause = 10 * time.Second
	// unhurriedHosts is the number of hosts up to which all make their calls at the
	// usual pace: each makes some six a second, and the log takes some 2,000.
	unhurriedHosts = 50
	// watchRetry is the mean pause between other calls that fail. Calls are priced
	// also while the log is out of reach.
	watchRetry = 250 * time.Millisecond
)

// Pauses after calls that fail. The settings are read first once the log takes calls
// again: without them, or with old ones, nothing can be served.
var (
	tableRetry = admission.Backoff{Initial: 250 * time.Millisecond, Max: 500 * time.Millisecond}
	listRetry  = admission.Backoff{Initial: 250 * time.Millisecond, Max: time.Second}
)

// paced returns the pause between calls of a kind, in a fleet of this size.
func (h *Host) paced(usual, most time.Duration) time.Duration {
	hosts, _ := h.hosts.count()
	return min(most, time.Duration(float64(usual)*admission.PauseFactor(hosts, unhurriedHosts)))
}

// Parts of the log's limits that the rounds of claims may take: each writes once and
// reads twice or three times. The rest is for the settings and lists.
const (
	claimWriteShare = 0.7
	claimReadShare  = 0.5
	claimReads      = 3
)

const (
	// settingsSpread is the time in which all hosts may read new settings from the
	// log: a third of the least time in which they have to be in force.
	settingsSpread = time.Second
	// settingsBytes is the size of the settings that is allowed for, with some
	// thousand budgets or routes.
	settingsBytes = 800e3
)

// directHosts is the number of hosts up to which each reads the settings from the log.
func directHosts(limits Limits) int {
	if limits.LogReadRate <= 0 {
		return math.MaxInt
	}
	return int(limits.LogReadRate * settingsSpread.Seconds() / settingsBytes)
}

// claimSpacing returns the least time between a host's rounds of claims.
func claimSpacing(limits Limits, hosts int) time.Duration {
	if limits.LogWrites <= 0 || limits.LogReads <= 0 {
		return 0
	}
	writes := float64(hosts) / (claimWriteShare * limits.LogWrites)
	reads := claimReads * float64(hosts) / (claimReadShare * limits.LogReads)
	return time.Duration(max(writes, reads) * float64(time.Second))
}

func (h *Host) claimSpacing() time.Duration {
	hosts, _ := h.hosts.count()
	return claimSpacing(h.cfg.Limits, hosts)
}

// Protocol is what the platform's adapter provides: names and formats.
type Protocol struct {
	Front          relay.Front
	Dialect        relay.Dialect
	OperatorStream string
	ConfigKey      string
	UpstreamStream string
	// HostStream holds the hosts' descriptions of themselves, by host, and
	// BudgetStream their claims.
	HostStream     string
	BudgetStream   string
	DecodeConfig   func([]byte) (*routes.Table, error)
	DecodeUpstream func(id string, value []byte) (catalog.Upstream, error)
	// Ready and Directory return the handlers of the platform's and the
	// callers' questions.
	Ready     func(ready func() bool) http.Handler
	Directory func(resolve func(domain string) ([]netip.AddrPort, time.Duration)) http.Handler
}

// Options configure a [Host].
type Options struct {
	Config   *Config
	Log      platform.KeyedLog
	Network  sockets.Network
	Protocol Protocol
	Logger   logr.Logger
	Metrics  metrics.Registry
}

// Host is one host process.
type Host struct {
	opt Options
	// cfg is the configuration at the start; bounds are those in force.
	cfg      *Config
	bounds   atomic.Pointer[Bounds]
	log      logr.Logger
	self     roster.Host
	table    *tableWatch
	ups      *upstreamWatch
	hosts    *hostWatch
	gossip   *gossip.Gossip
	settings *fanout.Stream
	balancer *balancer.Balancer
	wallet   *allocation.Manager
	relay    *relay.Relay
	callers  *callerserver.Server
	leaving  atomic.Bool
	stop     chan struct{}
}

// New returns a host; Run starts it.
func New(opt Options) (*Host, error) {
	runID, err := newRunID()
	if err != nil {
		return nil, err
	}
	cfg := opt.Config
	opt.Log = &meteredLog{log: opt.Log, registry: opt.Metrics}
	h := &Host{opt: opt, cfg: cfg, log: opt.Logger.WithName("host"), stop: make(chan struct{})}
	h.self = roster.Host{
		ID: cfg.Host, Run: runID, Region: cfg.Region, FailureDomain: cfg.FailureDomain,
		Caller: cfg.Listen.Caller, Peer: cfg.Listen.Peer, Cores: cfg.Limits.Cores,
	}
	h.bounds.Store(&cfg.Bounds)
	h.build()
	return h, nil
}

// SetConfig takes in changed settings and tells whether they differ. Addresses
// and the machine's limits are those of the start.
func (h *Host) SetConfig(cfg *Config) bool {
	old := h.bounds.Load()
	if *old == cfg.Bounds {
		return false
	}
	h.bounds.Store(&cfg.Bounds)
	return true
}

// newRunID returns a number that no other run of a host has.
func newRunID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("relayhost: random run ID: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

// upstreamSockets bound the silence of upstreams: they are a millisecond away.
var upstreamSockets = sockets.Options{
	ConnectTimeout: 300 * time.Millisecond,
	UserTimeout:    2 * time.Second,
	KeepAlive:      3 * time.Second,
}

func (h *Host) build() {
	p := h.opt.Protocol
	h.balancer = balancer.New(balancer.Options{
		Host:          string(h.cfg.Host),
		Run:           h.self.Run,
		FailureDomain: h.cfg.FailureDomain,
		Retries:       h.retryLimits,
		Dial:          h.opt.Network.Dialer(upstreamSockets),
		Dialect:       p.Dialect,
		Logger:        h.opt.Logger,
		Metrics:       h.opt.Metrics,
		Tell:          func(e gossip.Event) { h.gossip.Tell(e) },
	})
	h.table = &tableWatch{key: p.ConfigKey, decode: p.DecodeConfig, changed: h.setTable, log: h.opt.Logger.WithName("table")}
	h.ups = newUpstreamWatch(func() time.Duration { return h.bounds.Load().UpstreamHeartbeat }, p.DecodeUpstream, h.balancer.SetUpstreams, h.opt.Logger.WithName("upstreams"))
	h.hosts = &hostWatch{log: h.opt.Logger.WithName("hosts"), table: roster.NewTable(h.self)}
	h.wallet = allocation.New(allocation.Options{
		Host:     h.cfg.Host,
		Log:      h.opt.Log,
		Stream:   h.opt.Protocol.BudgetStream,
		Hosts:    func() int { return 1 + len(h.hosts.others()) },
		Spacing:  h.claimSpacing,
		Borrower: lending.NewClient(h.peerClient(), h.hosts.others, h.opt.Logger),
		Policy:   escrow.DefaultPolicy(),
		Logger:   h.opt.Logger,
		Metrics:  h.opt.Metrics,
	})
	h.settings = fanout.New(fanout.Options{
		Log: h.opt.Log, Stream: p.OperatorStream, Self: h.self, Alive: h.hosts.others,
		Known:  func() bool { _, known := h.hosts.count(); return known },
		Direct: func() int { return directHosts(h.cfg.Limits) },
		Ask:    fanout.NewAsker(h.peerClient()), Logger: h.opt.Logger,
	})
	h.gossip = gossip.New(gossip.Options{
		Self: h.self, Peers: h.hosts.peers, Alive: h.hosts.others, State: h.state, Oldest: h.balancer.Oldest,
		Receive: h.receive, Logger: h.opt.Logger, Metrics: h.opt.Metrics,
	})
	h.relay = relay.New(relay.Options{
		Front: p.Front, Dialect: p.Dialect, Table: h.table.current.Load, Balancer: h.balancer, Reserver: h.wallet,
		Logger: h.opt.Logger, Metrics: h.opt.Metrics,
	})
	h.callers = callerserver.New(h.relay, callerserver.Limits{HeaderTimeout: startHeaderTimeout, IdleTimeout: startIdleTimeout},
		func(err error) { h.log.Error(err, "Serving callers failed.") })
}

// peerHandler answers the other hosts.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", lending.Handler(h.wallet))
	mux.Handle("GET "+fanout.Path, h.settings)
	return mux
}

// peerSockets bound the silence of other hosts: they are a millisecond away.
var peerSockets = sockets.Options{
	ConnectTimeout: 50 * time.Millisecond,
	UserTimeout:    time.Second,
	KeepAlive:      2 * time.Second,
}

func (h *Host) peerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: h.opt.Network.Dialer(peerSockets), DisableCompression: true}}
}

// callerSockets bound the silence of callers, whose paths may be lossy.
var callerSockets = sockets.Options{
	UserTimeout: 5 * time.Second,
	KeepAlive:   5 * time.Second,
}

// Limits of callers' connections until the configuration says others.
const (
	startHeaderTimeout = 3 * time.Second
	startIdleTimeout   = 15 * time.Second
)

func (h *Host) setTable(t *routes.Table) {
	h.balancer.SetTable(t)
	h.wallet.SetTable(t)
	h.callers.SetLimits(callerserver.Limits{
		HeaderBytes: t.Limits.HeaderBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout,
	})
}

// activeRate is the number of requests a second from which a host counts as
// serving callers. The few requests of others are seen in the upstreams' answers.
const activeRate = 0.5

// state is what this host tells the others of itself.
func (h *Host) state() roster.State {
	return roster.State{
		Leaving:  h.leaving.Load(),
		Isolated: h.wallet.Isolated(),
		Active:   h.balancer.Rate() >= activeRate,
	}
}

// receive takes in a message of another host.
func (h *Host) receive(m *gossip.Message) {
	h.hosts.mu.Lock()
	known := h.hosts.table.RecordHeartbeat(m.Host, m.Run, m.State, time.Now())
	h.hosts.mu.Unlock()
	if !known {
		return
	}
	h.balancer.Hear(m)
}

// retryLimits returns this host's part of the fleet's retry budget. Until it knows
// how many hosts there are, it has no part of the slack.
func (h *Host) retryLimits() admission.RetryLimits {
	b := h.bounds.Load()
	hosts, known := h.hosts.count()
	slack := b.RetrySlack
	if !known {
		slack = 0
	}
	return admission.FleetRetryLimits(b.RetryShare, slack, b.RetryWindow, hosts)
}

// Ready tells whether the host can serve callers.
func (h *Host) Ready() bool {
	return !h.leaving.Load() && h.table.current.Load() != nil
}

// directoryTTL is how long callers may keep an answer. Some keep it three times
// as long; a leaving host waits for them.
const directoryTTL = time.Second

func (h *Host) resolve(domain string) ([]netip.AddrPort, time.Duration) {
	if h.table.current.Load() == nil {
		return nil, 0
	}
	isolated := h.wallet.Isolated()
	h.hosts.mu.Lock()
	defer h.hosts.mu.Unlock()
	now := time.Now()
	h.hosts.table.SetIsolated(isolated)
	addresses := h.hosts.table.Resolve(domain, now, mathrand.Shuffle)
	h.log.Info("Directory answered.", "domain", domain, "addresses", len(addresses),
		"alive", len(h.hosts.table.Alive(now)), "known", 1+len(h.hosts.table.Peers()))
	return addresses, min(directoryTTL, h.bounds.Load().DirectoryTTL)
}

// Run serves until ctx ends or Stop is called.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(h.follower(follow.Options{
		Log: h.settings, Stream: h.opt.Protocol.OperatorStream, Snapshot: h.table.take, Records: h.table.take,
		Pause: func() time.Duration { return tablePause }, Retry: tableRetry,
	}))
	add(h.follower(follow.Options{
		Stream: h.opt.Protocol.UpstreamStream, Pause: func() time.Duration { return h.paced(listPause, maxListPause) }, Retry: listRetry,
		Snapshot: h.ups.snapshot, Records: h.ups.records, Regained: h.ups.regained,
	}))
	add(h.follower(follow.Options{
		Stream: h.opt.Protocol.HostStream, Snapshot: h.hosts.snapshot, Records: h.hosts.take,
		Pause: func() time.Duration { return h.paced(listPause, maxHostsPause) }, Retry: listRetry,
	}))
	add(h.wallet.Run)
	add(h.serve(h.cfg.Listen.Peer, h.peerHandler()))
	add(h.runGossip)
	add(h.announce)
	add(h.serveCallers)
	add(h.serve(h.cfg.Listen.Ready, h.opt.Protocol.Ready(h.Ready)))
	add(h.serve(h.cfg.Listen.Directory, h.opt.Protocol.Directory(h.resolve)))
	if h.cfg.Listen.Metrics.IsValid() {
		add(h.serve(h.cfg.Listen.Metrics, http.HandlerFunc(h.serveMetrics)))
	}
	add(h.leave)
	err := group.Run()
	h.callers.Close()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// follower returns an actor that follows a stream of the log.
func (h *Host) follower(opt follow.Options) func(context.Context) error {
	if opt.Log == nil {
		opt.Log = h.opt.Log
	}
	opt.Wait = watchWait
	opt.Logger = h.opt.Logger.WithName("follow")
	return follow.New(opt).Run
}

func (h *Host) runGossip(ctx context.Context) error {
	conn, err := h.opt.Network.ListenPacket(ctx, h.cfg.Listen.Peer.String())
	if err != nil {
		return fmt.Errorf("relayhost: peers: %w", err)
	}
	return h.gossip.Run(ctx, conn)
}

// announce writes this host's description until the log has it.
func (h *Host) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := h.putSelf(ctx); err == nil {
			break
		}
		time.Sleep(watchRetry)
	}
	<-ctx.Done()
	return nil
}

func (h *Host) putSelf(ctx context.Context) error {
	h.hosts.mu.Lock()
	self := h.hosts.table.Self()
	h.hosts.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = h.opt.Log.Put(ctx, h.opt.Protocol.HostStream, platform.Writer{}, []platform.KeyedRecord{{Key: string(h.cfg.Host), Value: value}})
	return err
}

func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	admin.WritePrometheus(w, h.opt.Metrics)
}

func (h *Host) serveCallers(ctx context.Context) error {
	l, err := h.opt.Network.Listen(ctx, h.cfg.Listen.Caller.String(), callerSockets)
	if err != nil {
		return fmt.Errorf("relayhost: callers: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	return h.callers.Serve(l)
}

func (h *Host) serve(addr netip.AddrPort, handler http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := h.opt.Network.Listen(ctx, addr.String(), callerSockets)
		if err != nil {
			return fmt.Errorf("relayhost: listen: %w", err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: startHeaderTimeout, IdleTimeout: startIdleTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

var errStopped = errors.New("relayhost: stopped")

// Stop begins a graceful stop.
func (h *Host) Stop() {
	if h.leaving.CompareAndSwap(false, true) {
		close(h.stop)
	}
}

// Parts of the time between a request to stop and the forced end.
const (
	// lingerTTLs is how many lifetimes of a directory answer callers may keep it.
	lingerTTLs = 3
	// graceMargin is left for the end of the process itself.
	graceMargin = 700 * time.Millisecond
)

// leave waits for a request to stop, then until callers have learned of it and
// all answers are complete.
func (h *Host) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-h.stop:
	}
	began := time.Now()
	h.log.Info("Leaving.")
	ctx, cancel := context.WithTimeout(ctx, h.bounds.Load().Grace-graceMargin)
	defer cancel()
	h.hosts.mu.Lock()
	h.hosts.table.SetLeaving()
	h.hosts.mu.Unlock()
	if err := h.putSelf(ctx); err != nil {
		h.log.Info("Leaving could not be announced.", "error", err.Error())
	}
	h.relay.SetDraining()
	linger := time.NewTimer(lingerTTLs * directoryTTL)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.Info("Answers were cut.", "error", err.Error())
	}
	if err := h.wallet.Close(ctx); err != nil {
		h.log.Info("Budgets were not given back.", "error", err.Error())
	}
	h.log.Info("Left.", "took", time.Since(began))
	return errStopped
}
