package member

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
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

func (m *Members) newPeerConn(addr string) *peerConn {
	httpClient := peer.NewHTTPClient(m.dial, m.opts.PeerSecret)
	return &peerConn{
		addr:   addr,
		http:   httpClient,
		client: peerpbconnect.NewPeerServiceClient(httpClient, "http://"+addr),
	}
}

// dial bounds the time to connect: the HTTP transport goes on dialing after the
// call that asked for it has ended.
func (m *Members) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return m.opts.Dial(ctx, network, addr)
}

// connectLocked makes a client for each known host and drops the others.
func (m *Members) connectLocked() {
	known := make(map[record.HostID]platform.Host)
	for _, h := range m.table.Hosts() {
		known[h.ID] = h.Host
	}
	for id, h := range known {
		if conn, ok := m.peers[id]; !ok || conn.addr != h.PeerAddr {
			m.replaceLocked(id, m.newPeerConn(h.PeerAddr))
		}
	}
	for id, conn := range m.peers {
		if _, ok := known[id]; !ok {
			conn.http.CloseIdleConnections()
			delete(m.peers, id)
		}
	}
}

// replaceLocked makes conn the way to a host. Calls over the old one end by
// themselves.
func (m *Members) replaceLocked(id record.HostID, conn *peerConn) {
	if old, ok := m.peers[id]; ok {
		old.http.CloseIdleConnections()
	}
	m.peers[id] = conn
}

// useFresh replaces a connection that has gone silent by one that answered.
func (m *Members) useFresh(id record.HostID, silent, fresh *peerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[id] != silent {
		fresh.http.CloseIdleConnections()
		return
	}
	m.replaceLocked(id, fresh)
	m.meters.replaced.Inc(1)
	m.logger.Info("replaced a silent connection", "host", id)
}

func (m *Members) conn(id record.HostID) *peerConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[id]
}

func (m *Members) closePeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.peers {
		conn.http.CloseIdleConnections()
	}
}
