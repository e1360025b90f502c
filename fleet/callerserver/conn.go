package callerserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/core/connlimit"
)

// newConnWait is the time for which a connection without any byte counts as one whose first
// request is on its way.
const newConnWait = 500 * time.Millisecond

// trackedConn is a caller's connection that knows whether a request has arrived. The HTTP
// server learns of a request only after it has read the head.
type trackedConn struct {
	net.Conn
	// raw is the socket of the connection, or nil if it is none.
	raw syscall.RawConn
	// counter is nil if nobody counts what is read.
	counter  readCounter
	openedAt time.Time
	address  netip.Addr
	// writeStall bounds how long a write may make no progress. Zero means no bound.
	writeStall time.Duration

	mu    sync.Mutex
	state http.ConnState
	// since is when the state began; in an idle one, when the first bytes of a request arrived.
	since time.Time
	// writeDeadline is the deadline that the server or a handler has set. It may be zero.
	writeDeadline time.Time
	// readDeadline is the deadline that the server or a handler has set. It may be zero.
	readDeadline time.Time
	// body is the body of the request that is handled, until it has arrived. It may be nil.
	body *trackedBody
	// ended is true once the writing side is closed.
	ended bool
	// arrived is true if bytes were read since the connection was last idle.
	arrived bool
	// waiting is true while the HTTP server waits for bytes of the next request. Until then its buffer may
	// hold some that came with the request before.
	waiting bool
	// bufferSize is the size of the HTTP server's buffer in bytes, or zero before the first read.
	bufferSize int
	// served is true once a request was served.
	served bool
	// retired is true once limits are in force that allow more than those of the connection. It is closed
	// after its next answer.
	retired bool
	// closing is true once the server has decided to close the connection. No request of it is
	// handled then.
	closing bool
}

// readCounter is a connection that counts what is read from it. Reads from its socket pass it by.
type readCounter interface{ CountRead(n int) }

func newTrackedConn(c net.Conn) *trackedConn {
	now := time.Now()
	tracked := &trackedConn{Conn: c, openedAt: now, since: now}
	if sys, ok := c.(syscall.Conn); ok {
		tracked.raw, _ = sys.SyscallConn() // a connection that is closed is read in the usual way
	}
	tracked.counter, _ = c.(readCounter)
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		tracked.address = tcp.AddrPort().Addr()
	}
	return tracked
}

// Read implements net.Conn. What arrives once the server has decided to close the connection is not read,
// so that closing resets the connection and its caller knows that its request wasn't read. The HTTP server
// answers other errors than the end of the input with status 400.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.raw == nil {
		return c.readInMemory(p)
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closing {
			readErr = io.EOF
			return true
		}
		c.noteBuffered(len(p))
		if c.endsRetired() {
			readErr = io.EOF
			return true
		}
		n, readErr = readOnce(int(fd), p)
		c.waiting = errors.Is(readErr, syscall.EAGAIN)
		if n > 0 {
			c.noteArrival()
		}
		return !c.waiting
	})
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr):
		return 0, c.readError(opErr.Err)
	case err != nil:
		return 0, c.readError(err)
	case readErr == nil && n == 0 && len(p) > 0, readErr == io.EOF:
		return 0, io.EOF
	case readErr != nil:
		return 0, c.readError(os.NewSyscallError("read", readErr))
	}
	if c.counter != nil {
		c.counter.CountRead(n)
	}
	return n, nil
}

// readError returns an error as [net.TCPConn] returns it. The HTTP server looks at the name of the operation.
func (c *trackedConn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// readOnce reads what a socket has, without waiting for more.
func readOnce(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// readInMemory reads from a connection that is no socket, where what arrives at the moment of the close is
// dropped.
func (c *trackedConn) readInMemory(p []byte) (int, error) {
	c.mu.Lock()
	c.noteBuffered(len(p))
	c.waiting = true
	ends := c.endsRetired()
	c.mu.Unlock()
	if ends {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if n == 0 {
		return n, err
	}
	if c.closing {
		return 0, io.EOF
	}
	c.noteArrival()
	return n, err
}

// noteBuffered notes that a request has begun to arrive if the HTTP server reads less than its buffer
// holds, as it does with bytes of that request in the buffer. The caller holds mu.
func (c *trackedConn) noteBuffered(read int) {
	if c.state == http.StateNew && c.bufferSize == 0 {
		c.bufferSize = read
	}
	if c.state == http.StateIdle && read < c.bufferSize {
		c.noteArrival()
	}
}

// noteArrival notes that bytes of a request were read. The caller holds mu.
func (c *trackedConn) noteArrival() {
	if c.state == http.StateIdle && !c.arrived {
		c.since = time.Now()
	}
	c.arrived = true
}

// CloseWrite closes the writing side, so that a caller reads the end of its answer before
// the connection is reset.
func (c *trackedConn) CloseWrite() error {
	c.mu.Lock()
	c.ended, c.since = true, time.Now()
	c.mu.Unlock()
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
	if state != http.StateNew {
		c.since = time.Now()
	}
	if state == http.StateIdle {
		c.arrived, c.waiting, c.body = false, false, nil
	}
}

// retire has the connection closed after its next answer or once it is idle, and reports whether it was
// closed at once.
func (c *trackedConn) retire(now time.Time) bool {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	return c.closeIdle(now)
}

// endsRetired reports whether the connection is closed now because it is retired and the server is about to
// read the head of its next request, or the rest of it. That is not read then: it might be denied by limits
// that are not in force any more. The caller holds mu.
func (c *trackedConn) endsRetired() bool {
	c.closing = c.closing || c.retired && c.state == http.StateIdle
	return c.closing
}

func (c *trackedConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
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
	case c.arrived || c.hasUnread():
		return false
	case c.state == http.StateNew:
		return now.Sub(c.openedAt) >= newConnWait
	}
	return c.state == http.StateIdle && c.waiting
}

// hasUnread reports whether the connection has data that was not read yet. It returns false if the
// connection is no socket. The caller holds mu, so that nothing is read meanwhile.
func (c *trackedConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	unread := false
	err := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = peekErr == nil && n > 0
	})
	return err == nil && unread
}

// describe returns what decides whether the connection yields to others.
func (c *trackedConn) describe(now time.Time) connlimit.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := connlimit.Conn{Phase: c.phase(), Since: c.since, Address: c.address}
	if d.Phase == connlimit.Receiving {
		d.Since = now.Add(-connlimit.Lateness(c.body.waitedAt(now), c.body.received))
	}
	return d
}

// phase returns what the connection is used for. The caller holds mu.
func (c *trackedConn) phase() connlimit.Phase {
	switch {
	case c.ended:
		return connlimit.Ended
	case c.body != nil:
		return connlimit.Receiving
	case c.state == http.StateActive, c.state == http.StateIdle && !c.arrived && !c.waiting:
		return connlimit.Busy
	case c.state == http.StateIdle && !c.arrived:
		return connlimit.Idle
	}
	return connlimit.Unfinished
}

// yield closes the connection if it is still in a phase and nothing has arrived that was not read, or in
// any case with interrupt set, and reports whether it did. As with closeIdle, no request of the
// connection is handled then.
func (c *trackedConn) yield(phase connlimit.Phase, interrupt bool) bool {
	c.mu.Lock()
	waits := phase == connlimit.Idle || phase == connlimit.Unfinished
	c.closing = c.closing || interrupt || c.phase() == phase && !(waits && c.hasUnread())
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.Close()
	}
	return closing
}
