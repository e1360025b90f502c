package host

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/config"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/hostlist"
	"github.com/hazelworks/hazelworks/standin/memlog"
	"github.com/hazelworks/hazelworks/standin/memnet"
	"github.com/hazelworks/hazelworks/standin/plain"
)

const (
	testKey      = "key-of-yard"
	testOperator = "operator-secret-of-tests"
	testPeer     = "peer-secret-of-tests"
	testBudget   = record.BudgetID("firm/main")
	testHosts    = 3
	// callerTimeout bounds a request of a test's caller.
	callerTimeout = 2 * time.Minute
)

const testTree = `{
  "schema": 1,
  "shards": 2,
  "firms": {"firm": {
    "budgets": {"main": {"floor": 2000}},
    "accounts": {"yard": {"keys": ["KEY"], "budget": "main"}},
    "services": {
      "chat": {
        "kind": "model", "repeatable": true, "idle_timeout": "3s", "price": {"input_milli": 1000, "output_milli": 1000},
        "models": {"cut": {"version": "1"}},
        "upstreams": {"e0": {"url": "http://10.1.0.1:80", "failure_domain": "d0"}},
      },
      "bookings": {
        "kind": "plain", "repeatable": false, "idle_timeout": "3s", "price": {"per_call": 5},
        "upstreams": {"p0": {"url": "http://10.1.0.2:80", "failure_domain": "d0"}},
      },
    },
  }},
}`

func init() {
	// The first meter starts a goroutine that never ends. It must start outside
	// of a test's synctest bubble, which waits for all its goroutines.
	metrics.NewMeter().Stop()
}

// testFleet is a fleet of testHosts hosts with in-memory stand-ins for the network,
// the log, the host list and the upstreams.
type testFleet struct {
	t      *testing.T
	net    *memnet.Network
	log    *memlog.Log
	list   *hostlist.List
	engine *engine.Engine
	plain  *plain.Service
	hosts  []*testHost
	// wrap changes the listeners of the hosts that are started; nil means not at all.
	wrap func(net.Listener) net.Listener
}

type testHost struct {
	*Host
	name  string
	cfg   *config.Config
	link  *memlog.Link
	stop  context.CancelFunc
	ended chan error
}

func newTestFleet(t *testing.T, prepaid int) *testFleet {
	f := &testFleet{
		t:      t,
		net:    memnet.New(memnet.Options{Latency: func(string, string) time.Duration { return time.Millisecond }}),
		log:    memlog.New(memlog.Options{Latency: 2 * time.Millisecond}),
		list:   hostlist.New(time.Second),
		engine: engine.New(engine.Options{Models: []string{"cut"}, TokenInterval: 200 * time.Millisecond}),
		plain:  plain.New("bookings"),
	}
	f.serve("e0", "10.1.0.1:80", f.engine.Handler())
	f.serve("p0", "10.1.0.2:80", f.plain.Handler())
	for i := range testHosts {
		f.start(i)
	}
	t.Cleanup(f.close)
	f.publish()
	f.topUp(prepaid)
	time.Sleep(5 * time.Second) // the hosts receive each other's heartbeats
	return f
}

func (f *testFleet) serve(name, addr string, handler http.Handler) {
	l, err := f.net.Listen(name, addr)
	require.NoError(f.t, err)
	srv := &http.Server{Handler: handler}
	go func() { _ = srv.Serve(l) }()
	f.t.Cleanup(func() { _ = srv.Close() })
}

