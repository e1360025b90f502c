package gateway

import (
	"net/http"
	"strings"
)

// Headers that the gateway reads from callers.
const (
	// HeaderIdempotencyKey is the request ID chosen by the caller.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderService names the service of a model request.
	HeaderService = "Hazel-Service"
	// HeaderRepeatable is "false" on a request that must run at most once.
	HeaderRepeatable = "Hazel-Repeatable"
	// HeaderPriority is an integer; a higher one is more urgent.
	HeaderPriority = "Hazel-Priority"
)

const headerPrefix = "Hazel-"

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the headers without those of the connection and those of the
// gateway.
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
// account's key is not passed on.
func upstreamHeaders(h http.Header) http.Header {
	out := endToEnd(h)
	out.Del("Authorization")
	out.Del("Content-Length")
	out.Del("Expect")
	out.Add("Via", "1.1 hazelworks")
	return out
}
