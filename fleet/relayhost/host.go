package relayhost

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/admin"
	"github.com/hazelworks/hazelworks/fleet/allocation"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/fanout"
	"github.com/hazelworks/hazelworks/fleet/follow"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/fleet/hostmeter"
	"github.com/hazelworks/hazelworks/fleet/origins"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
	"github.com/hazelworks/hazelworks/fleet/reach"
	"github.com/hazelworks/hazelworks/fleet/relay"
	"github.com/hazelworks/hazelworks/fleet/shares"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// Waits and pauses of calls to the log.
const (
	// followWait is how long a read waits for records. A silent connection is noticed
	// after this time plus the call's own timeout.
	followWait = time.Second
	// rareFollowWait is that wait for streams with few records, the quarantines and the
	// software versions. A silent connection may be noticed late: hosts also tell each other.
	rareFollowWait = 10 * time.Second
	// tablePause is the pause between reads of the settings. It lets several versions
	// that are written in quick succession gather in one read.
	tablePause = 50 * time.Millisecond
	// listPause is the pause between reads of a list. It lets several heartbeats of
	// the upstreams gather in one read. A leaving upstream keeps running for much
	// longer than the pause, so that its entry may be read late.
	listPause = 400 * time.Millisecond
	// maxListPause bounds the pause in a large fleet, because leaving upstreams must
	// be noticed within drain_ms. maxHostsPause is longer, because new hosts may be
	// noticed much later.
	maxListPause  = 1200 * time.Millisecond
	maxHostsPause = 10 * time.Second
	// fullRateHosts is the number of hosts up to which all make their calls at the usual
	// rate. Each makes about 6 calls per second, and the log allows about 2,000.
	fullRateHosts = 50
	// announceRetryInterval is the pause after a failed write of this host's entry.
	// Calls are charged even while the log is unreachable.
	announceRetryInterval = 250 * time.Millisecond
)

// Backoff of failed reads. Settings are retried sooner than the lists when the log
// is available again: without them, or with old ones, requests can't be served.
var (
	tableRetry = admission.Backoff{Initial: 250 * time.Millisecond, Max: 500 * time.Millisecond}
	listRetry  = admission.Backoff{Initial: 250 * time.Millisecond, Max: time.Second}
)

// Protocol holds the names and formats of a platform, as its adapter provides them.
type Protocol struct {
	Decoder        relay.RequestDecoder
	Dialect        relay.Dialect
	OperatorStream string
	ConfigKey      string
	// EmptiedDomain returns the failure domain that a record with a key in OperatorStream
	// empties.
	EmptiedDomain  func(key string) (domain string, ok bool)
	UpstreamStream string
	// HostStream is the stream of the hosts' entries, keyed by host. BudgetStream is
	// the stream of their claims, QuarantineStream that of the quarantines.
	HostStream       string
	BudgetStream     string
	QuarantineStream string
	// VersionStream is the stream of the software versions that services have.
	VersionStream string

	DecodeConfig func([]byte) (*routes.Table, error)
	// ConfigVersion returns the version of a configuration without decoding the rest, or zero if it
	// states none.
	ConfigVersion  func([]byte) int64
	DecodeUpstream func(id string, value []byte) (catalog.Upstream, error)
	// Ready returns the handler of the platform's readiness checks, Directory that of
	// callers' queries for hosts.
	Ready     func(ready func() bool) http.Handler
	Directory func(resolve func(domain string) ([]netip.AddrPort, time.Duration)) http.Handler
}

// Options configure a [Host].
type Options struct {
	Config  *Config
	Log     platform.KeyedLog
	Network sockets.Network
	// Revision is the commit of this build, or empty if it is not known.
	Revision string
	Protocol Protocol
	Logger   logr.Logger
	Metrics  metrics.Registry
	// Processor returns the processor time that the process has used, Memory its memory in
	// bytes. They may be nil: then that is not known.
	Processor func() time.Duration
	Memory    func() int64
	// RunQueue returns how long what was ready to run waited for the processor since its last call.
	// It may be nil: then that is not known.
	RunQueue func() time.Duration
	// LogTraffic counts the bytes of the connections to the log. It may be nil.
	LogTraffic *hostmeter.Traffic
	// Loaded is called when the host becomes busy or full, and when it is calm again. It may be nil.
	Loaded func(loaded bool)
}

