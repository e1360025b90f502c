package member

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

// dialTimeout bounds the opening of a connection to another host.
const dialTimeout = time.Second

// peerConn is the way to another host. Each host has an HTTP client of its own,
// so that one that has gone silent can be replaced alone.
type peerConn struct {
	addr   string
	http   *http.Client
	client peerpbconnect.PeerServiceClient
}

func (m *Members) newPeerConn(id record.HostID, addr string) *peerConn {
	httpClient := peer.NewHTTPClient(m.dial, m.opts.PeerSecret)
	reporting := &http.Client{Transport: &reportingTransport{
		next:   httpClient.Transport,
		report: func() { m.ReportFailure(id) },
	}}
	return &peerConn{
		addr:   addr,
		http:   httpClient,
		client: peerpbconnect.NewPeerServiceClient(reporting, "http://"+addr),
	}
}

// probeKey marks the contexts of probes, whose failures are not reported anew.
type probeKey struct{}

// reportingTransport reports calls that fail for want of an answer.
type reportingTransport struct {
	next   http.RoundTripper
	report func()
}

// RoundTrip sends the request.
func (t *reportingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	isProbe := r.Context().Value(probeKey{}) != nil
	if err != nil && !isProbe && !errors.Is(r.Context().Err(), context.Canceled) {
		t.report()
	}
	return response, err
}

// dial bounds the time to connect: the HTTP transport goes on dialing after the
// call that asked for it has ended.
func (m *Members) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return m.opts.Dial(ctx, network, addr)
}

// syncAddrsLocked drops the clients of hosts that are gone or have moved. Clients
// are made when they are first needed, since a host talks to few others.
func (m *Members) syncAddrsLocked() {
	addrs := make(map[record.HostID]string)
	for _, h := range m.table.Hosts() {
		addrs[h.ID] = h.PeerAddr
	}
	for id, conn := range m.conns {
		if conn.addr != addrs[id] {
			conn.http.CloseIdleConnections()
			delete(m.conns, id)
		}
	}
	m.addrs = addrs
}

// replaceConnLocked makes conn the way to a host. Calls over the old one end by
// themselves.
func (m *Members) replaceConnLocked(id record.HostID, conn *peerConn) {
	if old, ok := m.conns[id]; ok {
		old.http.CloseIdleConnections()
	}
	m.conns[id] = conn
}

// replaceSilentConn replaces a connection that has gone silent by one that answered.
func (m *Members) replaceSilentConn(id record.HostID, silent, fresh *peerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[id] != silent {
		fresh.http.CloseIdleConnections()
		return
	}
	m.replaceConnLocked(id, fresh)
	m.meters.replaced.Inc(1)
	m.logger.Info("replaced a silent connection", "host", id)
}

// conn returns the way to a host, or nil if it is not known.
func (m *Members) conn(id record.HostID) *peerConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if conn, ok := m.conns[id]; ok {
		return conn
	}
	addr, ok := m.addrs[id]
	if !ok {
		return nil
	}
	conn := m.newPeerConn(id, addr)
	m.conns[id] = conn
	return conn
}

func (m *Members) closeIdleConns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.conns {
		conn.http.CloseIdleConnections()
	}
}
