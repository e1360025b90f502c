// Package exchange sends one request to an upstream and receives its answer. It
// tells for certain whether a request may have left, keeps answers of other
// requests apart, and reuses connections.
package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// readerBytes holds some events of a stream, or the head of an answer.
	readerBytes = 4 << 10
	// expiryMargin is taken off the idle time that an upstream states: a request
	// must not cross its close. It covers a slow path and a late timer.
	expiryMargin = 500 * time.Millisecond
)

// Options configure a [Pool].
type Options struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// MaxIdle bounds the time that a connection waits for its next request.
	MaxIdle time.Duration
	// Dialect tells what the answers mean.
	Dialect Dialect
	// Opened is called for each new connection.
	Opened func()
}

// Pool holds the connections to one upstream.
type Pool struct {
	opt  Options
	addr string

	mu     sync.Mutex
	idle   []*conn // newest last
	closed bool
}

// NewPool returns a pool for an address.
func NewPool(addr string, opt Options) *Pool {
	return &Pool{opt: opt, addr: addr}
}

// Close closes the idle connections, and the others once they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// CloseIdle closes the idle connections: one of them was found silent, and the others
// were probably forgotten by the same path.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// connect returns the connection that was used last, or a new one.
func (p *Pool) connect(ctx context.Context, newConn bool) (*conn, error) {
	for !newConn {
		c := p.takeIdle()
		if c == nil {
			return p.open(ctx)
		}
		if c.usable(time.Now(), p.opt.MaxIdle) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	return p.open(ctx)
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opt.ConnectTimeout)
	defer cancel()
	if p.opt.Opened != nil {
		p.opt.Opened()
	}
	raw, err := p.opt.Dial(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readerBytes)}, nil
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn, keepFor time.Duration) {
	now := time.Now()
	c.idleAt = now
	c.expires = time.Time{}
	if keepFor > 0 {
		c.expires = now.Add(keepFor - expiryMargin)
	}
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if closed {
		_ = c.Close()
	}
}
