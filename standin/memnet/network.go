// Package memnet is an in-memory network for tests. Connections are byte
// streams with latency; links between hosts can be cut in one or both
// directions, and open connections can be made silent while new ones work.
// It works under testing/synctest.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Options configures a Network.
type Options struct {
	// Latency returns the one-way delay between two hosts; nil means none.
	Latency func(from, to string) time.Duration
	// BufferBytes bounds the bytes in flight in each direction; default 64 KiB.
	BufferBytes int
}

const defaultBufferBytes = 64 << 10

// Network connects named hosts. It is safe for concurrent use.
type Network struct {
	opts Options

	mu        sync.Mutex
	listeners map[string]*listener
	packets   map[string]*packetConn
	cuts      map[direction]bool
	refused   map[direction]bool
	conns     map[*Conn]struct{}
	changed   chan struct{}
	nextPort  int
}

type direction struct {
	from string
	to   string
}

// New returns a network without listeners.
func New(opts Options) *Network {
	if opts.BufferBytes <= 0 {
		opts.BufferBytes = defaultBufferBytes
	}
	return &Network{
		opts:      opts,
		listeners: make(map[string]*listener),
		packets:   make(map[string]*packetConn),
		cuts:      make(map[direction]bool),
		refused:   make(map[direction]bool),
		conns:     make(map[*Conn]struct{}),
		changed:   make(chan struct{}),
		nextPort:  40000,
	}
}

// Listen opens a listener of a host on an address of the form ip:port.
func (n *Network) Listen(host, addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[addr]; taken {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{
		network: n,
		host:    host,
		addr:    address(addr),
		backlog: make(chan *Conn, 1024),
		closed:  make(chan struct{}),
	}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns a dial function for connections that a host opens.
func (n *Network) Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.dial(ctx, host, addr)
	}
}

// dial opens a connection. Like a lost SYN, a dial across a cut link hangs until
// the link heals or ctx ends.
func (n *Network) dial(ctx context.Context, host, addr string) (net.Conn, error) {
	for {
		conn, changed, err := n.tryDial(host, addr)
		if err != nil {
			return nil, err
		}
		if conn != nil {
			return n.finishDial(ctx, conn)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(addr), Err: ctx.Err()}
		}
	}
}

func (n *Network) tryDial(host, addr string) (*Conn, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[addr]
	if !ok || n.refused[direction{host, l.host}] {
		return nil, nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(addr), Err: syscall.ECONNREFUSED}
	}
	if n.cuts[direction{host, l.host}] || n.cuts[direction{l.host, host}] {
		return nil, n.changed, nil
	}
	n.nextPort++
	local := address(fmt.Sprintf("%s:%d", host, n.nextPort))
	near, far := newPair(n, host, l.host, local, l.addr)
	select {
	case l.backlog <- far:
	default:
		return nil, nil, &net.OpError{Op: "dial", Net: "tcp", Addr: l.addr, Err: syscall.ECONNREFUSED}
	}
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, nil, nil
}

func (n *Network) finishDial(ctx context.Context, conn *Conn) (net.Conn, error) {
	roundTrip := n.latency(conn.host, conn.peerHost) + n.latency(conn.peerHost, conn.host)
	if roundTrip <= 0 {
		return conn, nil
	}
	timer := time.NewTimer(roundTrip)
	defer timer.Stop()
	select {
	case <-timer.C:
		return conn, nil
	case <-ctx.Done():
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: conn.remote, Err: ctx.Err()}
	}
}

// Cut stops the packets from one host to another, in that direction only. Open
// connections stall and go on when the link heals.
func (n *Network) Cut(from, to string) {
	n.setCut(from, to, true)
}

// Heal undoes Cut.
func (n *Network) Heal(from, to string) {
	n.setCut(from, to, false)
}

func (n *Network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[direction{from, to}] = true
	} else {
		delete(n.cuts, direction{from, to})
	}
	n.broadcast()
}

// Refuse has connections from one host to another refused, as on a path that answers them with
// resets. Open connections go on; see [Network.Reset].
func (n *Network) Refuse(from, to string) { n.setRefused(from, to, true) }

// Accept undoes Refuse.
func (n *Network) Accept(from, to string) { n.setRefused(from, to, false) }

func (n *Network) setRefused(from, to string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refused {
		n.refused[direction{from, to}] = true
	} else {
		delete(n.refused, direction{from, to})
	}
}

// Silence makes the open connections between two hosts carry nothing for ever,
// without an error on either end. New connections work.
func (n *Network) Silence(a, b string) int {
	return n.eachConn(a, b, func(c *Conn) { c.silence() })
}

// Reset breaks the open connections between two hosts with an error on both ends.
func (n *Network) Reset(a, b string) int {
	return n.eachConn(a, b, func(c *Conn) { c.reset() })
}

// Kill closes the listeners of a host. Its connections are reset, or, if silent
// is true, vanish without a word, as when the machine loses power.
func (n *Network) Kill(host string, silent bool) {
	n.mu.Lock()
	for _, l := range n.listeners {
		if l.host == host {
			l.closeLocked()
		}
	}
	var hit []*Conn
	for c := range n.conns {
		if c.host == host || c.peerHost == host {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		if silent && c.peerHost == host {
			c.silence()
			continue
		}
		c.reset()
	}
}

// Open returns the number of open connection ends.
func (n *Network) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *Network) eachConn(a, b string, f func(*Conn)) int {
	n.mu.Lock()
	var hit []*Conn
	for c := range n.conns {
		if (c.host == a && c.peerHost == b) || (c.host == b && c.peerHost == a) {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		f(c)
	}
	return len(hit)
}

// passable reports whether packets flow and a channel that closes on a change.
func (n *Network) passable(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cuts[direction{from, to}], n.changed
}

func (n *Network) latency(from, to string) time.Duration {
	if n.opts.Latency == nil {
		return 0
	}
	return n.opts.Latency(from, to)
}

func (n *Network) forget(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Network) broadcast() {
	close(n.changed)
	n.changed = make(chan struct{})
}

type listener struct {
	network *Network
	host    string
	addr    address
	backlog chan *Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	l.once.Do(func() {
		delete(l.network.listeners, string(l.addr))
		close(l.closed)
	})
}

func (l *listener) Addr() net.Addr { return l.addr }

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }
