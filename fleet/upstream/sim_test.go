package upstream

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"testing"

	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// simUpstream simulates an upstream with a queue, in virtual time.
type simUpstream struct {
	slots chan struct{}
	slow  float64 // factor of the service time

	mu      sync.Mutex
	load    int
	peak    int
	cache   []int // prefixes, most recent last
	report  dispatch.LoadReport
	readyAt time.Time // of the next report
}

const (
	simSlots   = 8
	simCache   = 24
	simLag     = time.Second
	simService = time.Second
	hitSaving  = 0.5
)

// run serves one request and returns how long it waited and whether its prefix
// was cached. A hit saves half of the service time.
func (u *simUpstream) run(service time.Duration, prefix int) (wait time.Duration, hit bool) {
	began := time.Now()
	u.change(1)
	defer u.change(-1)
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	wait = time.Since(began)
	if hit = u.touch(prefix); hit {
		service = time.Duration(float64(service) * hitSaving)
	}
	time.Sleep(time.Duration(float64(service) * u.slow))
	return wait, hit
}

func (u *simUpstream) change(by int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load += by
	u.peak = max(u.peak, u.load)
}

// touch marks a prefix as the most recent one and reports whether it was cached.
func (u *simUpstream) touch(prefix int) bool {
	if prefix < 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	at := slices.Index(u.cache, prefix)
	if at >= 0 {
		u.cache = slices.Delete(u.cache, at, at+1)
	}
	u.cache = append(u.cache, prefix)
	if len(u.cache) > simCache {
		u.cache = u.cache[1:]
	}
	return at >= 0
}

// reported returns the load as it was up to a lag ago.
func (u *simUpstream) reported(lag time.Duration) dispatch.LoadReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); !now.Before(u.readyAt) {
		u.report = dispatch.LoadReport{Running: min(u.load, simSlots), Waiting: max(0, u.load-simSlots), Slots: simSlots}
		u.readyAt = now.Add(lag)
	}
	return u.report
}

// simulation is one run of traffic against one policy.
type simulation struct {
	policy    string // ours, random, round-robin, least-reported
	hosts     int
	upstreams int
	slow      float64 // factor of the service time of the first upstream
	lag       time.Duration
	prefixes  int
	length    time.Duration
	// rates of the accounts, in requests per second.
	rates map[string]float64
	// steered sends the callers of each account to a host of their own.
	steered bool
	// deadline of callers; zero means none.
	deadline time.Duration
	// attempts is the bound for each request.
	attempts   int
	retryShare float64
	// brownout is the share of attempts that fail in the middle third.
	brownout float64
	seed     uint64
}

// outcome is the result of one request.
type outcome struct {
	account string
	wait    time.Duration
	total   time.Duration
	hit     bool
	useful  bool
	middle  bool
}

type simResult struct {
	outcomes []outcome
	peak     int
	attempts int // in the middle third
}

// simulate runs s in virtual time.
func simulate(t *testing.T, s simulation) simResult {
	var r simResult
	synctest.Test(t, func(t *testing.T) { r = s.run(t) })
	return r
}

func (s *simulation) run(t *testing.T) simResult {
	svc := testService(s.upstreams, simSlots)
	svc.RetryShare = s.retryShare
	svc.QueueLimit = 2000
	src := &source{}
	current := src.set(svc)
	upstreams := make([]*simUpstream, s.upstreams)
	for i := range upstreams {
		upstreams[i] = &simUpstream{slots: make(chan struct{}, simSlots), slow: 1}
	}
	if s.slow > 0 {
		upstreams[0].slow = s.slow
	}
	pickers := s.pickers(src, upstreams)
	var mu sync.Mutex
	var result simResult
	var wg sync.WaitGroup
	began := time.Now()
	names := make([]string, 0, len(s.rates))
	for name := range s.rates {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		rng := rand.New(rand.NewPCG(s.seed, uint64(i)))
		zipf := newZipf(rng, s.prefixes)
		wg.Go(func() {
			for time.Since(began) < s.length {
				time.Sleep(time.Duration(rng.ExpFloat64() / s.rates[name] * float64(time.Second)))
				host := rng.IntN(len(pickers))
				if s.steered {
					host = i % len(pickers)
				}
				req := simRequest{
					account: name,
					service: time.Duration(rng.ExpFloat64() * float64(simService)),
					prefix:  zipf(),
					picker:  pickers[host],
					failing: []float64{rng.Float64(), rng.Float64(), rng.Float64()},
				}
				wg.Go(func() {
					o, tried := s.request(t, current, upstreams, req, began)
					mu.Lock()
					defer mu.Unlock()
					result.outcomes = append(result.outcomes, o)
					if o.middle {
						result.attempts += tried
					}
				})
			}
		})
	}
	wg.Wait()
	for _, u := range upstreams[1:] {
		result.peak = max(result.peak, u.peak)
	}
	return result
}

