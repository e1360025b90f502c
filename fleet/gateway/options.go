package gateway

import (
	"cmp"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/member"
)

// Options configures a Gateway. Limits that are zero take their defaults.
type Options struct {
	Self     record.Holder
	Settings settings.Source
	Reserver grants.Reserver
	Claimer  grants.Claimer
	Picker   dispatch.Picker
	// View finds answers that other hosts keep; nil means that there are none.
	View member.View
	// Order returns the hosts that an account's callers are sent to, best
	// first. They are asked first for answers; nil means no preference.
	Order func(account string) []record.HostID
	// Budgets answers callers who ask for their budget; nil means not served.
	Budgets BudgetReader
	// Entry is served at /v1/entry; nil means not served.
	Entry http.Handler
	// Logger is used under the name "gateway".
	Logger  logr.Logger
	Metrics metrics.Registry
	Limits  Limits
	// Jitter returns a random time below limit, for the wait before a retry;
	// nil means a uniform one.
	Jitter func(limit time.Duration) time.Duration
}

// Limits bounds memory and time.
type Limits struct {
	// Running bounds the requests that run at once.
	Running int
	// BodyBytes bounds a body of a model request, before the service is known.
	BodyBytes int64
	// BodiesBytes bounds the bodies that are held for requests in flight.
	BodiesBytes int64
	// BodyTimeout bounds the time to receive a body that is held.
	BodyTimeout time.Duration
	// ReplayBytes bounds the body of a plain call that is held for retries. A
	// longer body is streamed and the call is sent once.
	ReplayBytes int64
	// AnswerBytes bounds what is kept of one answer.
	AnswerBytes int
	// KeepFor, KeptRequests and KeptBytes bound the ended requests that are kept.
	KeepFor      time.Duration
	KeptRequests int
	KeptBytes    int
	// Tickets bounds the unused request IDs that are given out, and TicketLife
	// how long each can be used.
	Tickets    int
	TicketLife time.Duration
	// Heartbeat is the longest silence towards the caller of a stream.
	Heartbeat time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// Grace is how long a repeatable request runs on without a caller.
	Grace time.Duration
	// Attempts bounds how often a request is sent to upstreams.
	Attempts int
	// Resumes bounds the resumes of a stream that bring no new event.
	Resumes int
	// BackoffBase and BackoffMax bound the wait before a retry. The wait is
	// random between zero and the base doubled for each attempt.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// ClaimTimeout bounds the wait for a claim to be read back from the log.
	ClaimTimeout time.Duration
	// BillWait bounds the wait for a bill to reach the log before the caller is
	// told that the answer has ended.
	BillWait time.Duration
	// PeerTimeout bounds the wait for a host that is asked for an answer.
	PeerTimeout time.Duration
	// CancelTimeout bounds the call that cancels a request at an upstream.
	CancelTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	l.Running = cmp.Or(l.Running, 4096)
	l.BodyBytes = cmp.Or(l.BodyBytes, 4<<20)
	l.BodiesBytes = cmp.Or(l.BodiesBytes, 64<<20)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, 30*time.Second)
	l.ReplayBytes = cmp.Or(l.ReplayBytes, 64<<10)
	l.AnswerBytes = cmp.Or(l.AnswerBytes, 64<<10)
	l.KeepFor = cmp.Or(l.KeepFor, 2*time.Minute)
	l.KeptRequests = cmp.Or(l.KeptRequests, 16384)
	l.KeptBytes = cmp.Or(l.KeptBytes, 32<<20)
	l.Tickets = cmp.Or(l.Tickets, 16384)
	l.TicketLife = cmp.Or(l.TicketLife, 10*time.Minute)
	l.Heartbeat = cmp.Or(l.Heartbeat, 5*time.Second)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, 10*time.Second)
	l.Grace = cmp.Or(l.Grace, 10*time.Second)
	l.Attempts = cmp.Or(l.Attempts, 3)
	l.Resumes = cmp.Or(l.Resumes, 3)
	l.BackoffBase = cmp.Or(l.BackoffBase, 50*time.Millisecond)
	l.BackoffMax = cmp.Or(l.BackoffMax, 2*time.Second)
	l.ClaimTimeout = cmp.Or(l.ClaimTimeout, 5*time.Second)
	l.BillWait = cmp.Or(l.BillWait, 500*time.Millisecond)
	l.PeerTimeout = cmp.Or(l.PeerTimeout, 2*time.Second)
	l.CancelTimeout = cmp.Or(l.CancelTimeout, time.Second)
	return l
}

// Values for services whose settings leave them out.
const (
	defaultRequestTimeout = 5 * time.Minute
	defaultIdleTimeout    = 15 * time.Second
	defaultServiceBody    = 1 << 20
	defaultMaxOutput      = 4096
	defaultRefusalWait    = 2 * time.Second
)
