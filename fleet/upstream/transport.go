package upstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/heads"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

// HeaderLeaving is the response header in which an upstream reports whether it is
// leaving, "true" or "false".
const HeaderLeaving = "Hazel-Leaving"

// Time and size limits of connections to upstreams.
const (
	dialTimeout        = 2 * time.Second
	tcpKeepAlive       = 5 * time.Second
	idleConnTimeout    = 30 * time.Second
	maxIdleConns       = 64
	tlsTimeout         = 3 * time.Second
	pingAfter          = 5 * time.Second
	pingTimeout        = 3 * time.Second
	maxResponseHeaders = 64 << 10
)

func defaultDial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: tcpKeepAlive}
	return d.DialContext(ctx, network, addr)
}

// headerReport is what an upstream reports in the headers of a response.
type headerReport struct {
	load *dispatch.LoadReport
	// leaving is nil if the header is missing or not a boolean.
	leaving *bool
}

func parseHeaders(h http.Header) headerReport {
	out := headerReport{load: dispatch.LoadFromHeader(h)}
	if v, err := strconv.ParseBool(h.Get(HeaderLeaving)); err == nil {
		out.leaving = &v
	}
	return out
}

// transport is the connection pool of one upstream. Its reset replaces the
// connections while requests are in flight; these finish on the old ones.
type transport struct {
	dial      Dialer
	onHeaders func(headerReport)

	mu   sync.Mutex
	base *http.Transport
}

func newTransport(dial Dialer, onHeaders func(headerReport)) *transport {
	t := &transport{onHeaders: onHeaders}
	countWrites := dispatch.CountWrites(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return sockets.KeepFailures(c), nil
	})
	t.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return countWrites(ctx, network, addr)
	}
	t.base = t.newBase()
	return t
}

func (t *transport) newBase() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	return &http.Transport{
		DialContext:            t.dial,
		Protocols:              protocols,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		TLSHandshakeTimeout:    tlsTimeout,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaders,
		DisableCompression:     true,
		ReadBufferSize:         dispatch.BufferBytes,
		WriteBufferSize:        dispatch.BufferBytes,
	}
}

// RoundTrip sends a request and passes the report in the response's headers to
// onHeaders.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.mu.Lock()
	base := t.base
	t.mu.Unlock()
	resp, err := heads.Checked(base).RoundTrip(req)
	if err == nil {
		t.onHeaders(parseHeaders(resp.Header))
	}
	return resp, err
}

// CloseIdleConnections closes the connections without a request in flight.
func (t *transport) CloseIdleConnections() {
	t.mu.Lock()
	base := t.base
	t.mu.Unlock()
	base.CloseIdleConnections()
}

// reset makes all later requests use new connections and closes the idle ones.
func (t *transport) reset() {
	t.mu.Lock()
	old := t.base
	t.base = t.newBase()
	t.mu.Unlock()
	old.CloseIdleConnections()
}
