// Package gossip tells the other hosts, by datagrams, that this one lives and
// what it has sent to upstreams. Datagrams may be lost: they make decisions
// better, none relies on them.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

// EventKind tells the events of a request apart.
type EventKind uint8

// Kinds of events.
const (
	Begun      EventKind = 1 // The request was sent.
	FirstEvent EventKind = 2 // The answer has begun.
	Ended      EventKind = 3 // The request has ended at the upstream.
	// Stalled means that an answer is long overdue.
	Stalled EventKind = 4
)

// Event is one event of a request that this host has sent to an upstream.
type Event struct {
	_    struct{} `cbor:",toarray"`
	Kind EventKind
	Seq  uint64
	// Upstream is a hash of the upstream's ID.
	Upstream uint32
	// Outcome is set on Ended.
	Outcome balance.Outcome
	// Begun is set on Begun.
	Begun *RequestInfo
}

// RequestInfo describes a request that was sent.
type RequestInfo struct {
	_ struct{} `cbor:",toarray"`
	// ReadMillis is the time that the upstream needs to read the prompt.
	ReadMillis uint32
	// Work is nil for plain services.
	Work *balance.Work
}

// UpstreamHash returns the hash of an upstream's ID in events.
func UpstreamHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Message is one datagram.
type Message struct {
	_     struct{} `cbor:",toarray"`
	Host  record.HostID
	Run   uint64
	State roster.State
	// Oldest is the lowest number of a request that has not ended. Datagrams
	// that told of the end of an earlier one may have been lost.
	Oldest uint64
	Events []Event
	// PassOn asks the receiver to send the message on to the hosts that serve.
	PassOn bool
}

const (
	// batchDelay is how long events wait for others: not much more than the time that
	// an engine needs for a step. Each datagram costs a small host's link as much
	// as an event.
	batchDelay = 6 * time.Millisecond
	// maxEvents keeps a message within one packet of usual networks, of 1,400
	// bytes, with prompts of few parts.
	maxEvents = 16
)

// Options configure a [Gossip].
type Options struct {
	Self roster.Host
	// Peers returns the hosts that messages go to.
	Peers func() []roster.Host
	// Alive returns those of the peers that were heard lately.
	Alive func() []roster.Host
	// State is this host's, and Oldest the number of its oldest request that has
	// not ended.
	State  func() roster.State
	Oldest func() uint64
	// Receive takes in a message of another host.
	Receive func(*Message)
	Logger  logr.Logger
	Metrics metrics.Registry
}

// Gossip sends and receives messages.
type Gossip struct {
	opt       Options
	log       logr.Logger
	sent      metrics.Counter
	received  metrics.Counter
	malformed metrics.Counter

	mu      sync.Mutex
	pending []Event
	wake    chan struct{}
}

// New returns a gossip; Run starts it.
func New(opt Options) *Gossip {
	return &Gossip{
		opt:       opt,
		log:       opt.Logger.WithName("gossip"),
		sent:      metrics.GetOrRegisterCounter("gossip_sent", opt.Metrics),
		received:  metrics.GetOrRegisterCounter("gossip_received", opt.Metrics),
		malformed: metrics.GetOrRegisterCounter("gossip_bad", opt.Metrics),
		wake:      make(chan struct{}, 1),
	}
}

// Broadcast adds an event to the next message.
func (g *Gossip) Broadcast(e Event) {
	g.mu.Lock()
	g.pending = append(g.pending, e)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go g.sendLoop(ctx, conn)
	buf := make([]byte, 64<<10)
	for {
		n, _, err := conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			g.log.Error(err, "Receive failed.")
			return err
		}
		g.receive(conn, buf[:n])
	}
}

func (g *Gossip) receive(conn net.PacketConn, data []byte) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		g.malformed.Inc(1)
		return
	}
	g.received.Inc(1)
	if m.PassOn {
		g.relay(conn, m)
	}
	g.opt.Receive(&m)
}

// relay sends a small host's message to the others that serve.
func (g *Gossip) relay(conn net.PacketConn, m Message) {
	m.PassOn = false
	peers := g.opt.Peers()
	from := slices.IndexFunc(peers, func(h roster.Host) bool { return h.ID == m.Host })
	if from < 0 {
		return // It isn't listed here yet.
	}
	others := slices.DeleteFunc(activeHosts(peers), func(h roster.Host) bool { return h.ID == m.Host })
	g.send(conn, m, roster.GossipTargets(peers[from], others))
}

// activeHosts returns the hosts that serve callers.
func activeHosts(hosts []roster.Host) []roster.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h roster.Host) bool { return !h.State.Active })
}

func (g *Gossip) sendLoop(ctx context.Context, conn net.PacketConn) {
	tick := time.NewTicker(roster.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.flush(conn, true)
		case <-g.wake:
			time.Sleep(batchDelay)
			g.flush(conn, false)
		}
	}
}

// flush sends the pending events to those who serve callers, too, or lets a large
// host do so. Heartbeats go to all hosts, even if there are no events.
func (g *Gossip) flush(conn net.PacketConn, heartbeat bool) {
	g.mu.Lock()
	events := g.pending
	g.pending = nil
	g.mu.Unlock()
	peers := g.opt.Peers()
	active := roster.GossipTargets(g.opt.Self, activeHosts(peers))
	relay, small := roster.RelayFor(g.opt.Self, g.opt.Alive())
	if small {
		active = []roster.Host{relay}
	}
	for len(events) > 0 {
		n := min(len(events), maxEvents)
		m := g.message(events[:n])
		m.PassOn = small
		g.send(conn, m, active)
		events = events[n:]
	}
	if heartbeat {
		g.send(conn, g.message(nil), peers)
	}
}

func (g *Gossip) message(events []Event) Message {
	return Message{Host: g.opt.Self.ID, Run: g.opt.Self.Run, State: g.opt.State(), Oldest: g.opt.Oldest(), Events: events}
}

func (g *Gossip) send(conn net.PacketConn, m Message, peers []roster.Host) {
	data, err := cbor.Marshal(&m)
	if err != nil {
		g.log.Error(err, "Message could not be encoded.")
		return
	}
	for _, peer := range peers {
		// A host that is down is no news here: its silence tells.
		if _, err := conn.WriteTo(data, udpAddr(peer.Peer)); err == nil {
			g.sent.Inc(1)
		}
	}
}

func udpAddr(a netip.AddrPort) *net.UDPAddr { return net.UDPAddrFromAddrPort(a) }
