package settingswatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

// cluster is a set of watchers that share a log and see each other's versions.
type cluster struct {
	t       *testing.T
	log     *memlog.Log
	latency time.Duration
	// wrap changes the log that each host sees.
	wrap func(platform.Log) platform.Log
	// neighbours limits the view of a host to six neighbours on a ring. The view
	// is renewed once per probe interval.
	neighbours bool

	mu    sync.Mutex
	nodes map[record.HostID]*node
}

// node is a host of a cluster; it implements member.View.
type node struct {
	cluster *cluster
	id      record.HostID
	link    *memlog.Link
	watcher *Watcher
	stop    context.CancelFunc
	view    atomic.Pointer[[]member.Host]
	// requests counts this host's calls for settings that were answered. If
	// getsUnusable is set, the responses cannot be decoded.
	requests     atomic.Int64
	getsUnusable atomic.Bool
	// isolated hosts can neither call other hosts nor be called.
	isolated atomic.Bool
}

func newCluster(t *testing.T, opts memlog.Options, hosts int) *cluster {
	c := &cluster{t: t, log: memlog.New(opts), latency: time.Millisecond, nodes: make(map[record.HostID]*node)}
	for i := range hosts {
		c.start(record.HostID(fmt.Sprintf("h%03d", i)))
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) start(id record.HostID) *node {
	n := &node{cluster: c, id: id, link: memlog.NewLink(c.log)}
	return c.run(n)
}

func (c *cluster) run(n *node) *node {
	ctx, cancel := context.WithCancel(c.t.Context())
	n.stop = cancel
	var log platform.Log = n.link
	if c.wrap != nil {
		log = c.wrap(log)
	}
	if c.neighbours {
		go n.probeNeighbours(ctx)
	}
	n.watcher = New(Options{
		Log:    log,
		View:   n,
		Logger: logr.Discard(),
		Rand:   rand.New(rand.NewPCG(1, uint64(len(n.id)))),
	})
	c.mu.Lock()
	c.nodes[n.id] = n
	c.mu.Unlock()
	go func() { _ = n.watcher.Run(ctx) }()
	return n
}

func (c *cluster) stopAll() {
	for _, n := range c.all() {
		n.stop()
	}
	time.Sleep(time.Second)
}

func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := make([]*node, 0, len(c.nodes))
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

func (c *cluster) node(i int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[record.HostID(fmt.Sprintf("h%03d", i))]
}

// inForce returns how many hosts have at least the version in force.
func (c *cluster) inForce(version record.Offset) int {
	count := 0
	for _, n := range c.all() {
		if n.watcher.Version() >= version {
			count++
		}
	}
	return count
}

func (n *node) Self() record.Holder { return record.Holder{Host: n.id, Incarnation: 1} }

// probeNeighbours renews the view of a host as membership probes would.
func (n *node) probeNeighbours(ctx context.Context) {
	const probeInterval = 1400 * time.Millisecond
	var own int
	_, _ = fmt.Sscanf(string(n.id), "h%d", &own)
	_ = sleep(ctx, time.Duration(own*137%1400)*time.Millisecond)
	for ctx.Err() == nil {
		hosts := len(n.cluster.all())
		if hosts == 0 {
			return // the cluster is being stopped
		}
		var view []member.Host
		for step := 1; step <= 3; step++ {
			// The strides of different length simulate the rings of membership.
			stride := 1 + (step-1)*max(1, hosts/7)
			for _, i := range []int{own + stride, own + hosts - stride%hosts} {
				other := n.cluster.node(i % hosts)
				view = append(view, member.Host{Host: platform.Host{ID: other.id}, ObservedState: member.StateLive, SettingsVersion: other.watcher.Version()})
			}
		}
		n.view.Store(&view)
		_ = sleep(ctx, probeInterval)
	}
}

func (n *node) Hosts() []member.Host {
	if n.cluster.neighbours {
		if view := n.view.Load(); view != nil {
			return append([]member.Host(nil), *view...)
		}
		return nil
	}
	var hosts []member.Host
	for _, other := range n.cluster.all() {
		h := member.Host{Host: platform.Host{ID: other.id}, ObservedState: member.StateLive}
		if !n.isolated.Load() && !other.isolated.Load() {
			h.SettingsVersion = other.watcher.Version()
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func (n *node) Client(id record.HostID) (peerpbconnect.PeerServiceClient, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	other, ok := n.cluster.nodes[id]
	return &peerClient{from: n, to: other}, ok
}

type peerClient struct {
	peerpbconnect.PeerServiceClient
	from, to *node
}

func (p *peerClient) Settings(ctx context.Context, r *connect.Request[peerpb.SettingsRequest]) (*connect.Response[peerpb.SettingsResponse], error) {
	if p.from.isolated.Load() || p.to.isolated.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * p.from.cluster.latency)
	p.from.requests.Add(1)
	if p.from.getsUnusable.Load() {
		return connect.NewResponse(&peerpb.SettingsResponse{Snapshot: []byte("of a newer program")}), nil
	}
	return p.to.watcher.Settings(ctx, r)
}

func change(id string, base record.Offset, path, value string) *settings.Change {
	e := settings.Edit{Path: path}
	if value != "" {
		e.Value = []byte(value)
	}
	return &settings.Change{Kind: settings.KindEdit, ID: id, Base: base, By: "tester", Edits: []settings.Edit{e}}
}

// publish publishes a change through a host and returns its version.
func (n *node) publish(c *settings.Change) record.Offset {
	n.cluster.t.Helper()
	ctx, cancel := context.WithTimeout(n.cluster.t.Context(), time.Minute)
	defer cancel()
	d, err := n.watcher.Publish(ctx, c)
	require.NoError(n.cluster.t, err)
	return d.Offset
}

const seedFirms = `{"a":{"budgets":{"b":{}},"accounts":{"x":{"budget":"b"},"y":{"budget":"b"}}}}`

func (c *cluster) seed() record.Offset {
	version := c.node(0).publish(change("seed", 0, "firms", seedFirms))
	time.Sleep(time.Second)
	require.Equal(c.t, len(c.all()), c.inForce(version))
	return version
}

func (n *node) weight(account string) float64 {
	a, ok := n.watcher.Current().Account(account)
	require.True(n.cluster.t, ok)
	return a.Weight
}

// run executes a test in virtual time.
func run(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, test)
}

var errConflict *ConflictError

func isConflict(err error) bool { return errors.As(err, &errConflict) }
