package gateway

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/memnet"
	"github.com/hazelworks/hazelworks/standin/plain"
)

// fakeBank keeps one budget and the claims of all hosts that share it.
type fakeBank struct {
	mu        sync.Mutex
	available record.Tokens
	settled   map[record.RequestKey][]record.Tokens
	claims    map[record.RequestKey]grants.Claim
	claimErr  error
	// finishDelay is the delay before an outcome is recorded.
	finishDelay time.Duration
	reserved    int // open reservations
	holders     []record.Holder
	// billed is the channel that reservations return from Billed.
	billed chan struct{}
}

func newFakeBank(amount record.Tokens) *fakeBank {
	return &fakeBank{
		available: amount,
		settled:   make(map[record.RequestKey][]record.Tokens),
		claims:    make(map[record.RequestKey]grants.Claim),
	}
}

func (b *fakeBank) Reserve(_ context.Context, id record.BudgetID, key record.RequestKey, amount record.Tokens, _ time.Duration) (grants.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if amount > b.available {
		return nil, &grants.RefusedError{Budget: id, Wanted: amount, Available: b.available, Holders: b.holders}
	}
	b.available -= amount
	b.reserved++
	return &fakeReservation{bank: b, key: key, amount: amount}, nil
}

// spent returns the billed amounts of a request.
func (b *fakeBank) spent(account, id string) []record.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settled[record.KeyOf(account, id)]
}

func (b *fakeBank) openReservations() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

type fakeReservation struct {
	bank   *fakeBank
	key    record.RequestKey
	amount record.Tokens
	once   sync.Once
}

func (r *fakeReservation) Amount() record.Tokens { return r.amount }

func (r *fakeReservation) Settle(cost record.Tokens) {
	r.once.Do(func() {
		r.bank.mu.Lock()
		defer r.bank.mu.Unlock()
		r.bank.available += r.amount - cost
		r.bank.reserved--
		r.bank.settled[r.key] = append(r.bank.settled[r.key], cost)
	})
}

func (r *fakeReservation) Billed() <-chan struct{} { return r.bank.billed }

func (r *fakeReservation) Release() {
	r.once.Do(func() {
		r.bank.mu.Lock()
		defer r.bank.mu.Unlock()
		r.bank.available += r.amount
		r.bank.reserved--
	})
}

// claimer is the grants.Claimer of one host.
type claimer struct {
	*fakeBank
	self record.Holder
}

func (c claimer) Claim(_ context.Context, _ record.BudgetID, key record.RequestKey) (grants.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimErr != nil {
		return grants.Claim{}, c.claimErr
	}
	if claim, ok := c.claims[key]; ok && claim.Outcome != record.OutcomeNotRun {
		return claim, nil
	}
	c.claims[key] = grants.Claim{Winner: c.self}
	return grants.Claim{Won: true, Winner: c.self}, nil
}

func (c claimer) Finish(_ record.BudgetID, key record.RequestKey, outcome record.Outcome, detail []byte) {
	if c.finishDelay > 0 {
		time.AfterFunc(c.finishDelay, func() { c.record(key, outcome, detail) })
		return
	}
	c.record(key, outcome, detail)
}

func (c claimer) record(key record.RequestKey, outcome record.Outcome, detail []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := c.claims[key]
	claim.Outcome, claim.Detail = outcome, detail
	c.claims[key] = claim
}

// fakePicker leases the first upstream of a service that was not tried. If all were
// tried, it leases the first.
type fakePicker struct {
	transports map[string]*http.Transport

	mu      sync.Mutex
	refuse  error
	queries []dispatch.Query
	results []dispatch.Result
	leased  int
}

func (p *fakePicker) Pick(ctx context.Context, q dispatch.Query) (dispatch.Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.Exclude = append([]string(nil), q.Exclude...)
	p.queries = append(p.queries, q)
	if p.refuse != nil {
		return nil, p.refuse
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.leased++
	for _, up := range q.Service.Upstreams {
		tried := false
		for _, id := range q.Exclude {
			tried = tried || id == up.ID
		}
		if !tried {
			return &fakeLease{picker: p, up: up}, nil
		}
	}
	return &fakeLease{picker: p, up: q.Service.Upstreams[0]}, nil
}

func (p *fakePicker) lastResult(t *testing.T) dispatch.Result {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	require.NotEmpty(t, p.results)
	return p.results[len(p.results)-1]
}

func (p *fakePicker) openLeases() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leased
}

type fakeLease struct {
	picker *fakePicker
	up     settings.Upstream
	once   sync.Once
}

func (l *fakeLease) Upstream() settings.Upstream  { return l.up }
func (l *fakeLease) Transport() http.RoundTripper { return l.picker.transports[l.up.ID] }

func (l *fakeLease) Decision() dispatch.Decision {
	return dispatch.Decision{Candidates: len(l.picker.transports), Reason: "test"}
}

func (l *fakeLease) Done(r dispatch.Result) {
	l.once.Do(func() {
		l.picker.mu.Lock()
		defer l.picker.mu.Unlock()
		l.picker.leased--
		l.picker.results = append(l.picker.results, r)
	})
}

type fakeSource struct{ set *settings.Resolved }

