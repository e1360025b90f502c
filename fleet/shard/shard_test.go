package shard

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

// cluster is a set of services that call each other directly.
type cluster struct {
	t     *testing.T
	log   *memlog.Log
	links map[record.HostID]*memlog.Link

	// mu guards the fields below, which tests change while services read them.
	mu   sync.Mutex
	ids  []record.HostID
	svcs map[record.HostID]*Service
	// visible lists the hosts that a host sees. A host without an entry sees all.
	visible map[record.HostID][]record.HostID
}

func newCluster(t *testing.T, opts memlog.Options, ids ...record.HostID) *cluster {
	opts.Latency = 5 * time.Millisecond
	c := &cluster{
		t: t, log: memlog.New(opts), ids: ids,
		svcs:    make(map[record.HostID]*Service),
		links:   make(map[record.HostID]*memlog.Link),
		visible: make(map[record.HostID][]record.HostID),
	}
	for _, id := range ids {
		c.start(id, 1)
	}
	return c
}

func (c *cluster) start(id record.HostID, incarnation record.Incarnation) *Service {
	c.links[id] = memlog.NewLink(c.log)
	s := NewService(Options{
		Self: record.Holder{Host: id, Incarnation: incarnation}, Log: c.links[id], View: view{c, id},
		Shards: func() uint32 { return 1 }, Rand: func() float64 { return 0.5 }, SnapshotInterval: time.Minute,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.svcs[id] = s
	return s
}

func (c *cluster) stop() {
	for _, s := range c.svcs {
		s.Stop()
	}
}

// update changes the hosts of the cluster while services may read them.
func (c *cluster) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

type view struct {
	c  *cluster
	id record.HostID
}

func (v view) Self() record.Holder {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	return v.c.svcs[v.id].opts.Self
}

func (v view) Hosts() []member.Host {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	ids, limited := v.c.visible[v.id]
	if !limited {
		ids = v.c.ids
	}
	var hosts []member.Host
	for _, id := range ids {
		hosts = append(hosts, member.Host{Host: platform.Host{ID: id}, ObservedState: member.StateLive})
	}
	return hosts
}

func (v view) Client(id record.HostID) (peerpbconnect.PeerServiceClient, bool) {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	s, ok := v.c.svcs[id]
	return client{server: NewServer(s)}, ok
}

type client struct {
	peerpbconnect.PeerServiceClient
	server Server
}

func (c client) Submit(ctx context.Context, r *connect.Request[peerpb.SubmitRequest]) (*connect.Response[peerpb.SubmitResponse], error) {
	time.Sleep(time.Millisecond)
	return c.server.Submit(ctx, r)
}

func (c client) ShardState(ctx context.Context, r *connect.Request[peerpb.ShardStateRequest]) (*connect.Response[peerpb.ShardStateResponse], error) {
	return c.server.ShardState(ctx, r)
}

func (c client) Recall(context.Context, *connect.Request[peerpb.RecallRequest]) (*connect.Response[peerpb.RecallResponse], error) {
	return connect.NewResponse(&peerpb.RecallResponse{}), nil
}

func topUp(n int, amount record.Tokens) record.Op {
	return record.Op{Kind: record.KindTopUp, Budget: "m", ID: fmt.Sprint(n), Amount: amount, By: "test"}
}

func grant(s *Service, seq uint64, amount record.Tokens) record.Op {
	holder := s.opts.Self
	return record.Op{Kind: record.KindGrant, Budget: "m", Holder: &holder, Seq: seq, Amount: amount, Need: amount}
}

func (c *cluster) fold() *ledger.Fold {
	c.t.Helper()
	fold := shardfold.New(shardfold.Options{})
	for _, entry := range c.log.Records(record.StreamOfShard(0)) {
		_, err := fold.Apply(entry)
		require.NoError(c.t, err)
	}
	require.NoError(c.t, fold.Check())
	return fold.Ledger()
}

func TestOperationsShareRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, "a", "b", "c")
		defer c.stop()
		const ops = 100
		done := make(chan error, ops)
		for i := range ops {
			go func() {
				res, err := c.svcs[c.ids[i%3]].Submit(t.Context(), 0, []record.Op{topUp(i, 10)})
				if err == nil && !res[0].Applied {
					err = fmt.Errorf("top-up %d: %s", i, res[0].Reason)
				}
				done <- err
			}()
		}
		for range ops {
			require.NoError(t, <-done)
		}
		state, _ := c.fold().Budget("m")
		require.Equal(t, record.Tokens(ops*10), state.Prepaid)
		require.LessOrEqual(t, c.log.Appends(), int64(4), "one append is in flight at a time, the other operations are queued")
	})
}

// TestTwoConcurrentOwnersDoNotOvergrant lets each of two hosts see only itself, so that both
// act as owner. Together they must grant no more than was prepaid.
func TestTwoConcurrentOwnersDoNotOvergrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, "a", "b")
		defer c.stop()
		c.visible["a"], c.visible["b"] = []record.HostID{"a"}, []record.HostID{"b"}
		_, err := c.svcs["a"].Submit(t.Context(), 0, []record.Op{topUp(1, 1000)})
		require.NoError(t, err)
		type outcome struct {
			granted record.Tokens
			err     error
		}
		done := make(chan outcome, 2)
		for _, id := range c.ids {
			go func() {
				var sum record.Tokens
				for seq := uint64(1); seq <= 20; seq++ {
					res, err := c.svcs[id].Submit(t.Context(), 0, []record.Op{grant(c.svcs[id], seq, 40)})
					if err != nil {
						done <- outcome{err: err}
						return
					}
					sum += res[0].Granted
				}
				done <- outcome{granted: sum}
			}()
		}
		first, second := <-done, <-done
		require.NoError(t, first.err)
		require.NoError(t, second.err)
		require.Equal(t, record.Tokens(1000), first.granted+second.granted)
		state, _ := c.fold().Budget("m")
		require.Equal(t, record.Tokens(1000), state.Granted)
	})
}

