package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/connlimit"
)

// settleTime is the time without calls, reads and writes after which a connection counts as unused. The last part
// of an answer is written after its call has ended.
const settleTime = time.Second

// serverConn is a connection to a [Server] that knows whether calls of another host use it.
type serverConn struct {
	net.Conn
	server   *Server
	openedAt time.Time
	address  netip.Addr

	mu sync.Mutex
	// calls is the number of calls with the secret that are handled.
	calls int
	// served is true once a call with the secret was handled.
	served bool
	// writes is the number of writes in progress.
	writes int
	// usedAt is when the last call, read or write ended.
	usedAt time.Time
	// closing is true once the server has decided to close the connection. No call of it is handled then.
	closing bool
}

func newServerConn(conn net.Conn, s *Server, now time.Time) *serverConn {
	c := &serverConn{Conn: conn, server: s, openedAt: now, usedAt: now}
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		c.address = tcp.AddrPort().Addr()
	}
	return c
}

// connKey is the key of a call's *serverConn in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// beginCall reports whether a call with the secret may be handled; end must be called after it.
func beginCall(ctx context.Context) (end func(), ok bool) {
	c, ok := ctx.Value(connKey{}).(*serverConn)
	if !ok {
		return func() {}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.served = true
	return c.endCall, !c.closing
}

func (c *serverConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.usedAt = time.Now()
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.usedAt = time.Now() // a call may begin
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.usedAt = time.Now()
	return n, err
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.server.forget(c)
	return c.Conn.Close()
}

// isUsed reports whether a call is handled or its answer may be in the course of being written. What strangers
// without the secret do doesn't count. The caller holds mu.
func (c *serverConn) isUsed(now time.Time) bool {
	return c.served && (c.calls > 0 || c.writes > 0 || now.Sub(c.usedAt) < settleTime)
}

// describe returns what decides whether the connection yields to others.
func (c *serverConn) describe(now time.Time) connlimit.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := connlimit.Conn{Phase: connlimit.Unfinished, Since: c.openedAt, Address: c.address}
	if c.served {
		d.Phase, d.Since = connlimit.Idle, c.usedAt
	}
	if c.isUsed(now) {
		d.Phase = connlimit.Busy
	}
	return d
}

// closeUnused closes the connection if nothing uses it, and reports whether it did. From the decision on, no
// call of it is handled.
func (c *serverConn) closeUnused(now time.Time) bool {
	c.mu.Lock()
	c.closing = c.closing || !c.isUsed(now)
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.Close()
	}
	return closing
}
