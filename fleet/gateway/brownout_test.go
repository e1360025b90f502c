package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/upstream"
)

// Parameters of the brownout. The upstreams can serve 160 calls per second.
const (
	brownoutUpstreams = 4
	brownoutSlots     = 4
	brownoutWork      = 100 * time.Millisecond
	brownoutTime      = 5 * time.Second
	// brownoutFailing is the share of the calls that fail after their work is done.
	brownoutFailing = 0.6
)

// flakyUpstream is an upstream with a number of slots. Some of its calls fail.
type flakyUpstream struct {
	slots   chan struct{}
	started atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	failing float64
}

func (f *flakyUpstream) fails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < f.failing
}

func (f *flakyUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.started.Add(1)
	f.slots <- struct{}{}
	time.Sleep(brownoutWork)
	<-f.slots
	if f.fails() {
		w.WriteHeader(http.StatusBadGateway)
	}
}

// brownout sends rate requests per second. It returns the calls started at
// upstreams and the successful answers, both per second.
func brownout(t *testing.T, rate int, retryShare float64) (calls, useful float64) {
	var handlers []http.Handler
	var ups []*flakyUpstream
	for i := range brownoutUpstreams {
		up := &flakyUpstream{slots: make(chan struct{}, brownoutSlots), rng: rand.New(rand.NewPCG(1, uint64(i))), failing: brownoutFailing}
		ups = append(ups, up)
		handlers = append(handlers, up)
	}
	f := plainFixture(t, Limits{}, handlers...)
	svc, _ := f.set.Service("mokoena/booking")
	svc.Repeatable, svc.RetryShare, svc.QueueLimit, svc.QueueTimeout = true, retryShare, 64, time.Second
	svc.Upstreams = svc.Upstreams[:brownoutUpstreams]
	for i := range svc.Upstreams {
		svc.Upstreams[i].Slots = brownoutSlots
	}
	pool := upstream.NewPool(upstream.Options{
		Settings: fakeSource{f.set}, Dial: f.net.Dialer("h0"), Logger: logr.Discard(), Rand: rand.New(rand.NewPCG(7, 7)),
	})
	_, client := f.host("h1", "10.0.0.2:80", func(o *Options) { o.Picker = pool }, Limits{})
	var answers atomic.Int64
	var all sync.WaitGroup
	requests := int(brownoutTime/time.Second) * rate
	for i := range requests {
		all.Go(func() {
			resp, err := f.trySend(context.Background(), client, book(fmt.Sprint("b", i), "x"))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				answers.Add(1)
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	all.Wait()
	var started int64
	for _, up := range ups {
		started += up.started.Load()
	}
	return float64(started) / brownoutTime.Seconds(), float64(answers.Load()) / brownoutTime.Seconds()
}

// TestRetryShareBoundsRetriesInABrownout guards against retry storms, in which
// retries multiply the load on failing upstreams. It compares a retry share of 10%
// with one of 100%, which allows as many retries as there are requests.
func TestRetryShareBoundsRetriesInABrownout(t *testing.T) {
	// The first meter starts a goroutine that never ends. It must start outside
	// the synctest bubble.
	metrics.NewMeter().Stop()
	for _, rate := range []int{40, 80, 160} {
		for _, share := range []float64{0.1, 1} {
			synctest.Test(t, func(t *testing.T) {
				calls, useful := brownout(t, rate, share)
				t.Logf("offered %d/s, retry share %.0f%%: calls at upstreams %.0f/s, useful answers %.0f/s", rate, share*100, calls, useful)
				require.LessOrEqual(t, calls, (1.02+share)*float64(rate))
			})
		}
	}
}
