package callerserver

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// newConnWait is the time for which a connection without any byte counts as one whose first
// request is on its way.
const newConnWait = 500 * time.Millisecond

// trackedConn is a caller's connection that knows whether a request has arrived. The HTTP
// server learns of a request only after it has read the head.
type trackedConn struct {
	net.Conn
	openedAt time.Time

	mu    sync.Mutex
	state http.ConnState
	// arrived is true if bytes were read since the connection was last idle.
	arrived bool
	// served is true once a request was served.
	served bool
	// closing is true once the connection is closed as idle. No request of it is handled then.
	closing bool
}

func newTrackedConn(c net.Conn) *trackedConn { return &trackedConn{Conn: c, openedAt: time.Now()} }

// Read implements net.Conn. What arrives while the connection is closed as idle is dropped; the HTTP
// server answers other errors than the end of the input with status 400.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, io.EOF
	}
	c.arrived = true
	return n, err
}

// CloseWrite closes the writing side, so that a caller reads the end of its answer before
// the connection is reset.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// begin reports whether a request may be handled, and whether it is the first one of the connection.
// A request that was read together with the one before it may find the connection closed.
func (c *trackedConn) begin() (first, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.served
	c.served, c.arrived = true, true
	return first, !c.closing
}

func (c *trackedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.arrived = false
	}
}

// closeIdle closes the connection if no request is in progress and none has arrived, and reports
// whether it did. From the decision on, no request of the connection is handled.
func (c *trackedConn) closeIdle(now time.Time) bool {
	c.mu.Lock()
	c.closing = c.closing || c.isIdle(now)
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.Close()
	}
	return closing
}

// isIdle reports whether no request is in progress and none has arrived. The caller holds mu.
func (c *trackedConn) isIdle(now time.Time) bool {
	switch {
	case c.arrived || hasUnread(c.Conn):
		return false
	case c.state == http.StateNew:
		return now.Sub(c.openedAt) >= newConnWait
	}
	return c.state == http.StateIdle
}

// hasUnread reports whether a connection has data that was not read yet. It may be called
// while another goroutine reads. It returns false if the connection is no socket.
func hasUnread(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = peekErr == nil && n > 0
	})
	return err == nil && unread
}
