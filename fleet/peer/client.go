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
	// pingAfter is the time without traffic after which a connection is checked by an
	// HTTP/2 ping. Connections with calls in flight are checked sooner, see
	// guardedTransport.
	pingAfter = 30 * time.Second
	// pingTimeout is the time without an answer to a ping after which the connection
	// is closed.
	pingTimeout = 1500 * time.Millisecond
	// idleConnTimeout is the time after which a connection without calls is closed.
	idleConnTimeout = 90 * time.Second
)

// NewHTTPClient returns a client for peer addresses that sends the secret with
// each call. Connections that go silent are detected while calls wait on them.
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
