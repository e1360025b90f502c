package callerserver

import (
	"net/http"
	"time"
)

// LimitBodies bounds the size of requests' bodies, in bytes, and the time in which they are read.
func LimitBodies(next http.Handler, size int64, within time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			r.Body = http.MaxBytesReader(w, r.Body, size)
			// Connections of tests needn't support deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(within))
		}
		next.ServeHTTP(w, r)
	})
}
