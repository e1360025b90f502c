package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// conns maps the inbound side of each open connection to its outbound side.
	conns map[net.Conn]net.Conn
	// delay delays each read before it is forwarded; dropToTarget and dropFromTarget
	// discard the data to and from the target; refuse resets new connections.
	delay                        time.Duration
	dropToTarget, dropFromTarget bool
	refuse                       bool
}

// newProxy listens on address and forwards to target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]net.Conn)}
	go p.accept(l)
	return p, nil
}

// reopen listens again after close.
func (p *proxy) reopen() error {
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.setFaults(func(p *proxy) { p.listener = l })
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		inbound, err := l.Accept()
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

// forward copies data from one side to the other until either closes, then closes
// both. While data is dropped, a close is not forwarded.
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
			return // the other side doesn't see the close either
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// reset closes a connection with a TCP reset, so that the peer gets an error.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for inbound, outbound := range p.conns {
		reset(inbound)
		reset(outbound)
	}
}

// setFaults changes the faults of the proxy under its lock.
func (p *proxy) setFaults(f func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

// clearFaults ends all faults. It closes the open connections if their data was
// dropped, since they have lost bytes.
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

// close refuses new connections and resets the open ones.
func (p *proxy) close() {
	p.setFaults(func(p *proxy) { _ = p.listener.Close() })
	p.resetConns()
}
