package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// KeepFailures returns a connection whose reader learns of each failure of the connection. Of a socket, it
// may not: the kernel reports a failure once, to the next read or write, and lets later reads find the end of
// the stream, as if the other end had closed it in order.
func KeepFailures(c net.Conn) net.Conn { return &failureKeeper{Conn: c} }

type failureKeeper struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex

	mu sync.Mutex
	// failed is the first failure that a read or a write was told of.
	failed error
}

// Read implements net.Conn. It returns io.EOF only if the other end has closed the connection in order.
func (c *failureKeeper) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if failed := c.failureAtEnd(); failed != nil {
			return n, failed
		}
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.keep(err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *failureKeeper) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && failsReads(err) {
		c.keep(err)
	}
	return n, err
}

// failsReads reports whether the error of a write means that what was read may be incomplete. EPIPE does not: the
// kernel returns it for a reset that comes after the end of the stream (tcp_reset in Linux's net/ipv4/tcp_input.c),
// and after a failure that a read was told of.
func failsReads(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

func (c *failureKeeper) keep(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = err
	}
}

// failureAtEnd returns the failure of the connection, or nil, once a read has found the end of the stream. It
// ends a write in progress, which may have been told of the failure and not have returned yet.
func (c *failureKeeper) failureAtEnd() error {
	_ = c.Conn.SetWriteDeadline(time.Now()) // an error means that the connection is closed
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}
