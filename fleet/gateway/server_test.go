package gateway

import (
	"net/http"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// newServer returns a server with the header limits of a host.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 32 << 10}
}