// Host is one host process.
type Host struct {
	opt Options
	// cfg is the configuration at the start; bounds holds the bounds in force.
	cfg       *Config
	bounds    atomic.Pointer[Bounds]
	log       logr.Logger
	self      roster.Host
	table     *tableWatch
	emptied   *emptiedWatch
	upstreams *upstreamWatch
	hosts     *hostWatch
	gossip    *gossip.Gossip
	settings  *fanout.Stream
	balancer  *balancer.Balancer
	// quarantines knows the requests that crash upstreams.
	quarantines *quarantine.Keeper
	// reach tells whether other hosts reach an upstream.
	reach *reach.Prober
	// origins knows which software version has begun each stream.
	origins *origins.Keeper
	// shares tells how accounts stand against their shares. It is nil without shares.
	shares    *shares.Keeper
	startedAt time.Time
	budgets   *allocation.Manager
	relay     *relay.Relay
	callers   *callerserver.Server
	// peers serves the calls of other hosts.
	peers   *callerserver.Server
	load    *hostmeter.Meter
	leaving atomic.Bool
	// stop is closed once the host is to stop, after leave is set.
	stop  chan struct{}
	leave leaveTimes
	// announceAgain asks for another write of this host's entry.
	announceAgain chan struct{}
}

// New returns a host; Run starts it.
func New(opt Options) (*Host, error) {
	runID, err := newRunID()
	if err != nil {
		return nil, err
	}
	cfg := opt.Config
	log := &meteredLog{log: opt.Log, registry: opt.Metrics}
	opt.Log = log
	h := &Host{opt: opt, cfg: cfg, log: opt.Logger.WithName("host"),
		stop: make(chan struct{}), announceAgain: make(chan struct{}, 1), startedAt: time.Now()}
	h.self = roster.Host{
		ID: cfg.Host, Run: runID, Region: cfg.Region, FailureDomain: cfg.FailureDomain,
		Caller: cfg.Listen.Caller, Peer: cfg.Listen.Peer, Cores: cfg.Limits.Cores,
		Build: build.Info{Level: build.Current, Revision: opt.Revision},
	}
	h.bounds.Store(&cfg.Bounds)
	log.answered = func() { h.load.LogAnswered() }
	h.build()
	return h, nil
}

// SetConfig applies a changed configuration and reports whether the bounds differ.
// Addresses and limits stay as they were at the start.
func (h *Host) SetConfig(cfg *Config) bool {
	old := h.bounds.Load()
	if *old == cfg.Bounds {
		return false
	}
	h.bounds.Store(&cfg.Bounds)
	return true
}

// newRunID returns a random number that identifies this run of the host.
func newRunID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("relayhost: random run ID: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

func (h *Host) peerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: h.opt.Network.Dialer(peerSockets), DisableCompression: true}}
}

// Limits of callers' connections until the first configuration is read.
const (
	startHeaderBytes   = 64 << 10
	startHeaderTimeout = 3 * time.Second
	startIdleTimeout   = 15 * time.Second
)

// setUpstreams applies the list of upstreams. Versions are known before upstreams are used.
func (h *Host) setUpstreams(ups []catalog.Upstream) {
	h.origins.SetUpstreams(ups)
	h.balancer.SetUpstreams(ups)
}

func (h *Host) setTable(t *routes.Table) {
	h.balancer.SetTable(t)
	h.budgets.SetTable(t)
	h.callers.SetLimits(callerserver.Limits{
		HeaderBytes: t.Limits.HeaderBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout,
	})
	h.peers.SetLimits(peerLimits(t.Limits.HeaderBytes))
}

// activeRate is the rate, in requests per second, from which a host counts as serving
// callers. The platform's own checks, about one request per second at each host, stay below
// it. The few requests of other hosts show in the upstreams' answers.
const activeRate = 2

// state returns this host's state, which gossip sends to the others.
func (h *Host) state() roster.State {
	return roster.State{
		Leaving:  h.leaving.Load(),
		Isolated: h.budgets.Isolated(),
		Active:   h.balancer.Rate() >= activeRate,
	}
}

