package callerserver

import (
	"errors"
	"os"
	"time"
)

// WithWriteStall bounds how long a caller may take nothing of its answer. A caller that reads slowly may go
// on.
func WithWriteStall(d time.Duration) Option { return func(s *Server) { s.writeStall = d } }

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.writeStall <= 0 {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		final, err := c.boundWrite(time.Now())
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if final || n == 0 || written == len(p) || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// boundWrite sets when a write fails that makes no progress. It reports whether that is the deadline that
// was set for all of it.
func (c *trackedConn) boundWrite(now time.Time) (final bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := now.Add(c.writeStall)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(until) {
		until, final = c.writeDeadline, true
	}
	return final, c.Conn.SetWriteDeadline(until)
}

// SetWriteDeadline implements net.Conn.
func (c *trackedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *trackedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}
