package grants

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/core/shardfold"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/fleet/shard"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

// Latencies of the test fleet.
const (
	peerLatency = time.Millisecond
	logLatency  = 5 * time.Millisecond
)

var errCut = errors.New("test: no route")

// testFleet is a set of hosts that share one log, with network paths that tests
// can cut.
type testFleet struct {
	t      *testing.T
	log    *memlog.Log
	source *fixedSettings
	rand   *rand.Rand

	mu    sync.Mutex
	hosts []*testHost
	cuts  map[path]bool
	next  record.Incarnation
}

type path struct{ from, to record.HostID }

type testHost struct {
	fleet        *testFleet
	self         record.Holder
	link         *memlog.Link
	svc          *shard.Service
	server       shard.Server
	grants       *Manager
	reg          metrics.Registry
	cancel       context.CancelFunc
	done         sync.WaitGroup
	dead         bool
	unresponsive bool // calls to it hang, as with a paused process
	belief       member.State
}

type fixedSettings struct {
	mu      sync.Mutex
	current *settings.Resolved
}

func (s *fixedSettings) Current() *settings.Resolved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

var testPolicy = settings.BudgetPolicy{
	Slice: 5 * time.Second, Floor: 500, RecallDelay: 30 * time.Second, RefusalWait: time.Second,
}

func newFleet(t *testing.T, hosts int, shards uint32, logOpts memlog.Options, budgets ...record.BudgetID) *testFleet {
	if logOpts.Latency == 0 {
		logOpts.Latency = logLatency
	}
	resolved := &settings.Resolved{Shards: shards}
	for _, id := range budgets {
		resolved.Budgets = append(resolved.Budgets, settings.Budget{ID: id, Policy: testPolicy})
	}
	resolved.Index()
	f := &testFleet{
		t: t, log: memlog.New(logOpts), source: &fixedSettings{current: resolved},
		cuts: make(map[path]bool), rand: rand.New(rand.NewPCG(1, 2)), next: 100,
	}
	for i := range hosts {
		f.start(record.HostID(fmt.Sprintf("h%d", i)))
	}
	return f
}

// start adds a host, or a new incarnation of one that has been killed.
func (f *testFleet) start(id record.HostID) *testHost {
	f.mu.Lock()
	f.next++
	h := &testHost{
		fleet: f, self: record.Holder{Host: id, Incarnation: f.next},
		link: memlog.NewLink(f.log), reg: metrics.NewRegistry(), belief: member.StateLive,
	}
	f.hosts = slices.DeleteFunc(f.hosts, func(o *testHost) bool { return o.self.Host == id })
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	h.svc = shard.NewService(shard.Options{
		Self: h.self, Log: h.link, View: testView{host: h}, Metrics: h.reg, Rand: f.random,
		Shards:           func() uint32 { return f.source.Current().Shards },
		SnapshotInterval: time.Minute,
	})
	h.server = shard.NewServer(h.svc)
	h.grants = New(Options{Self: h.self, Submitter: h.svc, Settings: f.source, Metrics: h.reg, Rand: f.random})
	h.svc.SetReturner(h.grants)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Go(func() { _ = h.svc.Run(ctx) })
	h.done.Go(func() { _ = h.grants.Run(ctx) })
	return h
}

func (f *testFleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.Float64()
}

// kill stops a host as in a crash: it closes nothing and reports nothing.
func (h *testHost) kill() {
	h.fleet.mu.Lock()
	h.dead = true
	h.fleet.mu.Unlock()
	h.link.SetCut(true)
	h.cancel()
	h.grants.stop()
	h.svc.Stop()
	h.grants.wg.Wait()
	h.done.Wait()
}

func (f *testFleet) stop() {
	for _, h := range slices.Clone(f.hosts) {
		if !h.dead {
			h.kill()
		}
	}
}

// cut makes calls from one host to another fail.
func (f *testFleet) cut(from, to record.HostID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[path{from, to}] = cut
}

// partition cuts all calls between two groups, both ways.
func (f *testFleet) partition(a, b []*testHost, cut bool) {
	for _, x := range a {
		for _, y := range b {
			f.cut(x.self.Host, y.self.Host, cut)
			f.cut(y.self.Host, x.self.Host, cut)
		}
	}
}

func (f *testFleet) reach(from, to record.HostID) (*testHost, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.self.Host == to && !h.dead && !f.cuts[path{from, to}] {
			return h, nil
		}
	}
	return nil, errCut
}

