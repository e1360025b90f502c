package relay

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/fleet/exchange"
)

// Request is a caller's request, as its front describes it. The body is opaque.
type Request struct {
	ID string
	// Target is the path and query as sent, Path the path alone.
	Target string
	Path   string
	Method string
	Host   string
	// Header holds what is passed on to an upstream.
	Header  http.Header
	Body    []byte
	HasBody bool
	// Key is the caller's key.
	Key string
	// Timeout is how long the caller waits; zero if it doesn't say.
	Timeout time.Duration
	// Work is nil for requests that ask nothing of an engine.
	Work    *balance.Work
	Arrived time.Time
	// Ignored says what of the head could not be read and is left out, or is empty.
	Ignored string
}

// Attempt is what changes from one send of a request to the next.
type Attempt struct {
	Account  string
	Upstream catalog.Upstream
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that the caller has, or empty.
	ResumeAfter string
	// FetchFrom is the address of an upstream whose cache has more of the prompt;
	// not valid if there is none.
	FetchFrom netip.AddrPort
	// Urgency is the rank among requests at the upstream; 0 is the most urgent.
	Urgency int
}

// RequestDecoder decodes callers' requests.
type RequestDecoder interface {
	// Decode reads the head of a request. An error is the caller's fault.
	Decode(r *http.Request) (*Request, error)
}

// Dialect is the language of the upstreams.
type Dialect interface {
	exchange.Dialect
	// Header returns the head of a request that is sent to an upstream.
	Header(r *Request, s Attempt) http.Header
	// NotRun tells whether an answer states that the request was not run.
	NotRun(resp *http.Response) bool
	// Genuine tells whether an answer can be an upstream's own.
	Genuine(resp *http.Response) bool
	// EventID returns the ID of an event of a stream.
	EventID(event []byte) string
}
