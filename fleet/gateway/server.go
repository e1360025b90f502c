package gateway

import (
	"net/http"
	"time"
)

// Limits of a caller's connection. Bodies and answers have their own limits.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// NewServer returns an HTTP server for callers that bounds the time and size of
// headers and the time of idle connections.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
