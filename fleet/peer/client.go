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
	// A connection without traffic is probed by an HTTP/2 ping this often. Calls
	// in progress are guarded sooner, see guardedTransport.
	pingAfter = 30 * time.Second
	// A ping without an answer for this long closes the connection.
	pingTimeout     = 1500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
)

// NewHTTPClient returns a client for peer addresses that sends the secret with
// each call. Connections that go silent are found while calls wait on them.
func NewHTTPClient(dial DialFunc, secret string) *http.Client {
	return &http.Client{Transport: newGuardedTransport(bearer(secret), dial)}
}

func newTransport(dial DialFunc) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:     dial,
		Protocols:       protocols,
		IdleConnTimeout: idleConnTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
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
