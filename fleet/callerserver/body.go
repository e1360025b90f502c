package callerserver

import (
	"io"
	"net/http"
	"time"
)

// discardTimeout bounds how long a server waits for the rest of a body that the handler has not read.
const discardTimeout = time.Second

// trackedBody is a request's body that knows how long the host has waited for it.
type trackedBody struct {
	io.ReadCloser
	conn *trackedConn

	// The connection's mu guards the following.
	received int64
	waited   time.Duration
	// waitingSince is when the read in progress began, or zero.
	waitingSince time.Time
}

// receive tracks the body of a request of the connection. It returns a copy of the request: the HTTP
// server looks at the body of its own.
func (c *trackedConn) receive(r *http.Request) *http.Request {
	body := &trackedBody{ReadCloser: r.Body, conn: c}
	c.mu.Lock()
	c.body = body
	c.mu.Unlock()
	r = r.WithContext(r.Context())
	r.Body = body
	return r
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.conn.mu.Lock()
	b.waitingSince = time.Now()
	b.conn.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	b.conn.mu.Lock()
	defer b.conn.mu.Unlock()
	b.received += int64(n)
	b.waited = b.waitedAt(time.Now())
	b.waitingSince = time.Time{}
	if err == io.EOF && b.conn.body == b {
		b.conn.body = nil
	}
	return n, err
}

// waitedAt returns how long the host has waited for the body. The caller holds the connection's mu.
func (b *trackedBody) waitedAt(now time.Time) time.Duration {
	if b.waitingSince.IsZero() {
		return b.waited
	}
	return b.waited + now.Sub(b.waitingSince)
}

// endReceive is called when a handler returns. The HTTP server reads the rest of the body before it goes
// on.
func (c *trackedConn) endReceive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body == nil {
		return
	}
	now := time.Now()
	c.body.waited, c.body.waitingSince = c.body.waitedAt(now), now
	if c.readDeadline.IsZero() {
		_ = c.Conn.SetReadDeadline(now.Add(discardTimeout))
	}
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}
