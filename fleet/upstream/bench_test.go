package upstream

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/wirecount"
)

// BenchmarkPick measures a whole lease, from the query to the result.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 50, 200} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			src := &source{}
			svc := src.set(testService(n, 8))
			p := newTestPool(src)
			q := queryOf(svc, "mokoena/yard")
			q.PrefixHash = []uint64{1, 2, 3}
			res := dispatch.Result{Status: http.StatusOK, FirstByte: time.Millisecond, Latency: time.Millisecond, Load: &dispatch.LoadReport{Slots: 8}}
			b.ReportAllocs()
			for b.Loop() {
				l, err := p.Pick(b.Context(), q)
				if err != nil {
					b.Fatal(err)
				}
				l.Done(res)
			}
		})
	}
}

// TestMemoryPerUpstream bounds a pool's memory for each upstream, without
// connections.
func TestMemoryPerUpstream(t *testing.T) {
	heap := func(n int) uint64 {
		src := &source{}
		svc := src.set(testService(n, 8))
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := newTestPool(src)
		l, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		runtime.GC()
		runtime.ReadMemStats(&after)
		l.Done(dispatch.Result{})
		runtime.KeepAlive(p)
		return after.HeapAlloc - before.HeapAlloc
	}
	small, middle, large := heap(100), heap(1000), heap(2200)
	perUpstream := float64(large-small) / 2100
	t.Logf("100 upstreams %d KB, 1,000 %d KB, 2,200 %d KB: %.0f bytes for each", small>>10, middle>>10, large>>10, perUpstream)
	require.Less(t, perUpstream, 8192.0)
}

// TestBytesPerPoll bounds the bytes of a load poll on an open connection.
func TestBytesPerPoll(t *testing.T) {
	e := engine.New(engine.Options{Name: "w", Models: []string{model}})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	var bytes atomic.Int64
	u := &upstreamState{transport: newTransport(wirecount.Dial(&bytes), func(headerReport) {})}
	u.up.URL = server.URL
	for range 10 {
		a, err := fetchLoad(t.Context(), u, u.up.URL)
		require.NoError(t, err)
		require.NotNil(t, a)
	}
	perPoll := bytes.Load() / 10
	t.Logf("%d bytes for each poll, both directions, without TCP", perPoll)
	require.Less(t, perPoll, int64(600))
}
