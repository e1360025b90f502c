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
	delay                        time.Duration
	dropToTarget, dropFromTarget bool
	refuse                       bool
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
		inbound, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(inbound)
	}
}

func (p *proxy) handle(inbound net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	outbound, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || refuse {
		reset(inbound)
		if err == nil {
			reset(outbound)
		}
		return
	}
	p.mu.Lock()
	p.conns[inbound] = outbound
	p.mu.Unlock()
	go p.forward(outbound, inbound, func() bool { return p.dropToTarget })
	p.forward(inbound, outbound, func() bool { return p.dropFromTarget })
	p.mu.Lock()
	delete(p.conns, inbound)
	p.mu.Unlock()
}

// forward copies from one end to the other until either closes. The close is passed on.
func (p *proxy) forward(to, from net.Conn, shouldDrop func() bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		drop, delay := shouldDrop(), p.delay
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

// resetConns resets the open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for inbound, outbound := range p.conns {
		reset(inbound)
		reset(outbound)
	}
}

// setFaults changes what goes wrong.
func (p *proxy) setFaults(f func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

// clearFaults ends all faults. Connections that were silenced stay dead.
func (p *proxy) clearFaults() {
	p.setFaults(func(p *proxy) {
		if p.dropToTarget || p.dropFromTarget {
			for inbound, outbound := range p.conns {
				_ = inbound.Close()
				_ = outbound.Close()
			}
		}
		p.delay, p.dropToTarget, p.dropFromTarget, p.refuse = 0, false, false, false
	})
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConns()
}
