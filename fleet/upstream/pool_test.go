package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// source is a [settings.Source] whose settings tests can replace.
type source struct {
	mu      sync.Mutex
	current *settings.Resolved
}

func (s *source) Current() *settings.Resolved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// set makes one service the current settings and returns it.
func (s *source) set(svc settings.Service) *settings.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	var version record.Offset = 1
	if s.current != nil {
		version = s.current.Version + 1
	}
	s.current = &settings.Resolved{Version: version, Services: []settings.Service{svc}}
	s.current.Index()
	return &s.current.Services[0]
}

const model = "templating"

func testService(upstreams, slots int) settings.Service {
	svc := settings.Service{
		Name:         "mokoena/templating",
		Firm:         "mokoena",
		Kind:         settings.ServiceModel,
		Repeatable:   true,
		Models:       []settings.Model{{Name: model}},
		RetryShare:   0.1,
		QueueLimit:   10,
		QueueTimeout: 5 * time.Second,
	}
	for i := range upstreams {
		svc.Upstreams = append(svc.Upstreams, settings.Upstream{
			ID:    fmt.Sprintf("worker-%d", i),
			URL:   fmt.Sprintf("http://10.0.0.%d", i+1),
			Slots: slots,
		})
	}
	return svc
}

func newTestPool(src *source) *Pool {
	return NewPool(Options{Settings: src, Rand: rand.New(rand.NewPCG(1, 2)), Dial: refuseDial})
}

func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}

func queryOf(svc *settings.Service, account string) dispatch.Query {
	return dispatch.Query{Service: svc, Account: account, Firm: "mokoena", Model: model}
}

func reasonFor(t *testing.T, err error) dispatch.Reason {
	t.Helper()
	var refused *dispatch.RefusedError
	require.ErrorAs(t, err, &refused)
	return refused.Reason
}

func TestPickLeasesFreeUpstreams(t *testing.T) {
	src := &source{}
	svc := src.set(testService(3, 1))
	p := newTestPool(src)
	seen := make(map[string]bool)
	for range 3 {
		l, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		require.Equal(t, 3, l.Decision().Candidates)
		seen[l.Upstream().ID] = true
	}
	require.Len(t, seen, 3)
}

func TestPickWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{}
		svc := src.set(testService(1, 1))
		p := newTestPool(src)
		first, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		go func() {
			time.Sleep(time.Second)
			first.Done(dispatch.Result{Status: 200, Latency: time.Second})
		}()
		second, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		require.Equal(t, time.Second, second.Decision().Waited)
	})
}

func TestQueueTimeoutRefusesWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{}
		svc := src.set(testService(1, 1))
		p := newTestPool(src)
		_, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		began := time.Now()
		_, err = p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.Equal(t, dispatch.ReasonQueueTimeout, reasonFor(t, err))
		require.Equal(t, 5*time.Second, time.Since(began))
	})
}

func TestRequestIsShedWhenExpectedWaitExceedsQueueTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{}
		svc := src.set(testService(1, 1))
		p := newTestPool(src)
		l, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		l.Done(dispatch.Result{Status: 200, Latency: 8 * time.Second})
		_, err = p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		began := time.Now()
		_, err = p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		var refused *dispatch.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, dispatch.ReasonShed, refused.Reason)
		require.GreaterOrEqual(t, refused.RetryAfter, 8*time.Second)
		require.Zero(t, time.Since(began))
	})
}

// TestWaitingRequestIsShedOnceItWouldMissItsDeadline checks that a queued request
// is refused as soon as it can no longer end before its caller's deadline, not
// only at the deadline.
func TestWaitingRequestIsShedOnceItWouldMissItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{}
		svc := src.set(testService(1, 1))
		p := newTestPool(src)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = p.Run(ctx) }()
		l, err := p.Pick(ctx, queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		l.Done(dispatch.Result{Status: 200, Latency: time.Second})
		_, err = p.Pick(ctx, queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		began := time.Now()
		bounded, stop := context.WithTimeout(ctx, 4*time.Second)
		defer stop()
		_, err = p.Pick(bounded, queryOf(svc, "mokoena/yard"))
		require.Equal(t, dispatch.ReasonShed, reasonFor(t, err))
		require.InDelta(t, 3, time.Since(began).Seconds(), 0.3, "shed one second, the typical latency, before the deadline")
	})
}

func TestCancelledWaiterHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{}
		svc := src.set(testService(1, 1))
		p := newTestPool(src)
		first, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = p.Pick(ctx, queryOf(svc, "mokoena/yard"))
		require.Error(t, err)
		first.Done(dispatch.Result{Status: 200})
		require.Zero(t, p.Statuses()[0].InFlight)
		require.Zero(t, p.Statuses()[0].Queued)
	})
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{}
		svc := src.set(testService(1, 1))
		p := newTestPool(src)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 11 {
			go func() { _, _ = p.Pick(ctx, queryOf(svc, fmt.Sprintf("mokoena/%d", i%5))) }()
		}
		synctest.Wait()
		began := time.Now()
		_, err := p.Pick(ctx, queryOf(svc, "mokoena/late"))
		require.Equal(t, dispatch.ReasonQueueFull, reasonFor(t, err))
		require.Zero(t, time.Since(began))
	})
}

func TestRetriesStayWithinRetryShare(t *testing.T) {
	src := &source{}
	svc := src.set(testService(1, 1000))
	p := newTestPool(src)
	allowed := 0
	for range 200 {
		_, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		retry := queryOf(svc, "mokoena/yard")
		retry.Retry = true
		if _, err = p.Pick(t.Context(), retry); err == nil {
			allowed++
			continue
		}
		require.Equal(t, dispatch.ReasonRetryShare, reasonFor(t, err))
	}
	require.InDelta(t, 20, allowed, 2)
}

func TestUnknownModelIsRefused(t *testing.T) {
	src := &source{}
	svc := src.set(testService(2, 1))
	p := newTestPool(src)
	q := queryOf(svc, "mokoena/yard")
	q.Model = "other"
	_, err := p.Pick(t.Context(), q)
	require.Equal(t, dispatch.ReasonNoneEligible, reasonFor(t, err))
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	leave := map[string]func(p *Pool, src *source, svc settings.Service) *settings.Service{
		"by the settings": func(_ *Pool, src *source, svc settings.Service) *settings.Service {
			svc.Upstreams[0].Leaving = true
			return src.set(svc)
		},
		"by an operator": func(p *Pool, _ *source, svc settings.Service) *settings.Service {
			mux := http.NewServeMux()
			p.Register(mux)
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/upstreams/worker-0/drain", nil))
			require.Equal(t, http.StatusNoContent, w.Code)
			return &svc
		},
		"by its response header": func(p *Pool, _ *source, svc settings.Service) *settings.Service {
			yes := true
			p.services[svc.Name].observeHeaders("worker-0", headerReport{leaving: &yes})
			return &svc
		},
	}
	for name, act := range leave {
		t.Run(name, func(t *testing.T) {
			src := &source{}
			svc := testService(2, 100)
			src.set(svc)
			p := newTestPool(src)
			now := act(p, src, svc)
			for range 20 {
				l, err := p.Pick(t.Context(), queryOf(now, "mokoena/yard"))
				require.NoError(t, err)
				require.Equal(t, "worker-1", l.Upstream().ID)
			}
		})
	}
}

func TestWaitersAreRefusedWhenTheLastAbleUpstreamLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{}
		svc := src.set(testService(1, 1))
		p := newTestPool(src)
		_, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
		require.NoError(t, err)
		result := make(chan error, 1)
		go func() {
			_, err := p.Pick(t.Context(), queryOf(svc, "mokoena/yard"))
			result <- err
		}()
		synctest.Wait()
		require.True(t, p.Drain("worker-0"))
		synctest.Wait()
		require.Equal(t, dispatch.ReasonNoneEligible, reasonFor(t, <-result))
	})
}
