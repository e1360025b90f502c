// Package wirecount counts the bytes that connections carry, for measurements.
package wirecount

import (
	"context"
	"net"
	"sync/atomic"
)

// Dial is a dial function for TCP that counts the payload of its connections in
// both directions.
func Dial(bytes *atomic.Int64) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return conn{c, bytes}, nil
	}
}

type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it reads.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
