package replay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/config"
	"github.com/hazelworks/hazelworks/fleet/host"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/hostlist"
	"github.com/hazelworks/hazelworks/standin/memlog"
	"github.com/hazelworks/hazelworks/standin/memnet"
	"github.com/hazelworks/hazelworks/standin/plain"
)

const (
	callerPort   = 8080
	peerPort     = 8081
	adminPort    = 8082
	hostListLag  = 2 * time.Second
	readyTimeout = 30 * time.Second
	copyInterval = time.Minute
	peerSecret   = "replay-peer-secret"
	adminSecret  = "replay-operator-secret"
)

// world is a fleet of real hosts with fakes of everything around them.
type world struct {
	trace   *Trace
	tree    *tree
	rand    *rand.Rand
	net     *memnet.Network
	log     *memlog.Log
	list    *hostlist.List
	nodes   map[string]*node
	order   []*node
	engines map[string]*engine.Engine
	plains  map[string]*plain.Service
	servers []*http.Server
	callers map[string]*caller
	books   *books
	logger  logr.Logger

	mu      sync.Mutex
	kept    map[string][]record.Entry
	stopErr []error
}

// node is a host of the fleet, whichever incarnation runs.
type node struct {
	spec   HostSpec
	number int
	link   *memlog.Link
	host   *host.Host
	cancel context.CancelFunc
	ended  chan struct{}
	up     bool
}

func (n *node) address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n.number)}), port)
}

func newWorld(t *Trace, seed uint64, logger logr.Logger) (*world, error) {
	tree, err := fillSettings(t.Settings)
	if err != nil {
		return nil, err
	}
	latency := time.Duration(t.Latency)
	w := &world{
		trace: t, tree: tree, rand: rand.New(rand.NewPCG(seed, 1)), logger: logger,
		net: memnet.New(memnet.Options{Latency: func(string, string) time.Duration { return latency }}),
		log: memlog.New(memlog.Options{
			Retention: time.Duration(t.Log.Retention), AppendsPerSecond: t.Log.AppendsPerSecond, Latency: time.Duration(t.Log.Latency),
		}),
		list: hostlist.New(hostListLag), nodes: make(map[string]*node),
		engines: make(map[string]*engine.Engine), plains: make(map[string]*plain.Service),
		callers: make(map[string]*caller), books: &books{}, kept: make(map[string][]record.Entry),
	}
	for i, spec := range t.Hosts {
		n := &node{spec: spec, number: i + 1, link: memlog.NewLink(w.log)}
		w.nodes[string(spec.ID)] = n
		w.order = append(w.order, n)
	}
	return w, errors.Join(w.startUpstreams(), w.publishSettings())
}

