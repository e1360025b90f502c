package upstream

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/memnet"
)

// netFleet is one host and engines on an in-memory network.
type netFleet struct {
	network *memnet.Network
	engines []*engine.Engine
	src     *source
	svc     *settings.Service
	pool    *Pool
	dials   atomic.Int32
}

// startNetFleet starts engines with the IDs worker-0 and up, and runs a pool.
func startNetFleet(ctx context.Context, t *testing.T, engines int, upstreamHosts platform.HostList) *netFleet {
	f := &netFleet{network: memnet.New(memnet.Options{}), src: &source{}}
	svc := testService(engines, 4)
	for i := range svc.Upstreams {
		up := &svc.Upstreams[i]
		up.URL += ":80"
		e := engine.New(engine.Options{Name: up.ID, Models: []string{model}})
		f.engines = append(f.engines, e)
		l, err := f.network.Listen(up.ID, up.URL[len("http://"):])
		require.NoError(t, err)
		server := &http.Server{Handler: e.Handler()}
		go func() { _ = server.Serve(l) }()
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	f.svc = f.src.set(svc)
	dial := f.network.Dialer("host")
	f.pool = NewPool(Options{
		Settings: f.src, Rand: rand.New(rand.NewPCG(3, 3)), UpstreamHosts: upstreamHosts,
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			f.dials.Add(1)
			return dial(ctx, network, addr)
		},
	})
	go func() { _ = f.pool.Run(ctx) }()
	return f
}

// call sends a request to the next upstream and returns its ID.
func (f *netFleet) call(ctx context.Context, t *testing.T) (string, error) {
	l, err := f.pool.Pick(ctx, queryOf(f.svc, "mokoena/yard"))
	require.NoError(t, err)
	bounded, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(bounded, http.MethodGet, l.Upstream().URL+"/v1/placement", nil)
	require.NoError(t, err)
	resp, err := l.Transport().RoundTrip(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	l.Done(dispatch.Result{Err: err, Status: status, Started: true, FirstByte: time.Millisecond, Latency: time.Millisecond})
	return l.Upstream().ID, err
}

func withNetFleet(t *testing.T, engines int, upstreamHosts platform.HostList, body func(ctx context.Context, t *testing.T, f *netFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		body(ctx, t, startNetFleet(ctx, t, engines, upstreamHosts))
	})
}

func TestUpstreamThatReportsLeavingGetsNoRequests(t *testing.T) {
	withNetFleet(t, 2, nil, func(ctx context.Context, t *testing.T, f *netFleet) {
		for range 10 {
			_, err := f.call(ctx, t)
			require.NoError(t, err)
		}
		f.engines[0].SetLeaving(true)
		time.Sleep(3 * time.Second) // no request is sent; a poll gets the report
		for range 20 {
			id, err := f.call(ctx, t)
			require.NoError(t, err)
			require.Equal(t, "worker-1", id)
		}
		f.engines[0].SetLeaving(false)
		time.Sleep(8 * time.Second)
		seen := make(map[string]bool)
		for range 20 {
			id, _ := f.call(ctx, t)
			seen[id] = true
		}
		require.Len(t, seen, 2, "it is used again once it reports that it is not leaving")
	})
}

// hostList is a platform list of upstream hosts.
type hostList struct {
	list atomic.Pointer[platform.Hosts]
}

