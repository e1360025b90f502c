package relayhost

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/escrow"
	corequarantine "github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/fleet/allocation"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/fanout"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/fleet/lending"
	"github.com/hazelworks/hazelworks/fleet/origins"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
	"github.com/hazelworks/hazelworks/fleet/reach"
	"github.com/hazelworks/hazelworks/fleet/relay"
	"github.com/hazelworks/hazelworks/fleet/shares"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// upstreamSockets returns the options of connections to upstreams, which are a millisecond away. Answers wait
// in their receive buffers while callers don't read.
func (h *Host) upstreamSockets() sockets.Options {
	return sockets.Options{
		To:             "upstreams",
		ConnectTimeout: 300 * time.Millisecond,
		UserTimeout:    2 * time.Second,
		KeepAlive:      3 * time.Second,
		ReceiveBuffer:  h.kernelBuffers().Upstreams,
	}
}

func (h *Host) build() {
	p := h.opt.Protocol
	h.buildLoad()
	h.hosts = &hostWatch{log: h.opt.Logger.WithName("hosts"), table: roster.NewTable(h.self), started: h.tellNotices, replaced: h.entryReplaced,
		lowestBuild: metrics.GetOrRegisterGauge("hosts.lowest_build", h.opt.Metrics)}
	metrics.GetOrRegisterGauge("hosts.own_build", h.opt.Metrics).Update(int64(h.self.Build.Level))
	h.reach = reach.New(reach.Options{
		Self: h.self, Alive: h.hosts.others, Dial: h.opt.Network.Dialer(h.upstreamSockets()), Client: h.peerClient(), Logger: h.opt.Logger,
		ReachedAgo: func(service string) (time.Duration, bool) { return h.balancer.ReachedAgo(service) },
	})
	h.balancer = balancer.New(balancer.Options{
		Host:          string(h.cfg.Host),
		Run:           h.self.Run,
		FailureDomain: h.cfg.FailureDomain,
		Retries:       h.retryLimits,
		Hosts:         func() int { n, _ := h.hosts.count(); return n },
		Dial:          h.opt.Network.Dialer(h.upstreamSockets()),
		Dialect:       p.Dialect,
		ClosedByPeer:  func(up catalog.Upstream) { h.origins.Doubt(up) },
		Logger:        h.opt.Logger,
		Metrics:       h.opt.Metrics,
		Broadcast:     func(e gossip.Event) { h.gossip.Broadcast(e) },
		Reach:         h.reach,
		Late:          h.load.Late,
		Crashed:       func(up quarantine.Upstream, s []corequarantine.Suspect) { h.quarantines.Crashed(up, s) },
		Answered:      func(service string, s []corequarantine.Subject) { h.quarantines.CountAnswer(service, s) },
	})
	h.quarantines = quarantine.New(quarantine.Options{
		Host: h.cfg.Host, Broadcast: func(r gossip.Report) { h.gossip.BroadcastReport(r) },
		Log: h.opt.Log, Stream: p.QuarantineStream, Logger: h.opt.Logger, Metrics: h.opt.Metrics,
	})
	if h.cfg.AccountShares {
		h.shares = shares.New(shares.Options{
			Host: h.cfg.Host, Broadcast: func(r gossip.Report) { h.gossip.BroadcastUse(r) }, Logger: h.opt.Logger, Metrics: h.opt.Metrics,
		})
	}
	h.origins = origins.New(origins.Options{
		Self: h.self, Peers: h.hosts.peers, Alive: h.hosts.others, Ask: origins.NewAsker(h.peerClient()),
		Broadcast:    func(e gossip.Event) { h.gossip.Broadcast(e) },
		SendTo:       func(to roster.Host, e []gossip.Event) { h.gossip.SendTo(to, e) },
		ReadInterval: func() time.Duration { return followWait + h.scaledPause(listPause, maxListPause) },
		LowestBuild:  h.hosts.lowestLevel,
		Log:          h.opt.Log, Stream: p.VersionStream, Logger: h.opt.Logger, Metrics: h.opt.Metrics,
	})
	h.table = &tableWatch{key: p.ConfigKey, decode: p.DecodeConfig, version: p.ConfigVersion, changed: h.setTable, applyTime: func() time.Duration { return h.bounds.Load().SettingsApply }, log: h.opt.Logger.WithName("table")}
	h.emptied = newEmptiedWatch(p, h.balancer.SetEmptied, h.opt.Logger.WithName("emptied"), h.opt.Metrics)
	h.upstreams = newUpstreamWatch(func() time.Duration { return h.bounds.Load().UpstreamHeartbeat }, p.DecodeUpstream, h.setUpstreams, h.opt.Logger.WithName("upstreams"))
	h.budgets = allocation.New(allocation.Options{
		Host:     h.cfg.Host,
		Log:      h.opt.Log,
		Stream:   h.opt.Protocol.BudgetStream,
		Fleet:    func() allocation.Fleet { return h.hosts.fleet(h.hostsPause()) },
		Spacing:  h.claimSpacing,
		Borrower: lending.NewClient(h.peerClient(), h.hosts.others, h.opt.Logger, h.opt.Metrics),
		Late:     h.load.Late,
		Policy:   escrow.DefaultPolicy(),
		Logger:   h.opt.Logger,
		Metrics:  h.opt.Metrics,
	})
	h.settings = fanout.New(fanout.Options{
		Log: h.opt.Log, Stream: p.OperatorStream, Self: h.self, Alive: h.hosts.others,
		HostsKnown:  func() bool { _, known := h.hosts.count(); return known },
		DirectHosts: func() int { return directHosts(h.cfg.Limits) },
		Ask:         fanout.NewAsker(h.peerClient(), h.load.Late), Logger: h.opt.Logger,
	})
	h.gossip = gossip.New(gossip.Options{
		Self: h.self, Peers: h.hosts.peers, Heartbeats: h.hosts.heartbeats, Alive: h.hosts.others, State: h.state, Oldest: h.balancer.OldestRunning,
		LimitDomains: func(domains []string) {
			h.balancer.SetLimitDomains(domains)
			h.balancer.SetSharers(h.servingHosts())
			h.balancer.SetMembers(h.hosts.members(followWait + h.hostsPause()))
		}, Receive: h.receive, ReceiveReport: h.receiveReport, Logger: h.opt.Logger, Metrics: h.opt.Metrics,
	})
	h.relay = relay.New(relay.Options{
		Decoder: p.Decoder, Dialect: p.Dialect, Table: h.serviceTable, SettingsAge: h.table.confirmedAgo, SettingsConfirmed: h.table.confirmed, Balancer: h.balancer, Reserver: h.budgets, Takes: h.load.Takes,
		Quarantine: h.quarantines, Origins: h.origins, Shares: h.shares,
		Forward: relay.ForwardOptions{Self: h.self, Hosts: h.hosts.others, Dial: h.opt.Network.Dialer(peerSockets)}, MemoryBytes: h.cfg.Limits.MemoryBytes, Logger: h.opt.Logger, Metrics: h.opt.Metrics,
	})
	h.callers = callerserver.New(h.relay, callerserver.Limits{HeaderBytes: startHeaderBytes, HeaderTimeout: startHeaderTimeout, IdleTimeout: startIdleTimeout},
		func(err error) { h.log.Error(err, "Serving callers failed.") }, callerserver.WithDoor(h.load), callerserver.WithListen(h.listenCallers),
		callerserver.WithConnLimit(h.connLimit("callers", h.connShares().Callers)))
	peers := h.connLimit("peers", h.connShares().Hosts)
	peers.Refusal = relay.RefusalAtFullPort
	h.peers = callerserver.New(h.peerHandler(), peerLimits(0), func(err error) { h.log.Error(err, "Serving other hosts failed.") },
		callerserver.WithConnLimit(peers))
}

// peerHandler returns the handler of other hosts' calls.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", callerserver.LimitBodies(lending.Handler(h.budgets), peerBodyBytes, peerBodyTimeout))
	mux.Handle("GET "+fanout.Path, withoutBody(h.settings))
	mux.Handle("GET "+origins.Path, withoutBody(h.origins))
	mux.HandleFunc("POST "+relay.ForwardPath, h.relay.ServeForwarded)
	mux.Handle("GET "+reach.Path, withoutBody(h.reach))
	mux.Handle("GET "+reach.ServicePath, withoutBody(h.reach))
	return mux
}

// peerSockets are the timeouts of connections to other hosts, which are a millisecond
// away.
var peerSockets = sockets.Options{
	To:             "hosts",
	ConnectTimeout: 50 * time.Millisecond,
	UserTimeout:    time.Second,
	KeepAlive:      2 * time.Second,
}