func (f *testFleet) start(number int) {
	cfg := config.Default()
	name := fmt.Sprintf("h%d", number)
	addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)})
	cfg.Host = config.Host{ID: record.HostID(name), Region: "r", FailureDomain: fmt.Sprintf("d%d", number)}
	cfg.Listen = config.Listen{Caller: netip.AddrPortFrom(addr, 80), Peer: netip.AddrPortFrom(addr, 81), Admin: netip.AddrPortFrom(addr, 82)}
	cfg.Advertise = config.Advertise{Caller: cfg.Listen.Caller, Peer: cfg.Listen.Peer}
	cfg.Secrets = config.Secrets{Peer: testPeer, Operator: testOperator}
	h := &testHost{name: name, cfg: &cfg, link: memlog.NewLink(f.log), ended: make(chan error, 1)}
	f.list.Put(platform.Host{
		ID: cfg.Host.ID, FailureDomain: cfg.Host.FailureDomain, Region: cfg.Host.Region,
		CallerAddr: cfg.Listen.Caller.String(), PeerAddr: cfg.Listen.Peer.String(), State: platform.HostLive,
	})
	h.Host = New(Options{
		Config: &cfg, Log: h.link, Hosts: f.list, Logger: logr.Discard(), Seed: uint64(number + 1),
		Dial: f.net.Dialer(name),
		Listen: func(_, addr string) (net.Listener, error) {
			l, err := f.net.Listen(name, addr)
			if err == nil && f.wrap != nil {
				l = f.wrap(l)
			}
			return l, err
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() { h.ended <- h.Run(ctx) }()
	f.hosts = append(f.hosts, h)
}

// kill crashes a host as a power loss does: it stops sending and receiving without
// closing its connections, and it can no longer reach the log.
func (f *testFleet) kill(h *testHost) {
	f.net.Kill(h.name, true)
	h.link.SetCut(true)
	h.stop()
}

func (f *testFleet) close() {
	for _, h := range f.hosts {
		h.stop()
	}
	for _, h := range f.hosts {
		<-h.ended
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = h.grants.Close(ctx) // ends its goroutines; the error is ignored since a killed host cannot report
		cancel()
	}
	time.Sleep(time.Minute) // open connections time out, so that their goroutines end
}

func (f *testFleet) publish() {
	hash := sha256.Sum256([]byte(testKey))
	text := strings.ReplaceAll(testTree, "KEY", settings.KeyPrefix+hex.EncodeToString(hash[:]))
	name := settings.RootFile + ".jsonc"
	root, _, err := settings.Load([]settings.File{{Name: name, DisplayName: name, Data: []byte(text)}})
	require.NoError(f.t, err)
	change := &settings.Change{Kind: settings.KindEdit, ID: "test", By: "test", Edits: settings.Edits(jsontree.NewObject(), root)}
	_, err = f.hosts[0].Settings().Publish(f.t.Context(), change)
	require.NoError(f.t, err)
	for _, h := range f.hosts {
		for h.Ready() != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (f *testFleet) topUp(amount int) {
	body := fmt.Sprintf(`{"id":"t%d","amount":%d,"by":"test"}`, time.Now().UnixNano(), amount)
	resp := f.do(f.hosts[0], f.hosts[0].cfg.Listen.Admin, http.MethodPost, "/v1/budgets/firm%2Fmain/topup", testOperator, "", body)
	require.Equal(f.t, http.StatusOK, resp.StatusCode, read(f.t, resp))
}

// do sends a request from the caller's network address to an address of a host.
func (f *testFleet) do(h *testHost, addr netip.AddrPort, method, path, secret, id, body string) *http.Response {
	f.t.Helper()
	resp, err := f.try(h, addr, method, path, secret, id, body)
	require.NoError(f.t, err)
	return resp
}

func (f *testFleet) try(_ *testHost, addr netip.AddrPort, method, path, secret, id, body string) (*http.Response, error) {
	// The timeout ends the request if the path between caller and host drops all
	// packets.
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	f.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+secret)
	if id != "" {
		req.Header.Set("Idempotency-Key", id)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: f.net.Dialer("caller"), DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err == nil {
		f.t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

func (f *testFleet) chat(h *testHost, id string, tokens int) *http.Response {
	body := fmt.Sprintf(`{"model":"cut","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"tokens=%d"}]}`, tokens, tokens)
	return f.do(h, h.cfg.Listen.Caller, http.MethodPost, "/v1/chat/completions", testKey, id, body)
}

func (f *testFleet) book(h *testHost, id string) *http.Response {
	return f.do(h, h.cfg.Listen.Caller, http.MethodPost, "/v1/services/firm/bookings/slabs", testKey, id, `{"slab":1}`)
}

// spent returns the tokens settled for the budget, as folded from the log by a host.
func (f *testFleet) spent(h *testHost) record.Tokens {
	status, err := budgetReader{h.shards, h.shardCount}.ReadBudget(f.t.Context(), testBudget)
	require.NoError(f.t, err)
	return status.Spent
}

func read(t *testing.T, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}
