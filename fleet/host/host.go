// Package host builds the components of one host of the fleet, connects them and
// runs them. It makes no decisions itself.
package host

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/admin"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/config"
	"github.com/hazelworks/hazelworks/fleet/entry"
	"github.com/hazelworks/hazelworks/fleet/gateway"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer"
	"github.com/hazelworks/hazelworks/fleet/placer"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
	"github.com/hazelworks/hazelworks/fleet/settingswatch"
	"github.com/hazelworks/hazelworks/fleet/shard"
	"github.com/hazelworks/hazelworks/fleet/upstream"
)

// Listen opens a listener, as [net.Listen] does.
type Listen func(network, addr string) (net.Listener, error)

// Options configures a Host. Config, Log and Hosts are required.
type Options struct {
	Config *config.Config
	// Incarnation identifies this run among all runs of the host; zero means the
	// current time in Unix nanoseconds.
	Incarnation record.Incarnation
	Log         platform.Log
	Hosts       platform.HostList
	// Weights is optional; without it the host runs no placer.
	Weights platform.WeightStore
	// Dial and Listen default to those of package net; the default Dial has the
	// connect timeout of Config.
	Dial   peer.DialFunc
	Listen Listen
	Logger logr.Logger
	// Seed seeds the host's random choices, so that a run can be reproduced; zero
	// means a random seed.
	Seed uint64
}

func (o *Options) setDefaults() {
	if o.Incarnation == 0 {
		o.Incarnation = record.Incarnation(time.Now().UnixNano())
	}
	if o.Dial == nil {
		dialer := &net.Dialer{Timeout: o.Config.Timeouts.Connect}
		o.Dial = dialer.DialContext
	}
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
}

// Host is one host of the fleet. [New] builds it, [Host.Run] runs it.
type Host struct {
	opts     Options
	self     record.Holder
	logger   logr.Logger
	metrics  metrics.Registry
	members  *member.Members
	settings *settingswatch.Watcher
	shards   *shard.Service
	grants   *grants.Manager
	pool     *upstream.Pool
	placer   *placer.Placer // nil without a weight store
	entry    *entry.Handler
	peers    *quarantine.Peers
	gateway  *gateway.Gateway
	callers  *callerserver.Server
	admin    *admin.Server
	// hosts and operators serve calls of other hosts and of operators.
	hosts     *peer.Server
	operators *callerserver.Server
	drained   chan struct{} // closed when Shutdown has finished
}

// New returns a host that is not running yet.
func New(opts Options) *Host {
	opts.setDefaults()
	h := &Host{
		opts:    opts,
		self:    record.Holder{Host: opts.Config.Host.ID, Incarnation: opts.Incarnation},
		logger:  opts.Logger.WithValues("host", opts.Config.Host.ID),
		metrics: metrics.NewRegistry(),
		drained: make(chan struct{}),
	}
	h.buildMembership()
	h.buildBudgets()
	h.buildRequests()
	h.buildPlacement()
	h.buildAdmin()
	h.buildServers()
	return h
}

// Self returns the host's ID and incarnation.
func (h *Host) Self() record.Holder { return h.self }

// Metrics returns the registry of all of the host's metrics.
func (h *Host) Metrics() metrics.Registry { return h.metrics }

// Ready returns nil if the host can serve, otherwise the reason why it cannot.
func (h *Host) Ready() error { return h.settings.Ready() }

// Run serves until ctx ends, a component or server fails or Shutdown has finished.
// It returns an error if a listener cannot be opened, or if a component or server
// fails.
func (h *Host) Run(ctx context.Context) error {
	servers, err := h.openServers()
	if err != nil {
		return err
	}
	var group run.Group
	h.addStop(ctx, &group)
	for _, part := range h.components() {
		addComponent(&group, part)
	}
	for _, s := range servers {
		addServer(&group, s)
	}
	h.logger.WithName("host").Info("started", "incarnation", h.self.Incarnation, "caller", h.opts.Config.Listen.Caller.String())
	err = group.Run()
	h.grants.Stop()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the run group in a regular stop.
var errStopped = errors.New("host: stopped")

func (h *Host) addStop(ctx context.Context, group *run.Group) {
	interrupted := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-h.drained:
		case <-interrupted:
		}
		return errStopped
	}, func(error) { close(interrupted) })
}

// component is a part of the host that runs until its context ends.
type component struct {
	name string
	run  func(ctx context.Context) error
}

func (h *Host) components() []component {
	components := []component{
		{"members", h.members.Run},
		{"settings", h.settings.Run},
		{"shard", h.shards.Run},
		{"bank", h.grants.Run},
		{"upstream", h.pool.Run},
		{"quarantine", h.peers.Run},
	}
	if h.placer != nil {
		components = append(components, component{"placement", h.placer.Run})
	}
	return components
}

func addComponent(group *run.Group, p component) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		if err := p.run(ctx); err != nil && ctx.Err() == nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

// Settings returns the watcher of the host's settings.
func (h *Host) Settings() *settingswatch.Watcher { return h.settings }
