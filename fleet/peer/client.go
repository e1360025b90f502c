package peer

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

const (
	// A connection that stays quiet this long is probed by an HTTP/2 ping.
	pingAfter = time.Second
	// A ping without an answer for this long closes the connection.
	pingTimeout     = 1500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
)

// NewHTTPClient returns a client for peer addresses that sends the secret with
// each call. Connections that go silent are found by HTTP/2 pings.
func NewHTTPClient(dial DialFunc, secret string) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:     dial,
		Protocols:       protocols,
		IdleConnTimeout: idleConnTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	return &http.Client{Transport: &authTransport{next: transport, header: bearer(secret)}}
}

// NewServer returns the server of a peer address.
func NewServer(handler http.Handler, headerTimeout time.Duration) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
}

type authTransport struct {
	next   *http.Transport
	header string
}

// RoundTrip adds the secret to a copy of the request.
func (t *authTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", t.header)
	return t.next.RoundTrip(r)
}

// CloseIdleConnections closes the connections that carry no call.
func (t *authTransport) CloseIdleConnections() {
	t.next.CloseIdleConnections()
}
