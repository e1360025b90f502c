package host

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// sendPart sends a part of a request's head over a connection of its own. The returned function sends the rest and
// reads the answer's head.
func sendPart(f *testFleet, h *testHost, part, rest string) func() (*http.Response, error) {
	conn, err := f.net.Dialer("caller")(f.t.Context(), "tcp", h.cfg.Listen.Caller.String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, part)
	require.NoError(f.t, err)
	return func() (*http.Response, error) {
		if _, err := io.WriteString(conn, rest); err != nil {
			return nil, err
		}
		return http.ReadResponse(bufio.NewReader(conn), nil)
	}
}

func requireRefusedAsNotRun(t *testing.T, resp *http.Response, err error) {
	t.Helper()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get("Hazel-Outcome"))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// headOf returns the head of a chat request with a body.
func headOf(id, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
		testKey, id, len(body))
}

// A stream of 60 s is asked for when callers were to use other hosts, and 15 s before the end of the stop. It
// is refused before it is cut; a request that can be answered in time is answered.
func TestRequestsThatOutlastTheStopAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		h := f.hosts[0]
		body := `{"model":"cut","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"tokens=300"}]}`
		short := strings.ReplaceAll(body, "300", "3")
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		go func() { _ = h.Shutdown(ctx) }()
		time.Sleep(time.Second)
		time.Sleep(time.Until(h.entry.AnswersExpireAt()) - time.Second)
		late := sendPart(f, h, headOf("late", body), body)
		soon := sendPart(f, h, strings.Replace(headOf("soon", short), "Host: h", "Host: h\r\nHazel-Deadline-Ms: 5000", 1), short)
		time.Sleep(3 * time.Second)
		resp, err := late()
		requireRefusedAsNotRun(t, resp, err)
		resp, err = soon()
		require.NoError(t, err)
		text, answered := readTokens(resp, 0)
		require.True(t, answered)
		require.Equal(t, wantedText("soon", 0, 3), text)
		for _, run := range f.engine.Runs() {
			require.NotContains(t, run.RequestID, "late")
		}
	})
}

// The body of a request hasn't arrived whole as the stop ends. The request is refused, not cut.
func TestRequestsThatStillWaitAtTheEndOfTheStopAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		h := f.hosts[0]
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		go func() { _ = h.Shutdown(ctx) }()
		time.Sleep(10 * time.Second)
		resp, err := sendPart(f, h, headOf("r1", strings.Repeat(" ", 100)), "{")()
		requireRefusedAsNotRun(t, resp, err)
	})
}
