package host

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

// slowLinks holds back what is written to connections that were accepted while new is set, once held is.
type slowLinks struct {
	new, held atomic.Bool
	waiting   atomic.Int64
	release   chan struct{}
}

type slowListener struct {
	net.Listener
	links *slowLinks
}

type slowConn struct {
	net.Conn
	links *slowLinks
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || !l.links.new.Load() {
		return c, err
	}
	return slowConn{c, l.links}, nil
}

// Write implements net.Conn.
func (c slowConn) Write(b []byte) (int, error) {
	if c.links.held.Load() {
		c.links.waiting.Add(1)
		<-c.links.release
	}
	return c.Conn.Write(b)
}

// A host stops while its answer to another host is being written, of which the last part is written after the
// handler has returned. It waits for that.
func TestStopWaitsForAnswersToHosts(t *testing.T) {
	requireAnswerAtStop(t, func(f *testFleet, h *testHost) func() error {
		ping := pingOver(f, h)
		require.NoError(f.t, ping())
		return ping
	})
}

// pingOver returns a function that pings a host as another host does, over one connection.
func pingOver(f *testFleet, h *testHost) func() error {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{DialContext: f.net.Dialer("other"), Protocols: protocols}
	f.t.Cleanup(transport.CloseIdleConnections)
	client := peerpbconnect.NewPeerServiceClient(&http.Client{Transport: transport}, "http://"+h.cfg.Listen.Peer.String())
	return func() error {
		r := connect.NewRequest(&peerpb.PingRequest{})
		r.Header().Set("Authorization", "Bearer "+testPeer)
		_, err := client.Ping(f.t.Context(), r)
		return err
	}
}

// The same with an answer to an operator.
func TestStopWaitsForAnswersToOperators(t *testing.T) {
	requireAnswerAtStop(t, func(f *testFleet, h *testHost) func() error {
		return func() error {
			resp, err := f.try(h, h.cfg.Listen.Admin, http.MethodGet, "/v1/status", testOperator, "", "")
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		}
	})
}

// requireAnswerAtStop requires that a request is answered whose answer is held back while the host stops. It is
// sent over a connection that prepare may open.
func requireAnswerAtStop(t *testing.T, prepare func(*testFleet, *testHost) (ask func() error)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		links := &slowLinks{release: make(chan struct{})}
		f.wrap = func(l net.Listener) net.Listener { return slowListener{l, links} }
		f.start(len(f.hosts))
		h := f.hosts[len(f.hosts)-1]
		time.Sleep(5 * time.Second)
		links.new.Store(true)
		ask := prepare(f, h)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- h.Shutdown(ctx) }()
		time.Sleep(8 * time.Second) // of the ten for which callers may use the host
		links.held.Store(true)
		answer := make(chan error, 1)
		go func() { answer <- ask() }()
		for links.waiting.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(writeStall - time.Second)
		close(links.release)
		require.NoError(t, <-answer)
		require.NoError(t, <-stopped)
	})
}
