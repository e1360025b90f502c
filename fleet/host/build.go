package host

import (
	"math/rand/v2"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/fleet/admin"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/entry"
	"github.com/hazelworks/hazelworks/fleet/gateway"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/grants/budgetadmin"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer"
	"github.com/hazelworks/hazelworks/fleet/placer"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
	"github.com/hazelworks/hazelworks/fleet/settingsapi"
	"github.com/hazelworks/hazelworks/fleet/settingswatch"
	"github.com/hazelworks/hazelworks/fleet/shard"
	"github.com/hazelworks/hazelworks/fleet/upstream"
)

// rand returns a source of randomness for one component. Each stream number gives
// an independent sequence of the host's seed.
func (h *Host) rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(h.opts.Seed, stream))
}

// platformHost describes this host as the platform's host list does.
func (h *Host) platformHost() platform.Host {
	cfg := h.opts.Config
	return platform.Host{
		ID:            cfg.Host.ID,
		FailureDomain: cfg.Host.FailureDomain,
		Region:        cfg.Host.Region,
		CallerAddr:    cfg.Advertise.Caller.String(),
		PeerAddr:      cfg.Advertise.Peer.String(),
		State:         platform.HostLive,
	}
}

func (h *Host) buildMembership() {
	cfg := h.opts.Config
	h.members = member.New(member.Options{
		Self:       h.self,
		SelfHost:   h.platformHost(),
		List:       h.opts.Hosts,
		Dial:       h.opts.Dial,
		PeerSecret: string(cfg.Secrets.Peer),
		Logger:     h.logger,
		Metrics:    h.metrics,
		Rand:       h.rand(1),
	})
	h.settings = settingswatch.New(settingswatch.Options{
		Log:     h.opts.Log,
		View:    h.members,
		Logger:  h.logger,
		Metrics: h.metrics,
		Poll:    cfg.Timeouts.PlatformPoll,
		Rand:    h.rand(2),
	})
	h.members.SetSettingsVersionSource(h.settings.Version)
}

func (h *Host) buildBudgets() {
	h.shards = shard.NewService(shard.Options{
		Self:    h.self,
		Log:     h.opts.Log,
		View:    h.members,
		Shards:  h.shardCount,
		Logger:  h.logger,
		Metrics: h.metrics,
		Rand:    lockedFloat(h.rand(3)),
	})
	h.grants = grants.New(grants.Options{
		Self:      h.self,
		Submitter: h.shards,
		Settings:  h.settings,
		Logger:    h.logger,
		Metrics:   h.metrics,
		Rand:      lockedFloat(h.rand(4)),
	})
	h.shards.SetReturner(h.grants)
}

func (h *Host) buildRequests() {
	cfg := h.opts.Config
	h.pool = upstream.NewPool(upstream.Options{
		Self:     h.self,
		Settings: h.settings,
		View:     h.members,
		Dial:     upstream.Dialer(h.opts.Dial),
		Logger:   h.logger,
		Metrics:  h.metrics,
		Rand:     h.rand(5),
	})
	h.entry = entry.NewHandler(entry.Options{
		Self:     h.platformHost(),
		Settings: h.settings,
		View:     h.members,
		TTL:      cfg.Timeouts.EntryTTL,
		Logger:   h.logger,
		Metrics:  h.metrics,
	})
	h.peers = quarantine.NewPeers(h.members, h.logger)
	keeper := quarantine.New(quarantine.Options{Host: h.self.Host, Broadcast: h.peers.Broadcast, Logger: h.logger, Metrics: h.metrics})
	h.peers.SetKeeper(keeper)
	h.gateway = gateway.New(gateway.Options{
		Self:           h.self,
		Settings:       h.settings,
		Reserver:       h.grants,
		Claimer:        h.grants,
		Picker:         h.pool,
		View:           h.members,
		Quarantine:     keeper,
		Dial:           h.opts.Dial,
		PreferredHosts: h.preferredHosts,
		Budgets:        budgetReader{h.shards, h.shardCount},
		Entry:          h.entry,
		Logger:         h.logger,
		Metrics:        h.metrics,
		Limits: gateway.Limits{
			Running:     cfg.Limits.InFlight,
			BodyTimeout: cfg.Timeouts.BodyRead,
			MemoryBytes: cfg.Limits.MemoryMB << 20,
		},
	})
	limits := callerserver.Limits{HeaderBytes: cfg.Limits.HeaderBytes, HeaderTimeout: cfg.Timeouts.HeaderRead, IdleTimeout: cfg.Timeouts.Idle}
	h.callers = callerserver.New(h.gateway.Handler(), limits, func(err error) {
		h.logger.WithName("host").Error(err, "serving callers failed")
	}, callerserver.WithWriteStall(writeStall), callerserver.WithConnLimit(h.connLimit("callers", callerConns(cfg.Limits.Connections, descriptors()))))
}

// buildPlacement builds the placer if there is a weight store.
func (h *Host) buildPlacement() {
	if h.opts.Weights == nil {
		return
	}
	h.placer = placer.New(placer.Options{
		Self:     h.self,
		Settings: h.settings,
		View:     h.members,
		Log:      h.opts.Log,
		Weights:  h.opts.Weights,
		Dial:     h.opts.Dial,
		Logger:   h.logger,
		Metrics:  h.metrics,
	})
}

func (h *Host) buildAdmin() {
	registrars := []admin.Registrar{h.pool}
	if h.placer != nil {
		registrars = append(registrars, h.placer)
	}
	registrars = append(registrars,
		h.gateway,
		settingsapi.New(h.settings, h.members, h.figures),
		budgetadmin.New(budgetadmin.Options{
			Shards:   h.shards,
			Grants:   h.grants,
			View:     h.members,
			Settings: h.settings,
			Logger:   h.logger,
		}),
	)
	h.admin = admin.New(string(h.opts.Config.Secrets.Operator), h.metrics, registrars...)
	h.admin.SetReadinessCheck(h.Ready)
}

// peerServices returns the components that answer requests of peers.
func (h *Host) peerServices() peer.Services {
	return peer.Services{
		Pinger:         h.members,
		ShardServer:    shard.NewServer(h.shards),
		GrantServer:    h.grants,
		SettingsServer: h.settings,
		AnswerServer:   h.gateway,

		QuarantineServer: h.peers,
	}
}

// shardCount returns the number of shards, or zero while the settings are unknown.
func (h *Host) shardCount() uint32 {
	current := h.settings.Current()
	if current == nil {
		return 0
	}
	return current.Shards
}

// figures returns the host's counts of streams and grants for the status page.
// Granted sums the grants' tokens, reserved and unreported ones included.
func (h *Host) figures() settingsapi.Figures {
	f := settingsapi.Figures{Streams: h.gateway.Running()}
	for _, allocation := range h.grants.Allocations("") {
		amount := allocation.Reserved + allocation.Free + allocation.Unreported
		if amount > 0 {
			f.Grants++
			f.Granted += amount
		}
	}
	return f
}
