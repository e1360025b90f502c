// Package exchange sends one request to an upstream and receives its answer. It reports
// reliably whether any part of a request may have been sent, skips answers to other
// requests, and reuses connections.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/fleet/sockets"
)

const (
	// readerBytes is the size of the read buffer. It holds several events of a stream,
	// or the head of an answer.
	readerBytes = 4 << 10
	// expiryMargin is subtracted from the idle timeout that an upstream states, so that
	// the upstream does not close the connection while a request is on its way. It
	// covers a slow path and a late timer.
	expiryMargin = 500 * time.Millisecond
)

// Options configure a [Pool].
type Options struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// MaxIdle is how long an idle connection is kept.
	MaxIdle time.Duration
	// MaxIdleConns returns how many idle connections are kept. If it is nil, all are.
	MaxIdleConns func() int
	// Dialect interprets the answers.
	Dialect Dialect
	// Opened is called after each connection that was opened. It may be nil.
	Opened func()
	// ClosedByPeer is called when the upstream has closed or refused a connection; its process
	// may have ended. It may be nil.
	ClosedByPeer func()
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

// Addr returns the address.
func (p *Pool) Addr() string { return p.addr }

// Close closes the idle connections. Connections in use are closed when they are
// released.
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

// CloseIdle closes the idle connections. It is called after a connection was found silent:
// the path has probably lost the state of the others too.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// connect returns the most recently used idle connection that is usable, or a new one.
// openedBy is as in [Request].
func (p *Pool) connect(ctx context.Context, newConn bool, openedBy time.Time) (*conn, error) {
	for !newConn {
		c := p.takeIdle(openedBy)
		if c == nil {
			break
		}
		if c.usable(time.Now(), p.opt.MaxIdle) {
			c.reused = true
			return c, nil
		}
		p.closedByPeer() // most connections that can't be used any more were closed
		_ = c.Close()
	}
	if !openedBy.IsZero() && time.Now().After(openedBy) {
		return nil, ErrTooNew
	}
	return p.open(ctx)
}

func (p *Pool) closedByPeer() {
	if p.opt.ClosedByPeer != nil {
		p.opt.ClosedByPeer()
	}
}

// Preconnect opens a connection and keeps it for a later request.
func (p *Pool) Preconnect(ctx context.Context) error {
	c, err := p.open(ctx)
	if err != nil {
		return err
	}
	p.put(c, 0)
	return nil
}

// takeIdle returns the most recently used idle connection that was opened by a time, or nil.
func (p *Pool) takeIdle(openedBy time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if openedBy.IsZero() || !c.openedAt.After(openedBy) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opt.ConnectTimeout)
	defer cancel()
	raw, err := p.opt.Dial(ctx, "tcp", p.addr)
	if err != nil {
		if !errors.Is(err, sockets.ErrNotTried) {
			p.closedByPeer()
		}
		return nil, err
	}
	if p.opt.Opened != nil {
		p.opt.Opened()
	}
	kept := sockets.KeepFailures(raw)
	head := &headLimit{Reader: kept}
	return &conn{Conn: kept, socket: raw, openedAt: time.Now(), reader: bufio.NewReaderSize(head, readerBytes), head: head}, nil
}

// put makes a connection available for the next request. keepFor is the idle timeout
// that the upstream states, or zero.
func (p *Pool) put(c *conn, keepFor time.Duration) {
	now := time.Now()
	c.idleAt = now
	c.expires = time.Time{}
	if keepFor > 0 {
		c.expires = now.Add(keepFor - expiryMargin)
	}
	for _, surplus := range p.addIdle(c) {
		_ = surplus.Close()
	}
}

// addIdle adds an idle connection and returns those that are not kept, the oldest first.
func (p *Pool) addIdle(c *conn) []*conn {
	keep := math.MaxInt
	if p.opt.MaxIdleConns != nil {
		keep = p.opt.MaxIdleConns()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return []*conn{c}
	}
	p.idle = append(p.idle, c)
	n := max(len(p.idle)-keep, 0)
	surplus := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	return surplus
}