// servingHosts returns the hosts that serve requests, and this one.
func (h *Host) servingHosts() []string {
	hosts := []string{string(h.cfg.Host)}
	for _, o := range h.hosts.others() {
		if o.State.Active {
			hosts = append(hosts, string(o.ID))
		}
	}
	return hosts
}

// receive applies a gossip message of another host.
func (h *Host) receive(m *gossip.Message) {
	h.origins.Receive(m)
	if h.hosts.receive(m) {
		h.balancer.ApplyGossip(m)
	}
}

// receiveReport applies a report of another host.
func (h *Host) receiveReport(r *gossip.Report) {
	h.hosts.receiveLoad(r)
	h.shares.Receive(r)
	if r.Settings != nil {
		h.table.hear(platform.Position{Era: r.Settings.Era, Offset: r.Settings.Offset})
	}
	h.quarantines.Receive(r)
}

// noticeDelays are the times after which a new run of a host is told what upstreams have
// stated. It ignores what arrives before it has read the lists of hosts and upstreams.
var noticeDelays = []time.Duration{500 * time.Millisecond, 2 * time.Second}

// tellNotices tells a new run of another host what upstreams have stated about themselves,
// if this host is one of those that do. The run before may have known it, and the entries of
// the upstreams need not say it.
func (h *Host) tellNotices(started roster.Host) {
	for _, delay := range noticeDelays {
		time.AfterFunc(delay, func() {
			if !roster.TellsNotices(h.self, started, h.hosts.others()) {
				return
			}
			if report, ok := h.quarantines.Report(); ok {
				h.log.Info("Quarantines sent to host.", "host", started.ID, "quarantines", len(report.Quarantines))
				h.gossip.SendReportTo(started, report)
			}
			if events := h.balancer.Notices(); len(events) > 0 {
				h.log.Info("Host is told what upstreams have stated.", "host", started.ID, "notices", len(events))
				h.gossip.SendTo(started, events)
			}
		})
	}
}

// retryLimits returns this host's share of the fleet's retry budget. Until the number
// of hosts is known, it has no share of the slack.
func (h *Host) retryLimits() admission.RetryLimits {
	b := h.bounds.Load()
	hosts, known := h.hosts.count()
	slack := b.RetrySlack
	if !known {
		slack = 0
	}
	return admission.FleetRetryLimits(b.RetryShare, slack, b.RetryWindow, hosts)
}

// quarantineWait bounds the time from the start in which a host serves nothing because it has
// not read the quarantines. The log may be out of reach for long.
const quarantineWait = time.Second

// serviceTable returns the configuration in force, or nil if the host can't serve yet, or must not
// because it knows that a newer one has to be in force.
func (h *Host) serviceTable() *routes.Table {
	if !h.quarantines.Loaded() && time.Since(h.startedAt) < quarantineWait || h.table.behind() {
		return nil
	}
	return h.table.current.Load()
}

// Ready reports whether the host can serve callers.
func (h *Host) Ready() bool { return !h.leaving.Load() && h.serviceTable() != nil }

// directoryTTL is the TTL of a directory answer. Some callers keep an answer three times
// as long; a leaving host waits for them.
const directoryTTL = time.Second

func (h *Host) resolve(domain string) ([]netip.AddrPort, time.Duration) {
	if h.serviceTable() == nil {
		return nil, 0
	}
	isolated := h.budgets.Isolated()
	h.hosts.mu.Lock()
	defer h.hosts.mu.Unlock()
	now := time.Now()
	h.hosts.table.SetIsolated(isolated)
	addresses := h.hosts.table.Resolve(domain, now, mathrand.Shuffle)
	h.log.Info("Directory answered.", "domain", domain, "addresses", len(addresses),
		"alive", len(h.hosts.table.Alive(now)), "known", h.hosts.table.Len(), "full", h.hosts.table.FullHosts(now))
	return addresses, min(directoryTTL, h.bounds.Load().DirectoryTTL)
}

