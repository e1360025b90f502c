// Package gossip sends heartbeats and events of upstream requests to the other hosts
// in datagrams. Datagrams may be lost: they improve decisions, but no decision relies
// on them.
package gossip

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

// Message is one datagram. It is an array by position, whose shape never changes: builds of before
// and after a change run side by side. What is new goes into [Report].
type Message struct {
	_     struct{} `cbor:",toarray"`
	Host  record.HostID
	Run   uint64
	State roster.State
	// Oldest is the lowest Seq of a request that has not ended. All earlier requests
	// have ended, even if the datagrams with their ends were lost.
	Oldest uint64
	Events []Event
	// PassOn asks the receiver to relay the message to the active hosts.
	PassOn bool
	// Watch asks the receiver for digests, see [roster.Heartbeat].
	Watch  bool
	Digest []byte
}

// CounterReceived is the name of the counter of messages received.
const CounterReceived = "gossip_received"

const (
	// batchDelay is how long an event waits for others before they are sent in one
	// datagram. A datagram costs a small host's link as much as an event does. The
	// delay is not much longer than a step of an engine.
	batchDelay = 6 * time.Millisecond
	// maxEvents is the maximum number of events in a message. It keeps a message with
	// prompts of few parts within one packet of 1,400 bytes, as usual networks
	// carry it.
	maxEvents = 16
)

// Options configure a [Gossip].
type Options struct {
	Self roster.Host
	// Peers returns the other hosts.
	Peers func() []roster.Host
	// Heartbeats returns the heartbeats that are due. It is called once in each
	// [roster.HeartbeatInterval].
	Heartbeats func() []roster.Heartbeat
	// Alive returns the peers from which a message has arrived recently.
	Alive func() []roster.Host
	// State returns the state of this host, and Oldest the number of its oldest
	// request that has not ended.
	State  func() roster.State
	Oldest func() uint64
	// LimitDomains is called, before each heartbeat, with the result of
	// [roster.LimitDomains].
	LimitDomains func([]string)
	// Receive applies a message of another host.
	Receive func(*Message)
	// ReceiveReport applies a report of another host.
	ReceiveReport func(*Report)
	Logger        logr.Logger
	Metrics       metrics.Registry
}

// Gossip sends and receives messages.
type Gossip struct {
	opt       Options
	log       logr.Logger
	sent      metrics.Counter
	received  metrics.Counter
	malformed metrics.Counter

	// relayFor and eventTargets are this host's relay, if it has one, and the receivers
	// of its events. They are chosen with each heartbeat, and used by sendLoop only.
	relayFor     roster.Host
	hasRelay     bool
	eventTargets []roster.Host

	mu      sync.Mutex
	pending []Event
	direct  []directEvents
	reports []pendingReport
	wake    chan struct{}
}

// directEvents are events for one host.
type directEvents struct {
	to     roster.Host
	events []Event
}

// New returns a Gossip that starts with [Gossip.Run].
func New(opt Options) *Gossip {
	return &Gossip{
		opt:       opt,
		log:       opt.Logger.WithName("gossip"),
		sent:      metrics.GetOrRegisterCounter("gossip_sent", opt.Metrics),
		received:  metrics.GetOrRegisterCounter(CounterReceived, opt.Metrics),
		malformed: metrics.GetOrRegisterCounter("gossip_bad", opt.Metrics),
		wake:      make(chan struct{}, 1),
	}
}

// Broadcast adds an event to the next message. It does not block on the network.
func (g *Gossip) Broadcast(e Event) {
	g.mu.Lock()
	g.pending = append(g.pending, e)
	g.mu.Unlock()
	g.signal()
}

// SendTo sends events to one host. It does not block on the network.
func (g *Gossip) SendTo(to roster.Host, events []Event) {
	g.mu.Lock()
	g.direct = append(g.direct, directEvents{to: to, events: events})
	g.mu.Unlock()
	g.signal()
}

func (g *Gossip) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// receiveRetry is the pause after a failed read. Some errors concern one packet only, such as that
// of a receiver that is down, which the network reports later.
const receiveRetry = 20 * time.Millisecond

// Run sends and receives over conn until ctx ends, which closes conn. It returns an
// error if conn is closed before.
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
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			g.log.Error(err, "Gossip could not be received.")
			time.Sleep(receiveRetry)
			continue
		}
		g.receive(conn, buf[:n])
	}
}

func (g *Gossip) receive(conn net.PacketConn, data []byte) {
	if g.receiveReport(conn, data) {
		return
	}
	var m Message
	if err := decodeMessage(data, &m); err != nil {
		g.malformed.Inc(1)
		return
	}
	g.received.Inc(1)
	if m.PassOn {
		g.relay(conn, m)
	}
	g.opt.Receive(&m)
}

// relay forwards a small host's message to that host's gossip targets.
func (g *Gossip) relay(conn net.PacketConn, m Message) {
	m.PassOn = false
	peers := g.opt.Peers()
	from := slices.IndexFunc(peers, func(h roster.Host) bool { return h.ID == m.Host })
	if from < 0 {
		return // The sender is not listed here yet.
	}
	others := slices.DeleteFunc(slices.Clone(peers), func(h roster.Host) bool { return h.ID == m.Host })
	to := servingHosts
	if len(m.Events) > 0 {
		to = m.Events[0].Kind.audience() // those of a message have the same audience
	}
	g.send(conn, m, receivers(peers[from], others, to))
}

