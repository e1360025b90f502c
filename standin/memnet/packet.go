package memnet

import (
	"net"
	"os"
	"sync"
	"time"
)

// packetQueue bounds the datagrams that wait for a reader; more are lost.
const packetQueue = 1024

// packetConn receives the datagrams of one address.
type packetConn struct {
	network *Network
	host    string
	addr    *net.UDPAddr
	queue   chan datagram
	closed  chan struct{}
	once    sync.Once
}

type datagram struct {
	data []byte
	from *net.UDPAddr
}

// ListenPacket opens a socket of a host for datagrams. They are lost while the
// link is cut.
func (n *Network) ListenPacket(host, addr string) (net.PacketConn, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	c := &packetConn{network: n, host: host, addr: udp, queue: make(chan datagram, packetQueue), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets[udp.String()] = c
	return c, nil
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.queue:
		return copy(p, d.data), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	to, ok := n.packets[addr.String()]
	if ok && n.cuts[direction{c.host, to.host}] {
		ok = false
	}
	n.mu.Unlock()
	if !ok {
		return len(p), nil
	}
	d := datagram{data: append([]byte(nil), p...), from: c.addr}
	time.AfterFunc(n.latency(c.host, to.host), func() { to.deliver(d) })
	return len(p), nil
}

func (c *packetConn) deliver(d datagram) {
	select {
	case c.queue <- d:
	default:
	}
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		if c.network.packets[c.addr.String()] == c {
			delete(c.network.packets, c.addr.String())
		}
		close(c.closed)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return c.addr }

// SetDeadline implements net.PacketConn; deadlines are not supported.
func (c *packetConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.PacketConn; deadlines are not supported.
func (c *packetConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.PacketConn; deadlines are not supported.
func (c *packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
