package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of an in-memory connection.
type Conn struct {
	network  *Network
	host     string
	peerHost string
	local    address
	remote   address
	in       *pipe
	out      *pipe
	once     sync.Once
}

func newPair(n *Network, dialer, acceptor string, local, remote address) (near, far *Conn) {
	there := newPipe(n, dialer, acceptor)
	back := newPipe(n, acceptor, dialer)
	near = &Conn{network: n, host: dialer, peerHost: acceptor, local: local, remote: remote, in: back, out: there}
	far = &Conn{network: n, host: acceptor, peerHost: dialer, local: remote, remote: local, in: there, out: back}
	return near, far
}

// Read reads bytes that have arrived, or waits for some.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write queues bytes for the other end and blocks while the buffer is full.
func (c *Conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close ends the connection; the other end reads what is queued, then EOF.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.out.closeWrite()
		c.in.closeRead()
		c.network.forget(c)
	})
	return nil
}

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline bounds reads; the zero time means no bound.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline bounds writes; the zero time means no bound.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

func (c *Conn) silence() {
	c.in.silence()
	c.out.silence()
}

func (c *Conn) reset() {
	c.in.reset()
	c.out.reset()
}

// pipe carries bytes in one direction.
type pipe struct {
	network *Network
	from    string
	to      string

	mu            sync.Mutex
	segments      []segment
	queued        int
	writeClosed   bool
	readClosed    bool
	broken        bool
	silent        bool
	readDeadline  time.Time
	writeDeadline time.Time
	changed       chan struct{}
}

type segment struct {
	data    []byte
	arrives time.Time
	eof     bool
}

func newPipe(n *Network, from, to string) *pipe {
	return &pipe{network: n, from: from, to: to, changed: make(chan struct{})}
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		passable, healed := p.network.passable(p.from, p.to)
		n, next, changed, err := p.tryRead(b, passable)
		if n > 0 || err != nil {
			return n, err
		}
		waitUntil(next, changed, healed)
	}
}

// tryRead returns bytes, or the time at which to look again.
func (p *pipe) tryRead(b []byte, passable bool) (int, time.Time, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.readClosed:
		return 0, time.Time{}, nil, net.ErrClosed
	case p.broken:
		return 0, time.Time{}, nil, syscall.ECONNRESET
	case expired(p.readDeadline, now):
		return 0, time.Time{}, nil, os.ErrDeadlineExceeded
	}
	if len(b) == 0 {
		return 0, time.Time{}, nil, nil
	}
	if len(p.segments) == 0 || p.silent || !passable {
		return 0, p.readDeadline, p.changed, nil
	}
	head := &p.segments[0]
	if head.arrives.After(now) {
		return 0, earliest(head.arrives, p.readDeadline), p.changed, nil
	}
	if head.eof {
		return 0, time.Time{}, nil, io.EOF
	}
	n := copy(b, head.data)
	head.data = head.data[n:]
	p.queued -= n
	if len(head.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.wake()
	return n, time.Time{}, nil, nil
}

func (p *pipe) write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, next, changed, err := p.tryWrite(b[written:])
		written += n
		if err != nil {
			return written, err
		}
		if n == 0 {
			waitUntil(next, changed, nil)
		}
	}
	return written, nil
}

func (p *pipe) tryWrite(b []byte) (int, time.Time, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.writeClosed:
		return 0, time.Time{}, nil, net.ErrClosed
	case p.broken:
		return 0, time.Time{}, nil, syscall.ECONNRESET
	case p.readClosed && !p.silent:
		return 0, time.Time{}, nil, syscall.EPIPE
	case expired(p.writeDeadline, now):
		return 0, time.Time{}, nil, os.ErrDeadlineExceeded
	}
	room := p.network.opts.BufferBytes - p.queued
	if room <= 0 {
		return 0, p.writeDeadline, p.changed, nil
	}
	n := min(room, len(b))
	p.push(segment{data: append([]byte(nil), b[:n]...)}, now)
	p.queued += n
	return n, time.Time{}, nil, nil
}

func (p *pipe) push(s segment, now time.Time) {
	s.arrives = now.Add(p.network.latency(p.from, p.to))
	p.segments = append(p.segments, s)
	p.wake()
}

func (p *pipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeClosed {
		return
	}
	p.writeClosed = true
	p.push(segment{eof: true}, time.Now())
}

func (p *pipe) closeRead() {
	p.update(func() { p.readClosed = true })
}

func (p *pipe) silence() {
	p.update(func() { p.silent = true })
}

func (p *pipe) reset() {
	p.update(func() { p.broken = true })
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.update(func() { p.readDeadline = t })
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.update(func() { p.writeDeadline = t })
}

func (p *pipe) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.wake()
}

func (p *pipe) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// waitUntil blocks until a time, unless it is zero, or until a channel closes.
func waitUntil(t time.Time, changed, healed <-chan struct{}) {
	var timeout <-chan time.Time
	if !t.IsZero() {
		timer := time.NewTimer(time.Until(t))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-changed:
	case <-healed:
	case <-timeout:
	}
}

func expired(deadline, now time.Time) bool {
	return !deadline.IsZero() && !deadline.After(now)
}

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
