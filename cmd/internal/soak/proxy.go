package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a target, and spoils them on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// conns holds both ends of each open connection.
	conns map[net.Conn]net.Conn
	// delay holds each piece back; silentTo and silentFrom swallow what goes to
	// the target and what comes from it; refuse closes new connections.
	delay                time.Duration
	silentTo, silentFrom bool
	refuse               bool
}

// newProxy listens on an address.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]net.Conn)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.open(near)
	}
}

func (p *proxy) open(near net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || refuse {
		reset(near)
		if err == nil {
			reset(far)
		}
		return
	}
	p.mu.Lock()
	p.conns[near] = far
	p.mu.Unlock()
	go p.pump(far, near, func() bool { return p.silentTo })
	p.pump(near, far, func() bool { return p.silentFrom })
	p.mu.Lock()
	delete(p.conns, near)
	p.mu.Unlock()
}

// pump copies from one end to the other until either closes. The close is passed on.
func (p *proxy) pump(to, from net.Conn, silent func() bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		drop, delay := silent(), p.delay
		p.mu.Unlock()
		if n > 0 && !drop {
			time.Sleep(delay)
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == io.EOF && drop {
			return // a close is not heard either
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// reset closes a connection so that the other end gets an error.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for near, far := range p.conns {
		reset(near)
		reset(far)
	}
}

// set changes what goes wrong.
func (p *proxy) set(f func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

// heal ends all faults. Connections that were silenced stay dead.
func (p *proxy) heal() {
	p.set(func(p *proxy) {
		if p.silentTo || p.silentFrom {
			for near, far := range p.conns {
				_ = near.Close()
				_ = far.Close()
			}
		}
		p.delay, p.silentTo, p.silentFrom, p.refuse = 0, false, false, false
	})
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}
