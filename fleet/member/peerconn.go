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

// dialTimeout limits the time to open a connection to another host.
const dialTimeout = time.Second

// peerConn is the client of another host. Each host has its own HTTP client, so
// that a connection that has gone silent can be replaced without the others.
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

// probeKey marks the contexts of probes and pushes. Their failures are not passed to
// ReportFailure, which would start another probe.
type probeKey struct{}

// reportingTransport reports calls that end without a response, unless the caller
// canceled them.
type reportingTransport struct {
	next   http.RoundTripper
	report func()
}

// RoundTrip implements [http.RoundTripper].
func (t *reportingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	isProbe := r.Context().Value(probeKey{}) != nil
	if err != nil && !isProbe && !errors.Is(r.Context().Err(), context.Canceled) {
		t.report()
	}
	return response, err
}

// dial opens a connection within dialTimeout. It needs its own limit because the
// HTTP transport continues to dial after the call that needs the connection has
// ended.
func (m *Members) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return m.opts.Dial(ctx, network, addr)
}

// syncAddrsLocked updates the peer addresses from the table and drops the clients
// of hosts that are gone or have another address. New clients are created on first
// use, since a host talks to few others.
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

// replaceConnLocked uses conn for later calls to a host. Calls in flight on the old
// one run to their end.
func (m *Members) replaceConnLocked(id record.HostID, conn *peerConn) {
	if old, ok := m.conns[id]; ok {
		old.http.CloseIdleConnections()
	}
	m.conns[id] = conn
}

// replaceSilentConn replaces a connection that has gone silent with one on which the
// host answered. It does nothing if silent was replaced meanwhile.
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

// conn returns the connection to a host, or nil if the host is not known.
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