// topUp adds to a budget through a host.
func (f *testFleet) topUp(h *testHost, id record.BudgetID, name string, amount record.Tokens) ledger.Result {
	f.t.Helper()
	op := record.Op{Kind: record.KindTopUp, Budget: id, ID: name, Amount: amount, By: "test"}
	res, err := h.svc.Submit(f.t.Context(), f.shardOf(id), []record.Op{op})
	require.NoError(f.t, err)
	return res[0]
}

func (f *testFleet) shardOf(id record.BudgetID) record.ShardID {
	return record.ShardOf(id, f.source.Current().Shards)
}

// fold replays a shard's whole stream from the log's records.
func (f *testFleet) fold(id record.ShardID) *shardfold.Fold {
	f.t.Helper()
	fold := shardfold.New(shardfold.Options{})
	for _, entry := range f.log.Records(record.StreamOfShard(id)) {
		_, err := fold.Apply(entry)
		require.NoError(f.t, err)
		require.NoError(f.t, fold.Check())
	}
	return fold
}

func (f *testFleet) budget(id record.BudgetID) ledger.BudgetState {
	f.t.Helper()
	state, ok := f.fold(f.shardOf(id)).Ledger().Budget(id)
	require.True(f.t, ok)
	return state
}

// testView is a host's view of the fleet.
type testView struct{ host *testHost }

func (v testView) Self() record.Holder { return v.host.self }

func (v testView) Hosts() []member.Host {
	f := v.host.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []member.Host
	for _, h := range f.hosts {
		list = append(list, member.Host{
			Host: platform.Host{ID: h.self.Host}, Incarnation: h.self.Incarnation, ObservedState: h.belief,
		})
	}
	slices.SortFunc(list, func(a, b member.Host) int { return cmpHost(a.ID, b.ID) })
	return list
}

func cmpHost(a, b record.HostID) int {
	if a < b {
		return -1
	}
	return 1
}

func (v testView) Client(id record.HostID) (peerpbconnect.PeerServiceClient, bool) {
	return testClient{from: v.host, to: id}, true
}

// testClient calls another host's handlers directly.
type testClient struct {
	peerpbconnect.PeerServiceClient
	from *testHost
	to   record.HostID
}

func call[Q, S any](ctx context.Context, c testClient, req *connect.Request[Q], f func(*testHost) (*connect.Response[S], error)) (*connect.Response[S], error) {
	h, err := c.from.fleet.reach(c.from.self.Host, c.to)
	time.Sleep(peerLatency)
	if err != nil {
		return nil, err
	}
	if h.isUnresponsive() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	res, err := f(h)
	time.Sleep(peerLatency)
	if _, back := c.from.fleet.reach(c.to, c.from.self.Host); back != nil {
		<-ctx.Done() // the reply is lost
		return nil, ctx.Err()
	}
	return res, err
}

func (c testClient) Submit(ctx context.Context, req *connect.Request[peerpb.SubmitRequest]) (*connect.Response[peerpb.SubmitResponse], error) {
	return call(ctx, c, req, func(h *testHost) (*connect.Response[peerpb.SubmitResponse], error) {
		return h.server.Submit(ctx, req)
	})
}

func (c testClient) ShardState(ctx context.Context, req *connect.Request[peerpb.ShardStateRequest]) (*connect.Response[peerpb.ShardStateResponse], error) {
	return call(ctx, c, req, func(h *testHost) (*connect.Response[peerpb.ShardStateResponse], error) {
		return h.server.ShardState(ctx, req)
	})
}

func (c testClient) Recall(ctx context.Context, req *connect.Request[peerpb.RecallRequest]) (*connect.Response[peerpb.RecallResponse], error) {
	return call(ctx, c, req, func(h *testHost) (*connect.Response[peerpb.RecallResponse], error) {
		return h.grants.Recall(ctx, req)
	})
}

func (c testClient) Holdings(ctx context.Context, req *connect.Request[peerpb.HoldingsRequest]) (*connect.Response[peerpb.HoldingsResponse], error) {
	return call(ctx, c, req, func(h *testHost) (*connect.Response[peerpb.HoldingsResponse], error) {
		return h.grants.Holdings(ctx, req)
	})
}

func (h *testHost) isUnresponsive() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.unresponsive
}