// receivers returns the hosts that receive the events of a host for an audience.
func receivers(from roster.Host, hosts []roster.Host, to audience) []roster.Host {
	if to == servingHosts {
		return roster.EventTargets(from, activeHosts(hosts))
	}
	group := roster.LimitGroup(from, hosts)
	if to == limitGroup || len(group) == len(hosts) {
		return group
	}
	all := slices.Concat(group, roster.GossipTargets(from, activeHosts(hosts)))
	slices.SortFunc(all, func(a, b roster.Host) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(all, func(a, b roster.Host) bool { return a.ID == b.ID })
}

// activeHosts returns the hosts that have served requests recently.
func activeHosts(hosts []roster.Host) []roster.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h roster.Host) bool { return !h.State.Active })
}

func (g *Gossip) sendLoop(ctx context.Context, conn net.PacketConn) {
	tick := time.NewTicker(roster.HeartbeatInterval)
	defer tick.Stop()
	g.chooseTargets()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.chooseTargets()
			g.sendEvents(conn)
			g.sendHeartbeats(conn)
		case <-g.wake:
			time.Sleep(batchDelay)
			g.sendEvents(conn)
			g.sendReports(conn)
		}
	}
}

// chooseTargets chooses the receivers of the events until the next heartbeat: the gossip
// targets among the active hosts.
func (g *Gossip) chooseTargets() {
	g.eventTargets = roster.EventTargets(g.opt.Self, activeHosts(g.opt.Peers()))
	g.opt.LimitDomains(roster.LimitDomains(g.opt.Self, g.opt.Peers()))
	g.relayFor, g.hasRelay = roster.RelayFor(g.opt.Self, g.opt.Alive())
}

// sendEvents sends the pending events. A small host sends them only to its relay, a large
// host that forwards them.
func (g *Gossip) sendEvents(conn net.PacketConn) {
	g.mu.Lock()
	events, direct := g.pending, g.direct
	g.pending, g.direct = nil, nil
	g.mu.Unlock()
	for _, d := range direct {
		for batch := range slices.Chunk(d.events, maxEvents) {
			g.send(conn, g.message(batch), []roster.Host{d.to})
		}
	}
	for _, group := range g.groupByTargets(events) {
		for batch := range slices.Chunk(group.events, maxEvents) {
			m := g.message(batch)
			m.PassOn = g.hasRelay
			g.send(conn, m, group.targets)
		}
	}
}

// eventGroup is the events that go to the same hosts.
type eventGroup struct {
	targets []roster.Host
	events  []Event
}

// groupByTargets groups events by their receivers. The audiences of a small fleet mostly have
// the same ones. A relay chooses the receivers of a message itself, by the audience of its
// first event.
func (g *Gossip) groupByTargets(events []Event) []eventGroup {
	var groups []eventGroup
	for to := range audiences {
		part := slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Kind.audience() != to })
		if len(part) == 0 {
			continue
		}
		targets := g.targets(to)
		same := slices.IndexFunc(groups, func(o eventGroup) bool { return !g.hasRelay && sameHosts(o.targets, targets) })
		if same < 0 {
			groups = append(groups, eventGroup{targets: targets, events: part})
			continue
		}
		groups[same].events = append(groups[same].events, part...)
	}
	return groups
}

// sameHosts reports whether two lists have the same hosts in the same order.
func sameHosts(a, b []roster.Host) bool {
	return slices.EqualFunc(a, b, func(x, y roster.Host) bool { return x.ID == y.ID })
}

// targets returns the hosts to which this host itself sends events.
func (g *Gossip) targets(to audience) []roster.Host {
	switch {
	case g.hasRelay:
		return []roster.Host{g.relayFor}
	case to == servingHosts:
		return g.eventTargets
	}
	return receivers(g.opt.Self, g.opt.Peers(), to)
}

// sendHeartbeats sends the heartbeats that are due. While this host serves requests, the
// receivers of its events get one too: it says which requests have ended, in case the
// datagrams with their ends were lost.
func (g *Gossip) sendHeartbeats(conn net.PacketConn) {
	m := g.message(nil)
	sent := make(map[record.HostID]bool)
	for _, beat := range g.opt.Heartbeats() {
		m.Watch, m.Digest = beat.Watch, beat.Digest
		g.send(conn, m, []roster.Host{beat.To})
		sent[beat.To.ID] = true
	}
	if !m.State.Active {
		return
	}
	m.Watch, m.Digest = false, nil
	g.send(conn, m, slices.DeleteFunc(slices.Clone(g.eventTargets), func(h roster.Host) bool { return sent[h.ID] }))
}

func (g *Gossip) message(events []Event) Message {
	return Message{Host: g.opt.Self.ID, Run: g.opt.Self.Run, State: g.opt.State(), Oldest: g.opt.Oldest(), Events: events}
}

func (g *Gossip) send(conn net.PacketConn, m Message, peers []roster.Host) {
	data, err := encodeMessage(&m)
	if err != nil {
		g.log.Error(err, "Gossip could not be encoded.")
		return
	}
	g.write(conn, data, peers)
}

func (g *Gossip) write(conn net.PacketConn, data []byte, peers []roster.Host) {
	for _, peer := range peers {
		// Errors are ignored: a host that is down is detected by its missing
		// heartbeats.
		if _, err := conn.WriteTo(data, udpAddr(peer.Peer)); err == nil {
			g.sent.Inc(1)
		}
	}
}

func udpAddr(a netip.AddrPort) *net.UDPAddr { return net.UDPAddrFromAddrPort(a) }