// Run serves until ctx ends or the host has stopped after a call of Stop.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(h.follower(follow.Options{
		Log: h.settings, Stream: h.opt.Protocol.OperatorStream, Snapshot: h.operatorSnapshot, Records: h.operatorRecords, Rewound: h.operatorRewound,
		Pause: func() time.Duration { return tablePause }, Retry: tableRetry, NewestOnly: true, Read: func() { h.table.read(h.settings.AnswerAge()) }, Position: h.settingsRead,
	}))
	add(h.follower(follow.Options{
		Stream: h.opt.Protocol.UpstreamStream, Pause: func() time.Duration { return h.scaledPause(listPause, maxListPause) }, Retry: listRetry,
		Snapshot: h.upstreams.snapshot, Records: h.upstreams.records, Regained: h.upstreams.regained, Rewound: h.upstreams.rewound,
		Read: h.origins.ListRead,
	}))
	add(h.follower(follow.Options{
		Stream: h.opt.Protocol.HostStream, Snapshot: h.hosts.snapshot, Records: h.hosts.apply, Rewound: h.hostsRewound,
		Pause: h.hostsPause, Retry: listRetry,
	}))
	add(h.follower(follow.Options{
		Stream: h.opt.Protocol.QuarantineStream, Wait: rareFollowWait, Pause: func() time.Duration { return h.scaledPause(listPause, maxListPause) }, Retry: listRetry,
		Snapshot: h.quarantines.Snapshot, Records: h.quarantines.Records, Rewound: h.quarantines.Rewound,
	}))
	add(h.follower(follow.Options{
		Stream: h.opt.Protocol.VersionStream, Wait: rareFollowWait, Pause: func() time.Duration { return h.scaledPause(listPause, maxListPause) }, Retry: listRetry,
		Snapshot: h.origins.Snapshot, Records: h.origins.Records, Read: h.origins.NotesRead, Position: h.origins.Position,
	}))
	add(h.quarantines.Run)
	add(h.origins.Run)
	if h.shares != nil {
		add(h.shares.Run)
	}
	add(h.budgets.Run)
	add(h.load.Run)
	add(h.serve("peers", h.cfg.Listen.Peer, h.kernelBuffers().Hosts, h.peers))
	add(h.runGossip)
	add(h.announce)
	add(h.serveCallers)
	add(h.serveQueries("ready", h.cfg.Listen.Ready, h.opt.Protocol.Ready(h.Ready)))
	add(h.serveQueries("directory", h.cfg.Listen.Directory, h.opt.Protocol.Directory(h.resolve)))
	if h.cfg.Listen.Metrics.IsValid() {
		add(h.serveQueries("metrics", h.cfg.Listen.Metrics, h.operatorHandler()))
	}
	add(h.awaitLeave)
	err := group.Run()
	_ = h.callers.Close()
	_ = h.peers.Close()
	h.balancer.Close()
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
	if opt.Wait == 0 {
		opt.Wait = followWait
	}
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

// announce writes this host's entry to the log and retries until it succeeds. It writes it
// again when asked to.
func (h *Host) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := h.putSelf(ctx); err != nil {
			time.Sleep(announceRetryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-h.announceAgain:
		}
	}
	return nil
}

// hostsRewound applies the hosts' entries of a log that came back from an older copy. Those
// that are not in it are written again by the hosts themselves, as is this host's own.
func (h *Host) hostsRewound(records []platform.KeyedRecord) {
	h.hosts.forgetEntries()
	h.hosts.apply(records)
	h.writeEntryAgain()
}

// entryReplaced writes this host's entry again after a late write of an earlier run took its place.
func (h *Host) entryReplaced(run uint64, offset record.Offset) {
	h.log.Info("Entry of this host was replaced by that of another run.", "run", run, "offset", offset)
	h.writeEntryAgain()
}

func (h *Host) writeEntryAgain() {
	select {
	case h.announceAgain <- struct{}{}:
	default:
	}
}

func (h *Host) putSelf(ctx context.Context) error {
	h.hosts.mu.Lock()
	self := h.hosts.table.Self()
	h.hosts.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	end, err := h.opt.Log.Put(ctx, h.opt.Protocol.HostStream, platform.Writer{}, []platform.KeyedRecord{{Key: string(h.cfg.Host), Value: value}})
	if err == nil {
		h.hosts.entryWritten(end.Offset)
	}
	return err
}

func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	admin.WritePrometheus(w, h.opt.Metrics)
}

func (h *Host) serveCallers(ctx context.Context) error {
	l, err := h.listenCallers()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = h.callers.Close() })
	defer stop()
	err = h.callers.Serve(l)
	if err == nil {
		<-ctx.Done() // a host that leaves serves its last answers
	}
	return err
}
