// Package dispatch defines the interface between the gateway and the upstream
// pool: the query for an upstream, the lease and the result of the attempt.
// Package fleet/upstream implements it.
package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/core/settings"
)

// Picker chooses upstreams for requests.
type Picker interface {
	// Pick waits in the fair queue of the service and leases an upstream with a
	// free slot. It returns a *RefusedError if the request is refused, and the
	// error of ctx if that ends first. Nothing is leased if it returns an error.
	Pick(ctx context.Context, q Query) (Lease, error)
}

// Query describes the request that needs an upstream.
type Query struct {
	RequestID string
	// Account has the form firm/name.
	Account string
	Firm    string
	Service *settings.Service
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// PrefixHash has one hash per leading block of the prompt. Each hash covers
	// all blocks before it too.
	PrefixHash []uint64
	// Priority is passed on to engines; higher is more urgent, 0 is usual.
	Priority int
	// Exclude lists the IDs of upstreams that were tried for this request. They
	// are used again only if no other is eligible.
	Exclude []string
	// Retry is true for each attempt after the first. The retry share of the
	// service limits the number of retries.
	Retry bool
}

// Lease is the right to send one request to an upstream.
type Lease interface {
	Upstream() settings.Upstream
	// Transport returns the connection pool of the upstream. It implements
	// CloseIdleConnections if its pool can be emptied.
	Transport() http.RoundTripper
	// Decision returns how the upstream was chosen.
	Decision() Decision
	// Done ends the lease and reports how the attempt went. Only the first
	// call takes effect.
	Done(Result)
}

// Decision explains the choice of an upstream, for the log.
type Decision struct {
	// Candidates is the number of eligible upstreams.
	Candidates int
	// Reason names the rule that decided, such as "prefix" or "least-loaded".
	Reason string
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Result reports how an attempt went.
type Result struct {
	// Err is nil if the upstream sent the complete answer.
	Err error
	// Started is true if the upstream may have started the request.
	Started bool
	// FirstByte is the time to the first byte of the answer; zero if none came.
	FirstByte time.Duration
	// Latency is the time of the whole attempt.
	Latency time.Duration
	// Status is the HTTP status; zero if no response came.
	Status int
	// Load is the load that the upstream reported with its answer, or nil.
	Load *LoadReport
	// Silent is true if the connection stopped delivering data without an error.
	Silent bool
	// Cancelled is true if the gateway ended the attempt for a reason other than
	// the upstream, such as a caller that disconnected.
	Cancelled bool
}

// Reason is the reason why no upstream was leased.
type Reason string

// Reasons of a refusal.
const (
	ReasonQueueFull    Reason = "queue-full"
	ReasonQueueTimeout Reason = "queue-timeout"
	ReasonNoneEligible Reason = "none-able"
	ReasonRetryShare   Reason = "retry-share"
	ReasonShed         Reason = "shed"
)

// RefusedError reports that no upstream was leased. The request did not run.
type RefusedError struct {
	Service string
	Reason  Reason
	// RetryAfter is the time after which the caller should retry; zero if unknown.
	RetryAfter time.Duration
	// Candidates is the number of upstreams of the service; zero if none is
	// eligible.
	Candidates int
}

// Error returns the service, the reason and the number of candidates.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s: %s, %d candidates", e.Service, e.Reason, e.Candidates)
}