func (l *hostList) Hosts(ctx context.Context, after uint64, wait time.Duration) (platform.Hosts, error) {
	if now := l.list.Load(); now.Version > after {
		return *now, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return *l.list.Load(), ctx.Err()
}

func TestUpstreamListedAsLeavingGetsNoRequestsAfterThreeSeconds(t *testing.T) {
	list := &hostList{}
	list.list.Store(&platform.Hosts{Version: 1})
	withNetFleet(t, 2, list, func(ctx context.Context, t *testing.T, f *netFleet) {
		time.Sleep(time.Second)
		list.list.Store(&platform.Hosts{Version: 2, Hosts: []platform.Host{{ID: record.HostID("worker-1"), State: platform.HostLeaving}}})
		time.Sleep(3 * time.Second)
		for range 20 {
			id, err := f.call(ctx, t)
			require.NoError(t, err)
			require.Equal(t, "worker-0", id)
		}
	})
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	withNetFleet(t, 1, nil, func(ctx context.Context, t *testing.T, f *netFleet) {
		_, err := f.call(ctx, t)
		require.NoError(t, err)
		require.Positive(t, f.network.Silence("host", "worker-0"))
		_, err = f.call(ctx, t)
		require.ErrorIs(t, err, context.DeadlineExceeded, "the pooled connection is dead")
		before := f.dials.Load()
		_, err = f.call(ctx, t)
		require.NoError(t, err)
		require.Greater(t, f.dials.Load(), before)
	})
}

// TestPollReplacesIdleSilentConnections checks that a poll detects a silent
// connection before a request fails on it.
func TestPollReplacesIdleSilentConnections(t *testing.T) {
	withNetFleet(t, 1, nil, func(ctx context.Context, t *testing.T, f *netFleet) {
		_, err := f.call(ctx, t)
		require.NoError(t, err)
		f.network.Silence("host", "worker-0")
		time.Sleep(10 * time.Second)
		_, err = f.call(ctx, t)
		require.NoError(t, err)
	})
}

func TestDeadUpstreamIsEjectedAndReadmitted(t *testing.T) {
	withNetFleet(t, 3, nil, func(ctx context.Context, t *testing.T, f *netFleet) {
		failures := 0
		f.network.Cut("worker-2", "host")
		for range 120 {
			if _, err := f.call(ctx, t); err != nil {
				failures++
			}
		}
		require.Equal(t, 5, failures)
		f.network.Heal("worker-2", "host")
		time.Sleep(30 * time.Second)
		seen := make(map[string]int)
		for i := range 60 {
			if i == 10 {
				time.Sleep(20 * time.Second) // the probes have succeeded; wait for the end of the slow start
			}
			id, err := f.call(ctx, t)
			require.NoError(t, err)
			seen[id]++
		}
		require.Greater(t, seen["worker-2"], 10)
	})
}

// TestHungUpstreamIsEjectedWhenCallersCancel guards against a hung upstream that
// stays in use because all its callers have deadlines shorter than the gateway's
// timeouts: each attempt then ends as cancelled, not as failed.
func TestHungUpstreamIsEjectedWhenCallersCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{}
		svc := src.set(testService(3, 8))
		p := newTestPool(src)
		for range 60 {
			l, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
			require.NoError(t, err)
			if l.Upstream().ID == "worker-1" {
				time.Sleep(3 * time.Second)
				l.Done(dispatch.Result{Err: context.DeadlineExceeded, Cancelled: true, Started: true, Latency: 3 * time.Second})
				continue
			}
			time.Sleep(100 * time.Millisecond)
			l.Done(dispatch.Result{Status: http.StatusOK, Started: true, FirstByte: time.Millisecond, Latency: 100 * time.Millisecond})
		}
		require.Equal(t, "ejected", p.Statuses()[1].State)
	})
}

// The connection of a poll goes silent in the middle of an answer. What the path has lost may
// include the idle connections, so requests must not use these.
func TestPollThatGoesSilentInMidBodyDropsIdleConnections(t *testing.T) {
	opened := atomic.Int64{}
	silent := atomic.Bool{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathLoad && silent.Load() {
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
		time.Sleep(20 * time.Millisecond) // so that two requests need two connections
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	u := &upstreamState{transport: newTransport((&net.Dialer{}).DialContext, func(headerReport) {})}
	get := func() {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/", nil)
		require.NoError(t, err)
		resp, err := u.transport.RoundTrip(req)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	// Two connections: one idle, one that the poll uses.
	var both sync.WaitGroup
	for range 2 {
		both.Go(get)
	}
	both.Wait()
	get()
	silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := fetchLoad(ctx, u, server.URL)
	require.Error(t, err)
	before := opened.Load()
	get()
	require.Equal(t, before+1, opened.Load(), "a new connection")
}