type simRequest struct {
	account string
	service time.Duration
	prefix  int
	picker  dispatch.Picker
	failing []float64
}

// request does what the gateway does: pick, send, report and retry. It returns the
// outcome and the number of attempts.
func (s *simulation) request(t *testing.T, svc *settings.Service, upstreams []*simUpstream, req simRequest, began time.Time) (outcome, int) {
	start := time.Now()
	third := int(3 * start.Sub(began) / s.length)
	o := outcome{account: req.account, middle: third == 1}
	ctx := t.Context()
	if s.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, start.Add(s.deadline))
		defer cancel()
	}
	tried := 0
	for tried < max(1, s.attempts) {
		q := queryOf(svc, req.account)
		q.Firm = req.account
		q.Retry = tried > 0
		if s.prefixes > 0 {
			q.PrefixHash = []uint64{uint64(req.prefix)*0x9e3779b97f4a7c15 + 1}
		}
		l, err := req.picker.Pick(ctx, q)
		if err != nil {
			break
		}
		picked := time.Now()
		var i int
		_, _ = fmt.Sscanf(l.Upstream().ID, "worker-%d", &i)
		wait, hit := upstreams[i].run(req.service, req.prefix)
		load := upstreams[i].reported(s.lag)
		res := dispatch.Result{Status: http.StatusOK, Started: true, FirstByte: wait + req.service/4, Latency: time.Since(picked), Load: &load}
		failed := o.middle && req.failing[tried] < s.brownout
		if failed {
			res.Status = http.StatusInternalServerError
		}
		l.Done(res)
		o.wait = picked.Sub(start) + wait
		o.hit = hit
		tried++
		if !failed {
			o.useful = s.deadline == 0 || time.Since(start) <= s.deadline
			break
		}
	}
	o.total = time.Since(start)
	return o, tried
}

// newZipf returns a function that draws prefixes by a Zipf distribution.
func newZipf(rng *rand.Rand, n int) func() int {
	if n == 0 {
		return func() int { return -1 }
	}
	z := rand.NewZipf(rng, 1.2, 4, uint64(n-1))
	return func() int { return int(z.Uint64()) }
}

func (s *simulation) pickers(src *source, upstreams []*simUpstream) []dispatch.Picker {
	out := make([]dispatch.Picker, s.hosts)
	for i := range out {
		rng := rand.New(rand.NewPCG(s.seed, uint64(1000+i)))
		if s.policy == "ours" {
			out[i] = NewPool(Options{Settings: src, Rand: rng, Dial: refuseDial})
			continue
		}
		out[i] = &baseline{policy: s.policy, src: src, upstreams: upstreams, lag: s.lag, rng: rng, next: i}
	}
	return out
}

// baseline is a picker without a queue, for comparison.
type baseline struct {
	policy    string
	src       *source
	upstreams []*simUpstream
	lag       time.Duration
	mu        sync.Mutex
	rng       *rand.Rand
	next      int
}

func (b *baseline) Pick(_ context.Context, q dispatch.Query) (dispatch.Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return baselineLease{up: q.Service.Upstreams[b.choose()]}, nil
}

func (b *baseline) choose() int {
	switch b.policy {
	case "random":
		return b.rng.IntN(len(b.upstreams))
	case "round-robin":
		b.next++
		return b.next % len(b.upstreams)
	}
	best, low := 0, math.MaxInt
	first := b.rng.IntN(len(b.upstreams))
	for k := range b.upstreams {
		i := (first + k) % len(b.upstreams)
		r := b.upstreams[i].reported(b.lag)
		if load := r.Running + r.Waiting; load < low {
			best, low = i, load
		}
	}
	return best
}

type baselineLease struct{ up settings.Upstream }

func (l baselineLease) Upstream() settings.Upstream  { return l.up }
func (l baselineLease) Transport() http.RoundTripper { return nil }
func (l baselineLease) Decision() dispatch.Decision  { return dispatch.Decision{} }
func (l baselineLease) Done(dispatch.Result)         {}

// quantile returns the q-quantile of a value over the outcomes that match.
func (r *simResult) quantile(q float64, match func(outcome) bool, value func(outcome) time.Duration) time.Duration {
	var all []time.Duration
	for _, o := range r.outcomes {
		if match(o) {
			all = append(all, value(o))
		}
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

func (r *simResult) share(match func(outcome) bool) float64 {
	n := 0
	for _, o := range r.outcomes {
		if match(o) {
			n++
		}
	}
	return float64(n) / float64(len(r.outcomes))
}

func anyOutcome(outcome) bool         { return true }
func waitOf(o outcome) time.Duration  { return o.wait }
func totalOf(o outcome) time.Duration { return o.total }