// TestLateBatchOfStaleOwnerIsVoid delays an owner's batch until another host has taken
// over. The grant in it must be void and be made once, in a later epoch.
func TestLateBatchOfStaleOwnerIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{}, "a", "b")
		defer c.stop()
		c.visible["a"], c.visible["b"] = []record.HostID{"a"}, []record.HostID{"b"}
		_, err := c.svcs["a"].Submit(t.Context(), 0, []record.Op{topUp(1, 1000), grant(c.svcs["a"], 1, 10)})
		require.NoError(t, err)
		c.links["a"].SetAppendDelay(time.Second)
		result := make(chan ledger.Result, 1)
		go func() {
			res, err := c.svcs["a"].Submit(t.Context(), 0, []record.Op{grant(c.svcs["a"], 2, 10)})
			if err == nil {
				result <- res[0]
			}
			close(result)
		}()
		time.Sleep(100 * time.Millisecond)
		_, err = c.svcs["b"].Submit(t.Context(), 0, []record.Op{grant(c.svcs["b"], 1, 10)})
		require.NoError(t, err)
		res, ok := <-result
		require.True(t, ok)
		require.Equal(t, record.Tokens(10), res.Granted)
		time.Sleep(10 * time.Second)
		state, _ := c.fold().Budget("m")
		require.Equal(t, record.Tokens(30), state.Granted)
	})
}

func TestThrottledOperationsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{AppendsPerSecond: 1}, "a")
		defer c.stop()
		start := time.Now()
		for i := range 4 {
			res, err := c.svcs["a"].Submit(t.Context(), 0, []record.Op{topUp(i, 1)})
			require.NoError(t, err)
			require.True(t, res[0].Applied)
		}
		require.GreaterOrEqual(t, time.Since(start), 3*time.Second)
		require.Positive(t, c.svcs["a"].opts.Metrics.Get("shard.throttled").(metrics.Counter).Count())
	})
}

// TestLateSnapshotIsIgnored appends an old snapshot after a newer one. A host that starts
// must load the newer one, also if the records before it are trimmed.
func TestLateSnapshotIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{Retention: 10 * time.Minute}, "a")
		defer c.stop()
		a := c.svcs["a"]
		var old []byte
		for i := range 10 {
			_, err := a.Submit(t.Context(), 0, []record.Op{topUp(i, 1)})
			require.NoError(t, err)
			r, _ := a.followed(0)
			if i == 4 {
				old, _, err = r.snapshot(time.Now())
				require.NoError(t, err)
			}
		}
		time.Sleep(9 * time.Minute)
		r, _ := a.followed(0)
		require.NoError(t, r.writeSnapshot(t.Context(), time.Now()))
		_, err := c.log.Append(t.Context(), record.StreamOfShardSnapshots(0), old)
		require.NoError(t, err)
		time.Sleep(2 * time.Minute)
		require.Empty(t, c.keptRecords(), "the records themselves are trimmed")
		a.Stop()
		c.update(func() {
			c.svcs = map[record.HostID]*Service{}
			c.ids = []record.HostID{"b"}
		})
		res, err := c.start("b", 1).Submit(t.Context(), 0, []record.Op{topUp(99, 1)})
		require.NoError(t, err)
		require.Equal(t, record.Tokens(11), res[0].Available)
	})
}

func (c *cluster) keptRecords() []record.Entry {
	bounds, err := c.log.Bounds(c.t.Context(), record.StreamOfShard(0))
	require.NoError(c.t, err)
	if bounds.Head < bounds.First {
		return nil
	}
	return c.log.Records(record.StreamOfShard(0))
}

// TestTrimmedShardIsNotStartedEmpty checks that a host never starts a trimmed shard with an
// empty fold. It waits for the state of another host instead.
func TestTrimmedShardIsNotStartedEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, memlog.Options{Retention: time.Minute}, "a")
		defer c.stop()
		_, err := c.svcs["a"].Submit(t.Context(), 0, []record.Op{topUp(1, 5)})
		require.NoError(t, err)
		time.Sleep(2 * time.Minute)
		copies := c.svcs
		c.update(func() {
			c.svcs = map[record.HostID]*Service{}
			c.ids = []record.HostID{"b"}
		})
		b := c.start("b", 1)
		_, err = b.Submit(t.Context(), 0, []record.Op{topUp(2, 5)})
		require.ErrorIs(t, err, ErrLogUnavailable)
		c.update(func() {
			c.svcs["a"] = copies["a"]
			c.ids = []record.HostID{"a", "b"}
		})
		time.Sleep(5 * time.Second)
		state, err := b.State(t.Context(), 0)
		require.NoError(t, err)
		budget, _ := state.Fold.Ledger().Budget("m")
		require.Equal(t, record.Tokens(5), budget.Prepaid)
	})
}
