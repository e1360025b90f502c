package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/hazelworks/hazelworks/core/membership"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

// Options configures Members. Self, SelfHost, List and Dial are required.
type Options struct {
	Self     record.Holder
	SelfHost platform.Host
	List     platform.HostList
	// Dial opens connections to peer addresses.
	Dial       peer.DialFunc
	PeerSecret string
	// SettingsVersion returns the settings offset that this host has applied; may
	// be nil.
	SettingsVersion func() record.Offset
	Logger          logr.Logger
	Metrics         metrics.Registry
	// Rand delays the first probes by a random time; the default is seeded
	// randomly.
	Rand *rand.Rand
	// Policy sets when hosts are suspected; the zero value means
	// [membership.DefaultPolicy].
	Policy membership.Policy
}

const (
	// probeInterval is the interval between two probes of the same target.
	probeInterval = 1400 * time.Millisecond
	// probeTimeout limits a probe as a whole, over both of its connections.
	probeTimeout = 750 * time.Millisecond
	// hedgeDelay is the time without an answer after which a probe also tries a
	// new connection.
	hedgeDelay = 250 * time.Millisecond
	// reportedHedgeDelay replaces hedgeDelay for a host whose failure was reported.
	reportedHedgeDelay = 20 * time.Millisecond
	// pauseSlack is the time that a probe may exceed its timeout. A probe that
	// takes longer shows that this process was paused.
	pauseSlack = 250 * time.Millisecond
	// pushDelay is how long a push waits for further reports.
	pushDelay = 10 * time.Millisecond
	// pushTimeout limits a call that pushes reports.
	pushTimeout = 500 * time.Millisecond
	// maxReports is the maximum number of reports in one message.
	maxReports      = 64
	tickInterval    = 500 * time.Millisecond
	listPollTimeout = 30 * time.Second
	listRetryDelay  = 2 * time.Second
	// listEntryBytes is the estimated size of a host in the list as JSON, in bytes.
	listEntryBytes = 180
	// smallListBytes is the list size, in bytes, up to which each change is read
	// at once.
	smallListBytes = 8 << 10
	// listBytesPerSecond limits the mean rate at which a larger list is read.
	listBytesPerSecond = 800
)

// Members tracks the hosts of the fleet. It implements [View].
type Members struct {
	opts         Options
	logger       logr.Logger
	meters       meters
	pushRequests chan struct{}

	mu    sync.Mutex
	table *membership.Table
	// addrs holds the peer addresses of known hosts, conns the connections in use.
	addrs map[record.HostID]string
	conns map[record.HostID]*peerConn
	// hosts caches the result of buildHosts; it is nil if it is out of date.
	hosts []Host
	// probing holds the hosts with a probe in progress.
	probing map[record.HostID]bool
	rand    *rand.Rand
	// runContext is the context of Run. Probes that are started outside its loops
	// use it.
	runContext context.Context
	listErr    error
}

var _ View = (*Members)(nil)

// New returns Members that know only this host. [Members.Run] adds the others.
func New(opts Options) *Members {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.Policy == (membership.Policy{}) {
		opts.Policy = membership.DefaultPolicy()
	}
	m := &Members{
		opts:         opts,
		logger:       opts.Logger.WithName("member"),
		meters:       newMeters(opts.Metrics),
		pushRequests: make(chan struct{}, 1),
		table:        membership.New(opts.Self, opts.SelfHost, opts.Policy),
		conns:        make(map[record.HostID]*peerConn),
		probing:      make(map[record.HostID]bool),
		rand:         opts.Rand,
		runContext:   context.Background(),
	}
	m.syncAddrsLocked()
	return m
}

