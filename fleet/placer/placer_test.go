package placer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/placement"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/memlog"
	"github.com/hazelworks/hazelworks/standin/memnet"
)

type source struct {
	mu  sync.Mutex
	now *settings.Resolved
}

func (s *source) Current() *settings.Resolved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// setVersion puts a version of the service's model in force.
func (s *source) setVersion(svc settings.Service, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc.Models = []settings.Model{{Name: "a", Version: version, MinReplicas: 1}}
	s.now = &settings.Resolved{Services: []settings.Service{svc}}
	s.now.Index()
}

const serviceName = "tensilix/pool"

type bench struct {
	engines []*engine.Engine
	svc     settings.Service
	src     *source
	log     *memlog.Log
	network *memnet.Network
}

func newBench(ctx context.Context, t *testing.T, engines int, checks bool) *bench {
	b := &bench{src: &source{}, log: memlog.New(memlog.Options{}), network: memnet.New(memnet.Options{})}
	b.svc = settings.Service{Name: serviceName, Kind: settings.ServiceModel}
	for i := range engines {
		up := settings.Upstream{ID: fmt.Sprintf("w%d", i), URL: fmt.Sprintf("http://10.0.0.%d:80", i), Models: []string{"a"}, Slots: 8, ChecksFencing: checks}
		e := engine.New(engine.Options{Name: up.ID, Models: up.Models, Version: "1", LoadTime: 20 * time.Second, ChecksFencing: checks})
		l, err := b.network.Listen(up.ID, up.URL[len("http://"):])
		require.NoError(t, err)
		server := &http.Server{Handler: e.Handler()}
		go func() { _ = server.Serve(l) }()
		context.AfterFunc(ctx, func() { _ = server.Close() })
		b.svc.Upstreams = append(b.svc.Upstreams, up)
		b.engines = append(b.engines, e)
	}
	b.src.setVersion(b.svc, "1")
	return b
}

// host starts a placer that considers itself the candidate for all services.
func (b *bench) host(ctx context.Context, id string) *Placer {
	p := New(Options{
		Self:     record.Holder{Host: record.HostID(id), Incarnation: 1},
		Settings: b.src, Log: b.log, Dial: b.network.Dialer(id),
	})
	go func() { _ = p.Run(ctx) }()
	return p
}

// versions returns the version of the newest load that each engine took.
func (b *bench) versions() []string {
	out := make([]string, len(b.engines))
	for i, e := range b.engines {
		out[i] = "1"
		for _, o := range e.Orders() {
			out[i] = o.Version
		}
	}
	return out
}

func inBench(t *testing.T, engines int, checks bool, body func(ctx context.Context, t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		body(ctx, t, newBench(ctx, t, engines, checks))
	})
}

func notReady(p *Placer) int {
	n := 0
	for _, s := range p.Statuses() {
		for _, w := range s.Workers {
			if !w.Ready || w.Order != "" {
				n++
			}
		}
	}
	return n
}

func TestRolloutTakesOneWorkerAtATime(t *testing.T) {
	inBench(t, 4, true, func(ctx context.Context, t *testing.T, b *bench) {
		p := b.host(ctx, "h1")
		time.Sleep(11 * time.Second)
		require.Zero(t, notReady(p))
		b.src.setVersion(b.svc, "2")
		for range 150 {
			time.Sleep(time.Second)
			require.LessOrEqual(t, notReady(p), 1)
		}
		require.Equal(t, []string{"2", "2", "2", "2"}, b.versions())
		require.Zero(t, notReady(p))
	})
}

func TestRolloutStopsOnAnError(t *testing.T) {
	inBench(t, 4, true, func(ctx context.Context, t *testing.T, b *bench) {
		p := b.host(ctx, "h1")
		time.Sleep(11 * time.Second)
		b.engines[1].SetFaults(engine.Faults{FailLoad: true})
		b.src.setVersion(b.svc, "2")
		time.Sleep(10 * time.Minute)
		require.Equal(t, []string{"2", "1", "1", "1"}, b.versions())
		require.Len(t, p.Statuses()[0].Halted, 1)
		b.engines[1].SetFaults(engine.Faults{})
		require.NoError(t, p.Resume(ctx, serviceName))
		time.Sleep(10 * time.Minute)
		require.Equal(t, []string{"2", "2", "2", "2"}, b.versions())
		require.Zero(t, notReady(p))
	})
}

