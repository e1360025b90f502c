package dispatch

import (
	"net"
	"sync"
)

// BufferBytes is the size of the read and write buffers of a connection to an
// upstream. Events of a stream are smaller, and larger reads and writes pass the
// buffers by.
const BufferBytes = 1 << 10

// Conn is a connection to an upstream that knows whether a request may have
// left on it.
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

// Write counts the attempt before any byte leaves.
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

// Writes returns the number of writes that were begun.
func (c *Conn) Writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Seal closes the connection to later writes if none was begun since the count
// was before. It returns true if so: then nothing has left and nothing will.
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