// Run follows the platform's list and probes other hosts until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.runContext = ctx
	m.mu.Unlock()
	defer m.closeIdleConns()
	group.Go(func() error { return m.followList(ctx) })
	group.Go(func() error { return m.probeLoop(ctx) })
	group.Go(func() error { return m.pushLoop(ctx) })
	group.Go(func() error { return m.tickLoop(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// SetSettingsVersionSource sets the function that returns the settings offset that
// this host has applied. It must be called before Run.
func (m *Members) SetSettingsVersionSource(version func() record.Offset) {
	m.opts.SettingsVersion = version
}

// Self returns this host's incarnation.
func (m *Members) Self() record.Holder {
	return m.opts.Self
}

// Hosts returns all hosts that are not gone, including this one, sorted by ID.
func (m *Members) Hosts() []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hosts == nil {
		m.hosts = m.buildHosts()
	}
	return append([]Host(nil), m.hosts...)
}

// ObservedState returns the state in which this host sees another, or false if the
// host is not known.
func (m *Members) ObservedState(id record.HostID) (State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.table.State(id)
	return State(state), ok
}

func (m *Members) buildHosts() []Host {
	known := m.table.Hosts()
	hosts := make([]Host, len(known))
	for i, h := range known {
		hosts[i] = Host{
			Host:            h.Host,
			Incarnation:     h.Incarnation,
			ObservedState:   State(h.State),
			SettingsVersion: h.Version,
		}
		if h.ID == m.opts.Self.Host {
			hosts[i].SettingsVersion = m.settingsVersion()
		}
	}
	return hosts
}

func (m *Members) settingsVersion() record.Offset {
	if m.opts.SettingsVersion == nil {
		return 0
	}
	return m.opts.SettingsVersion()
}

// Client returns a client for a host's peer address, or false if the host is not
// known.
func (m *Members) Client(id record.HostID) (peerpbconnect.PeerServiceClient, bool) {
	conn := m.conn(id)
	if conn == nil {
		return nil, false
	}
	return conn.client, true
}

// SetLeaving announces to the other hosts that this host leaves the fleet.
func (m *Members) SetLeaving() {
	m.update(func(now time.Time) { m.table.SetLeaving(now) })
	m.requestPush()
}

// ReportFailure reports that a call to a host failed. The host is probed at once.
// The failure counts only if the probe fails too.
func (m *Members) ReportFailure(id record.HostID) {
	m.mu.Lock()
	ctx := m.runContext
	m.mu.Unlock()
	m.meters.failures.Inc(1)
	go m.probe(ctx, id, reportedHedgeDelay)
}

// update changes the table and logs the resulting state transitions. It drops the
// clients of hosts that are gone.
func (m *Members) update(change func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(time.Now())
	m.hosts = nil
	gone := false
	for _, t := range m.table.TakeTransitions() {
		gone = gone || t.To == membership.StateGone
		m.logger.Info("host changed", "peer", t.Host, "from", t.From, "to", t.To, "reason", t.Reason)
		m.meters.transitions.Inc(1)
	}
	if gone {
		m.syncAddrsLocked()
	}
}

func (m *Members) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.update(func(now time.Time) { m.table.Tick(now) })
			m.updateMeters()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// followList applies each version of the platform's host list. While the list is
// unreachable, the last version stays in use.
func (m *Members) followList(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		list, err := m.opts.List.Hosts(ctx, version, listPollTimeout)
		if ctx.Err() != nil {
			break
		}
		m.recordListResult(err)
		if err != nil {
			if err := sleep(ctx, listRetryDelay); err != nil {
				break
			}
			continue
		}
		if list.Version == version && version > 0 {
			continue
		}
		version = list.Version
		m.setList(list.Hosts)
		if err := sleep(ctx, listPause(len(list.Hosts))); err != nil {
			break
		}
	}
	return ctx.Err()
}

// listPause returns the time to wait before the list is read again, so that reading
// a large list that changes often stays within listBytesPerSecond.
func listPause(hosts int) time.Duration {
	size := hosts * listEntryBytes
	if size <= smallListBytes {
		return 0
	}
	return time.Duration(size) * time.Second / listBytesPerSecond
}

func (m *Members) recordListResult(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil && m.listErr == nil:
		m.logger.Error(err, "the host list is out of reach, the last one holds")
	case err == nil && m.listErr != nil:
		m.logger.Info("the host list is reachable again")
	}
	m.listErr = err
}

func (m *Members) setList(hosts []platform.Host) {
	m.update(func(now time.Time) {
		m.table.SetList(hosts, now)
		m.syncAddrsLocked()
	})
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
