package gateway

import (
	"net/http"
	"time"
)

// Bounds of a callers' connection. Bodies and answers have bounds of their own.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// NewServer returns an HTTP server for callers, with bounds on the time and
// size of headers and on idle connections.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
