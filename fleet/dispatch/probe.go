package dispatch

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// Dialer opens connections to upstreams.
type Dialer = func(ctx context.Context, network, addr string) (net.Conn, error)

// CountWrites returns a dialer whose connections are of type *[Conn], which a
// [Probe] needs for its word.
func CountWrites(dial Dialer) Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Probe watches one request and tells whether it may have reached the upstream.
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

// NothingSent tells, after the request has failed, whether it is certain that
// no byte of it has left or will leave. Connections without a count are taken
// to have sent it.
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
