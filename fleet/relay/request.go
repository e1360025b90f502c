package relay

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/exchange"
)

// Request is a caller's request, as the [RequestDecoder] returns it. The body is
// opaque, and read later.
type Request struct {
	ID string
	// Target is the path and query as sent, Path the path alone.
	Target string
	Path   string
	Method string
	Host   string
	// Header holds the headers that are forwarded to an upstream.
	Header  http.Header
	HasBody bool
	// body is the body, or nil if it is empty.
	body *body
	// Key is the caller's API key.
	Key string
	// Timeout is how long the caller waits for the answer, or zero if the request does
	// not state it.
	Timeout time.Duration
	// ResumeAfter is the ID of the last event that the caller has of the stream that it takes
	// up, or empty. Resumes is the ID of the request whose answer had the first event of that
	// stream, or empty if the caller does not state it.
	ResumeAfter string
	Resumes     string
	// Work is nil for requests that use no inference engine. Its numbers are limited to what
	// estimates can reckon with.
	Work *balance.Work
	// Input and MaxOutput are the tokens of the prompt and the most tokens of the answer, as far
	// as [record.MaxTokens]. They are zero if Work is nil.
	Input     record.Tokens
	MaxOutput record.Tokens
	Arrived   time.Time
	// Ignored names the part of the head that was invalid and is ignored, or is empty.
	Ignored string
}

// Attempt holds the values that differ between the attempts of a request.
type Attempt struct {
	Account  string
	Upstream catalog.Upstream
	// Remaining is the remaining time for the answer, or zero if there is no deadline.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that the caller received, or empty.
	ResumeAfter string
	// FetchFrom is the address of an upstream whose cache has more of the prompt. It
	// is invalid if there is none.
	FetchFrom netip.AddrPort
	// Urgency ranks the request at the upstream; 0 is the most urgent.
	Urgency int
}

// RequestDecoder decodes callers' requests.
type RequestDecoder interface {
	// Decode reads the head of a request. An error means that the request is invalid.
	Decode(r *http.Request) (*Request, error)
	// Forwarded returns the headers from which another host decodes the same request, with the
	// remaining time for the answer, or zero if there is no deadline.
	Forwarded(r *http.Request, remaining time.Duration) http.Header
}

// Dialect is the upstreams' protocol.
type Dialect interface {
	exchange.Dialect
	// Header returns the headers of a request to an upstream.
	Header(r *Request, s Attempt) http.Header
	// NotRun reports whether an answer proves that the upstream with an ID, or whatever has its
	// address now, did not run the request.
	NotRun(resp *http.Response, upstreamID string) bool
	// FromUpstream reports whether an answer can come from an upstream itself.
	FromUpstream(resp *http.Response) bool
	// Notice returns what an answer states about its upstream.
	Notice(resp *http.Response) balance.Notice
}