func (s fakeSource) Current() *settings.Resolved { return s.set }

const (
	testKey     = "secret-of-office"
	otherKey    = "secret-of-saw"
	testAccount = "mokoena/office"
)

// fixture is a fleet of gateways in front of two engines and a plain service.
type fixture struct {
	t       *testing.T
	net     *memnet.Network
	set     *settings.Resolved
	bank    *fakeBank
	picker  *fakePicker
	engines []*engine.Engine
	plain   *plain.Service
	gateway *Gateway
	client  *http.Client
}

func testSettings() *settings.Resolved {
	set := &settings.Resolved{
		Version: 1,
		Shards:  1,
		Accounts: []settings.Account{
			{ID: testAccount, Firm: "mokoena", Name: "office", Budget: "b", Keys: []settings.KeyHash{sha256.Sum256([]byte(testKey))}},
			{ID: "mokoena/saw", Firm: "mokoena", Name: "saw", Budget: "b", Keys: []settings.KeyHash{sha256.Sum256([]byte(otherKey))}},
		},
		Budgets: []settings.Budget{{ID: "b", Firm: "mokoena"}},
		Services: []settings.Service{
			{
				Name: "mokoena/model", Firm: "mokoena", Kind: settings.ServiceModel, Repeatable: true,
				Models:    []settings.Model{{Name: "cut", Adapters: []string{"stone"}}},
				Price:     settings.Price{InputMilli: 1000, OutputMilli: 2000},
				MaxOutput: 64, IdleTimeout: 3 * time.Second, RequestTimeout: time.Minute, MaxBodyBytes: 64 << 10,
				Upstreams: []settings.Upstream{{ID: "e0", URL: "http://e0.test:80"}, {ID: "e1", URL: "http://e1.test:80"}},
			},
			{
				Name: "mokoena/booking", Firm: "mokoena", Kind: settings.ServicePlain,
				Price:       settings.Price{PerCall: 5, PerKiB: 1},
				IdleTimeout: 3 * time.Second, RequestTimeout: time.Minute, MaxBodyBytes: 256 << 10,
				Upstreams: []settings.Upstream{{ID: "p0", URL: "http://p0.test:80/app"}, {ID: "p1", URL: "http://p1.test:80/app"}},
			},
			{
				Name: "tensilix/model", Firm: "tensilix", Kind: settings.ServiceModel,
				Models: []settings.Model{{Name: "draft"}},
			},
		},
	}
	set.Index()
	return set
}

// newFixture starts two engines, a plain service and a gateway. The engines take
// the timing of their answers from opts.
func newFixture(t *testing.T, opts engine.Options, limits Limits) *fixture {
	f := &fixture{
		t:      t,
		net:    memnet.New(memnet.Options{}),
		set:    testSettings(),
		bank:   newFakeBank(1 << 30),
		picker: &fakePicker{transports: make(map[string]*http.Transport)},
		plain:  plain.New("booking"),
	}
	opts.Models = []string{"cut"}
	for _, id := range []string{"e0", "e1"} {
		e := engine.New(opts)
		f.engines = append(f.engines, e)
		f.upstream(id, e.Handler())
	}
	f.upstream("p0", f.plain.Handler())
	f.upstream("p1", f.plain.Handler())
	f.gateway, f.client = f.host("h0", "10.0.0.1:80", nil, limits)
	// Lets every request end before the servers are closed.
	t.Cleanup(func() { time.Sleep(10 * time.Minute) })
	return f
}

// upstream serves a handler under the host name of an upstream.
func (f *fixture) upstream(id string, h http.Handler) {
	f.serve(id, id+".test:80", h)
	f.picker.transports[id] = &http.Transport{
		DialContext:        dispatch.CountWrites(f.net.Dialer("h0")),
		DisableCompression: true,
	}
}

func (f *fixture) serve(host, addr string, h http.Handler) *http.Server {
	l, err := f.net.Listen(host, addr)
	require.NoError(f.t, err)
	srv := newServer(h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	f.t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return srv
}

// host starts a gateway and returns a client that calls it.
func (f *fixture) host(name, addr string, change func(*Options), limits Limits) (*Gateway, *http.Client) {
	self := record.Holder{Host: record.HostID(name), Incarnation: 1}
	rng := rand.New(rand.NewPCG(3, 3))
	var mu sync.Mutex
	opts := Options{
		Jitter: func(limit time.Duration) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(rng.Int64N(int64(limit)))
		},
		Self:     self,
		Settings: fakeSource{f.set},
		Reserver: f.bank,
		Claimer:  claimer{f.bank, self},
		Picker:   f.picker,
		Logger:   logr.Discard(),
		Limits:   limits,
		Dial:     f.net.Dialer(name),
	}
	if change != nil {
		change(&opts)
	}
	g := New(opts)
	f.serve(name, addr, g.Handler())
	transport := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return f.net.Dialer("caller")(ctx, network, addr)
	}}
	f.t.Cleanup(func() {
		transport.CloseIdleConnections()
		for _, tr := range f.picker.transports {
			tr.CloseIdleConnections()
		}
	})
	return g, &http.Client{Transport: transport}
}
