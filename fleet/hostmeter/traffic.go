package hostmeter

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// Traffic counts the bytes of the connections that a dialer opens. It is safe for concurrent use.
type Traffic struct{ in, out atomic.Int64 }

// Dialer returns a dialer whose connections are counted.
func (t *Traffic) Dialer(dial sockets.DialFunc) sockets.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trafficConn{c, t}, nil
	}
}

// In returns the number of bytes received.
func (t *Traffic) In() int64 {
	if t == nil {
		return 0
	}
	return t.in.Load()
}

// Out returns the number of bytes sent.
func (t *Traffic) Out() int64 {
	if t == nil {
		return 0
	}
	return t.out.Load()
}

type trafficConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *trafficConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *trafficConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}
