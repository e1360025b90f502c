package host

import (
	"math/rand/v2"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/fleet/admin"
	"github.com/hazelworks/hazelworks/fleet/entry"
	"github.com/hazelworks/hazelworks/fleet/gateway"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/grants/budgetadmin"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer"
	"github.com/hazelworks/hazelworks/fleet/placer"
	"github.com/hazelworks/hazelworks/fleet/settingsapi"
	"github.com/hazelworks/hazelworks/fleet/settingswatch"
	"github.com/hazelworks/hazelworks/fleet/shard"
	"github.com/hazelworks/hazelworks/fleet/upstream"
)

// rand returns a source of randomness for one part of the host.
func (h *Host) rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(h.opts.Seed, stream))
}

// platformHost describes this host as the platform's list does.
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

func (h *Host) buildFleet() {
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
	h.members.SetVersion(h.settings.Version)
}

func (h *Host) buildMoney() {
	h.shards = shard.NewService(shard.Options{
		Self:    h.self,
		Log:     h.opts.Log,
		View:    h.members,
		Shards:  h.shardCount,
		Logger:  h.logger,
		Metrics: h.metrics,
		Rand:    lockedFloat(h.rand(3)),
	})
	h.bank = grants.New(grants.Options{
		Self:      h.self,
		Submitter: h.shards,
		Settings:  h.settings,
		Logger:    h.logger,
		Metrics:   h.metrics,
		Rand:      lockedFloat(h.rand(4)),
	})
	h.shards.SetReturner(h.bank)
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
	h.gateway = gateway.New(gateway.Options{
		Self:           h.self,
		Settings:       h.settings,
		Reserver:       h.bank,
		Claimer:        h.bank,
		Picker:         h.pool,
		View:           h.members,
		PreferredHosts: h.entryOrder,
		Budgets:        budgetReader{h.shards, h.shardCount},
		Entry:          h.entry,
		Logger:         h.logger,
		Metrics:        h.metrics,
		Limits: gateway.Limits{
			Running:     cfg.Limits.InFlight,
			BodyTimeout: cfg.Timeouts.BodyRead,
		},
	})
}

// buildPlacement leaves the placer out if there is no weight store.
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
	parts := []admin.Registrar{h.pool}
	if h.placer != nil {
		parts = append(parts, h.placer)
	}
	parts = append(parts,
		h.gateway,
		settingsapi.New(h.settings, h.members, h.figures),
		budgetadmin.New(budgetadmin.Options{
			Shards:   h.shards,
			Grants:   h.bank,
			View:     h.members,
			Settings: h.settings,
			Logger:   h.logger,
		}),
	)
	h.admin = admin.New(string(h.opts.Config.Secrets.Operator), h.metrics, parts...)
	h.admin.SetReadinessCheck(h.Ready)
}

// services returns the parts that answer peers.
func (h *Host) services() peer.Services {
	return peer.Services{
		Pinger:         h.members,
		ShardServer:    shard.NewServer(h.shards),
		GrantServer:    h.bank,
		SettingsServer: h.settings,
		AnswerServer:   h.gateway,
	}
}

func (h *Host) shardCount() uint32 {
	current := h.settings.Current()
	if current == nil {
		return 0
	}
	return current.Shards
}

// figures sums up what this host holds, for the status page.
func (h *Host) figures() settingsapi.Figures {
	f := settingsapi.Figures{Streams: h.gateway.Running()}
	for _, held := range h.bank.Allocations("") {
		amount := held.Reserved + held.Free + held.Unreported
		if amount > 0 {
			f.Grants++
			f.Granted += amount
		}
	}
	return f
}
