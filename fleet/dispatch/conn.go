package dispatch

import (
	"net"
	"sync"
)

// BufferBytes is the size of the read and write buffers of a connection to an
// upstream. Events of a stream are smaller; larger reads and writes bypass the
// buffers.
const BufferBytes = 1 << 10

// Conn is a connection to an upstream that counts its writes, so that a [Probe]
// can report whether a request may have been sent on it.
type Conn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// NewConn wraps a connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Write writes b after it has counted the attempt. It returns [net.ErrClosed] on a
// sealed connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Writes returns the number of writes that have begun.
func (c *Conn) Writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Seal closes the connection and fails later writes if the number of writes is
// still before. It then returns true: nothing was sent since, and nothing will be.
// Otherwise it changes nothing and returns false.
func (c *Conn) Seal(before uint64) bool {
	c.mu.Lock()
	unused := c.writes == before
	if unused {
		c.sealed = true
	}
	c.mu.Unlock()
	if unused {
		_ = c.Conn.Close()
	}
	return unused
}