func (w *world) startUpstreams() error {
	for _, s := range w.tree.resolved.Services {
		var models []string
		for _, m := range s.Models {
			models = append(models, m.Name)
		}
		for _, u := range s.Upstreams {
			var handler http.Handler
			if s.Kind == settings.ServiceModel {
				e := w.trace.Engines
				w.engines[u.ID] = engine.New(engine.Options{
					Name: u.ID, Models: models, Slots: e.Slots, ChecksFencing: u.ChecksFencing,
					FirstToken: time.Duration(e.FirstToken), TokenInterval: time.Duration(e.TokenInterval),
				})
				handler = w.engines[u.ID].Handler()
			} else {
				w.plains[u.ID] = plain.New(s.Name)
				handler = w.plains[u.ID].Handler()
			}
			if err := w.serve(u.ID, u.URL, handler); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) serve(name, address string, handler http.Handler) error {
	parsed, err := url.Parse(address)
	if err != nil {
		return err
	}
	listener, err := w.net.Listen(name, parsed.Host)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// publishSettings appends the settings tree as an operator does.
func (w *world) publishSettings() error {
	change := &settings.Change{Kind: settings.KindEdit, ID: "trace", By: "trace", Edits: settings.Edits(jsontree.NewObject(), w.tree.root)}
	data, err := settings.EncodeChange(change)
	if err != nil {
		return err
	}
	_, err = w.log.Append(context.Background(), record.StreamSettings, data)
	return err
}

// fork returns a source of randomness of its own.
func (w *world) fork() *rand.Rand { return rand.New(rand.NewPCG(w.rand.Uint64(), 2)) }

// start runs a new incarnation of a host.
func (w *world) start(n *node) {
	cfg := config.Default()
	cfg.Host = config.Host{ID: n.spec.ID, Region: "replay", FailureDomain: n.spec.FailureDomain}
	cfg.Listen = config.Listen{Caller: n.address(callerPort), Peer: n.address(peerPort), Admin: n.address(adminPort)}
	cfg.Advertise = config.Advertise{Caller: cfg.Listen.Caller, Peer: cfg.Listen.Peer}
	cfg.Secrets = config.Secrets{Peer: peerSecret, Operator: adminSecret}
	name := string(n.spec.ID)
	n.link.SetCut(false)
	n.host = host.New(host.Options{
		Config: &cfg, Log: n.link, Hosts: w.list,
		Dial:   w.net.Dialer(name),
		Listen: func(_, addr string) (net.Listener, error) { return w.net.Listen(name, addr) },
		Logger: w.logger, Seed: w.rand.Uint64() | 1,
	})
	w.list.Put(platform.Host{
		ID: n.spec.ID, FailureDomain: n.spec.FailureDomain, Region: "replay",
		CallerAddr: cfg.Listen.Caller.String(), PeerAddr: cfg.Listen.Peer.String(), State: platform.HostLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.ended, n.up = cancel, make(chan struct{}), true
	go func(h *host.Host, ended chan struct{}) {
		defer close(ended)
		if err := h.Run(ctx); err != nil && ctx.Err() == nil && !w.killed(n) {
			w.fail(fmt.Errorf("host %s: %w", name, err))
		}
	}(n.host, n.ended)
}

// killed reports whether a host was ended by the trace.
func (w *world) killed(n *node) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !n.up
}

func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopErr = append(w.stopErr, err)
}

// kill ends a host at once: nothing that it does later has an effect.
func (w *world) kill(n *node) {
	if !n.up {
		return
	}
	w.mu.Lock()
	n.up = false
	w.mu.Unlock()
	n.link.SetCut(true)
	n.link = memlog.NewLink(w.log)
	w.net.Kill(string(n.spec.ID), false)
	n.cancel()
	<-n.ended
	w.list.Remove(n.spec.ID)
}

// stop ends a host gracefully.
func (w *world) stop(n *node) {
	if !n.up {
		return
	}
	n.up = false
	w.list.SetState(n.spec.ID, platform.HostLeaving)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	if err := n.host.Shutdown(ctx); err != nil {
		w.fail(err)
	}
	n.cancel()
	<-n.ended
	w.list.Remove(n.spec.ID)
}

func (w *world) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, n := range w.order {
		for n.up && n.host.Ready() != nil {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready: %w", n.spec.ID, n.host.Ready())
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// caller returns the caller of an account.
func (w *world) caller(account string) *caller {
	c, ok := w.callers[account]
	if !ok {
		transport := &http.Transport{DialContext: w.net.Dialer(sideCallers), MaxIdleConnsPerHost: 64}
		c = &caller{account: account, spec: w.trace.Callers, asking: make(chan struct{}, 1), first: len(account), client: &http.Client{Transport: transport}}
		for _, n := range w.order {
			c.known = append(c.known, n.address(callerPort).String())
		}
		w.callers[account] = c
	}
	return c
}

// keepLog copies the log's records before its retention drops them.
func (w *world) keepLog() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range w.log.Streams() {
		kept := w.kept[name]
		var next record.Offset = 1
		if len(kept) > 0 {
			next = kept[len(kept)-1].Offset + 1
		}
		for _, entry := range w.log.Records(name) {
			if entry.Offset >= next {
				kept = append(kept, entry)
			}
		}
		w.kept[name] = kept
	}
}

// end stops everything that runs.
func (w *world) end() error {
	for _, n := range w.order {
		if n.up {
			n.up = false
			n.cancel()
			<-n.ended
		}
	}
	for _, c := range w.callers {
		c.client.CloseIdleConnections()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.keepLog()
	return errors.Join(w.stopErr...)
}
