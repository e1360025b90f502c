package dispatch

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// Dialer opens connections to upstreams.
type Dialer = func(ctx context.Context, network, addr string) (net.Conn, error)

// CountWrites returns a dialer whose connections are of type *[Conn]. A [Probe]
// needs them to know whether a request was sent.
func CountWrites(dial Dialer) Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Probe watches one request and reports whether it may have reached the upstream.
type Probe struct {
	mu      sync.Mutex
	conns   []probedConn
	unknown bool
}

type probedConn struct {
	conn   *Conn
	before uint64
}

// WithProbe returns a context whose request is watched by the probe.
func WithProbe(ctx context.Context) (context.Context, *Probe) {
	p := &Probe{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: p.gotConn}), p
}

func (p *Probe) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := info.Conn.(*Conn)
	if !ok {
		p.unknown = true
		return
	}
	p.conns = append(p.conns, probedConn{conn: c, before: c.Writes()})
}

// NothingSent reports, after the request has failed, whether it is certain that
// no byte of it was sent or will be sent. It returns false if the request used a
// connection that doesn't count its writes.
func (p *Probe) NothingSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unknown {
		return false
	}
	for _, c := range p.conns {
		if !c.conn.Seal(c.before) {
			return false
		}
	}
	return true
}