func TestNoOrdersWithoutTheLog(t *testing.T) {
	inBench(t, 2, false, func(ctx context.Context, t *testing.T, b *bench) {
		b.host(ctx, "h1")
		time.Sleep(11 * time.Second)
		b.log.SetDown(true)
		b.src.setVersion(b.svc, "2")
		time.Sleep(5 * time.Minute)
		require.Empty(t, b.engines[0].Orders())
		b.log.SetDown(false)
		time.Sleep(5 * time.Minute)
		require.Equal(t, []string{"2", "2"}, b.versions())
	})
}

// TestPausedWriterLeavesNoWrongState lets an old writer wake between its check
// of the stream and its order, after a new writer has rolled out a version.
func TestPausedWriterLeavesNoWrongState(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			inBench(t, 2, checks, func(ctx context.Context, t *testing.T, b *bench) {
				paused, pause := context.WithCancel(ctx)
				old := b.host(paused, "old")
				time.Sleep(11 * time.Second)
				oldEpoch := old.Statuses()[0].Epoch
				require.NotZero(t, oldEpoch)
				pause()
				b.host(ctx, "new")
				b.src.setVersion(b.svc, "2")
				time.Sleep(3 * time.Minute)
				require.Equal(t, []string{"2", "2"}, b.versions())

				late := bodyOf(placement.Target{Model: "other", Version: "2"}, oldEpoch)
				err := old.services[serviceName].client.put(ctx, b.svc.Upstreams[0].URL, late)
				require.Equal(t, checks, err != nil, "the old order is refused if the worker checks")
				time.Sleep(2 * time.Minute)
				orders := b.engines[0].Orders()
				require.Equal(t, []string{"a"}, orders[len(orders)-1].Models)
				require.ErrorIs(t, old.services[serviceName].office.confirm(ctx), errNoOffice)
			})
		})
	}
}

// scarceStore permits a load only from a given time on.
type scarceStore struct{ from time.Time }

func (s scarceStore) Acquire(context.Context, string, string) (time.Duration, error) {
	if time.Now().Before(s.from) {
		return 0, platform.ErrThrottled
	}
	return 0, nil
}

func TestLoadsWaitForTheWeightStore(t *testing.T) {
	inBench(t, 2, true, func(ctx context.Context, t *testing.T, b *bench) {
		p := b.host(ctx, "h1")
		p.opt.Weights = scarceStore{from: time.Now().Add(2 * time.Minute)}
		b.src.setVersion(b.svc, "2")
		time.Sleep(110 * time.Second)
		require.Equal(t, []string{"1", "1"}, b.versions())
		time.Sleep(2 * time.Minute)
		require.Equal(t, []string{"2", "2"}, b.versions())
	})
}

// TestWorkerOfAStoppedWriterIsFreed stops the writer while a worker drains.
func TestWorkerOfAStoppedWriterIsFreed(t *testing.T) {
	inBench(t, 2, true, func(ctx context.Context, t *testing.T, b *bench) {
		stopped, stop := context.WithCancel(ctx)
		b.host(stopped, "old").opt.Weights = scarceStore{from: time.Now().Add(time.Hour)}
		time.Sleep(11 * time.Second)
		b.src.setVersion(b.svc, "2")
		for len(b.engines[0].Orders()) == 0 && !b.engines[0].Draining() {
			time.Sleep(100 * time.Millisecond)
		}
		stop()
		b.src.setVersion(b.svc, "1")
		p := b.host(ctx, "new")
		time.Sleep(3 * time.Minute)
		require.Zero(t, notReady(p))
		require.False(t, b.engines[0].Draining())
	})
}
