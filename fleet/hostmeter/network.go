package hostmeter

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// Network returns a network whose bytes the meter counts.
func (m *Meter) Network(n sockets.Network) sockets.Network { return network{n, m} }

type network struct {
	sockets.Network
	meter *Meter
}

// Dialer implements sockets.Network.
func (n network) Dialer(o sockets.Options) sockets.DialFunc {
	dial := n.Network.Dialer(o)
	o.ConnectTimeout = probeTimeout
	slowDial := n.Network.Dialer(o)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		began := time.Now()
		if !n.meter.mayDial(began) {
			return nil, sockets.ErrNotTried
		}
		n.meter.dialled.Add(1)
		c, err := dial(ctx, network, address)
		if err != nil {
			if isTimeout(err) {
				n.meter.timeout(o.To, address, time.Since(began))
			}
			n.meter.probe(slowDial, network, address, err)
			return nil, err
		}
		n.meter.connected(address, time.Since(began), false)
		n.meter.addConnection()
		return n.meter.count(c, &n.meter.answers), nil
	}
}

// Listen implements sockets.Network.
func (n network) Listen(ctx context.Context, address string, o sockets.Options) (net.Listener, error) {
	l, err := n.Network.Listen(ctx, address, o)
	if err != nil {
		return nil, err
	}
	return listener{l, n.meter}, nil
}

// ListenPacket implements sockets.Network.
func (n network) ListenPacket(ctx context.Context, address string) (net.PacketConn, error) {
	c, err := n.Network.ListenPacket(ctx, address)
	if err != nil {
		return nil, err
	}
	return packetConn{c, n.meter}, nil
}

type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.meter.accepted.Add(1)
	l.meter.addConnection()
	return l.meter.count(c, nil), nil
}

// SetDeadline sets the time at which Accept fails.
func (l listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errNoDeadline
}

var errNoDeadline = net.UnknownNetworkError("no deadline")

type conn struct {
	net.Conn
	meter *Meter
	// answers counts reads, unless it is nil.
	answers *atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.CountRead(n)
	return n, err
}

// CountRead counts bytes that were read of the connection. What is read from its socket directly has to be
// counted by the reader.
func (c *conn) CountRead(n int) {
	c.meter.addReceived(n)
	if n > 0 && c.answers != nil {
		c.answers.Add(1)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.addSent(n)
	return n, err
}

// CloseWrite closes the writing side, if the connection has one.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// sysConn is a connection with a socket.
type sysConn struct {
	*conn
	syscall.Conn
}

// count returns a connection whose bytes the meter counts, and its reads in answers, unless that is
// nil. It has a socket if c has one.
func (m *Meter) count(c net.Conn, answers *atomic.Int64) net.Conn {
	counted := &conn{c, m, answers}
	if sys, ok := c.(syscall.Conn); ok {
		return sysConn{counted, sys}
	}
	return counted
}

type packetConn struct {
	net.PacketConn
	meter *Meter
}

// ReadFrom implements net.PacketConn.
func (c packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(p)
	c.meter.in.Add(int64(n + headerBytes))
	return n, addr, err
}

// WriteTo implements net.PacketConn.
func (c packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, addr)
	c.meter.out.Add(int64(n + headerBytes))
	return n, err
}
