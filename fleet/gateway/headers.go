package gateway

import (
	"net/http"
	"strings"
)

// Headers of callers that the gateway reads.
const (
	// HeaderIdempotencyKey is the request ID that the caller chose.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderService names the service of a model request.
	HeaderService = "Hazel-Service"
	// HeaderRepeatable is "false" on a request that must run at most once.
	HeaderRepeatable = "Hazel-Repeatable"
	// HeaderPriority is a whole number; higher is more urgent.
	HeaderPriority = "Hazel-Priority"
)

const headerPrefix = "Hazel-"

// hopByHop lists the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the headers that are passed on: those of the connection and
// the gateway's own are left out.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = append([]string(nil), values...)
		}
	}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// upstreamHeaders returns the headers of a caller for a plain service. The
// account's key stays with the gateway.
func upstreamHeaders(h http.Header) http.Header {
	out := endToEnd(h)
	out.Del("Authorization")
	out.Del("Content-Length")
	out.Del("Expect")
	out.Add("Via", "1.1 hazelworks")
	return out
}
