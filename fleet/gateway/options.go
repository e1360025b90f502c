package gateway

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/intake"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
)

// Options configures a Gateway. Limits that are zero take their defaults.
type Options struct {
	Self     record.Holder
	Settings settings.Source
	Reserver grants.Reserver
	Claimer  grants.Claimer
	Picker   dispatch.Picker
	// View finds answers that other hosts keep; nil means that no host is asked.
	View member.View
	// PreferredHosts returns the hosts that an account's callers are directed to,
	// best first. They are asked first for answers; nil means no preference.
	PreferredHosts func(account string) []record.HostID
	// Quarantine knows the requests that crash upstreams; nil means that this host finds
	// them out by itself.
	Quarantine *quarantine.Keeper
	// Reach tells whether other hosts reach an upstream that refuses connections; nil means
	// that this host's own view has to do.
	Reach quarantine.Reach
	// Dial opens connections to see whether upstreams have crashed; without it none counts as
	// crashed.
	Dial dispatch.Dialer
	// Budgets answers the budget queries of callers; nil means not served.
	Budgets BudgetReader
	// Entry is served at /v1/entry; nil means not served.
	Entry http.Handler
	// Logger is used under the name "gateway".
	Logger  logr.Logger
	Metrics metrics.Registry
	Limits  Limits
	// Jitter returns a random duration below limit, for the delay before a retry;
	// nil means a uniform one.
	Jitter func(limit time.Duration) time.Duration
}

// Limits bounds memory and time. A field that is zero takes its default.
type Limits struct {
	// Running is the maximum number of requests that run at once.
	Running int
	// BodyBytes is the maximum size of a model request's body, in bytes. It
	// applies before the service is known.
	BodyBytes int64
	// MemoryBytes is the memory of the machine, or zero if it is not known.
	MemoryBytes int64
	// BodiesBytes is the maximum size of all buffered bodies of requests in
	// flight, in bytes. It defaults to a share of the memory.
	BodiesBytes int64
	// BodyTimeout bounds the time to receive a buffered body, and each read of
	// a streamed one.
	BodyTimeout time.Duration
	// ReplayBytes is the size, in bytes, up to which the body of a plain call is
	// buffered for retries. A longer body is streamed and the call is sent once.
	ReplayBytes int64
	// AnswerBytes bounds the part of one answer that is kept, in bytes.
	AnswerBytes int
	// KeepFor, KeptRequests and KeptBytes bound the age, the number and the
	// size in bytes of the finished requests that are kept.
	KeepFor      time.Duration
	KeptRequests int
	KeptBytes    int
	// Tickets is the maximum number of issued request IDs that are not used yet.
	// TicketLife is how long each is valid.
	Tickets    int
	TicketLife time.Duration
	// Heartbeat is the longest time without data on a stream to a caller or a
	// peer; then a ping is sent.
	Heartbeat time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// Grace is how long a repeatable request keeps running after its last caller
	// disconnected.
	Grace time.Duration
	// Attempts is the maximum number of attempts of one request.
	Attempts int
	// Resumes is the maximum number of resumes in a row that bring no new event
	// of a stream.
	Resumes int
	// BackoffBase and BackoffMax bound the delay before a retry. The delay is
	// random between zero and the base, which doubles with each attempt up to
	// the maximum.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// ClaimTimeout bounds the wait for a claim to be read back from the log.
	ClaimTimeout time.Duration
	// BillWait bounds the wait for a bill to reach the log before the end of the
	// answer is sent to the caller.
	BillWait time.Duration
	// PeerTimeout bounds the wait for the first message of a peer.
	PeerTimeout time.Duration
	// CancelTimeout bounds the call that cancels a request at an upstream.
	CancelTimeout time.Duration
}

// setDefaults sets the options that are optional.
func (o *Options) setDefaults() {
	if o.Jitter == nil {
		o.Jitter = rand.N[time.Duration]
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(quarantine.Options{
			Host: o.Self.Host, Broadcast: func(gossip.Report) {}, Logger: o.Logger, Metrics: o.Metrics,
		})
	}
}

func (l Limits) withDefaults() Limits {
	l.Running = cmp.Or(l.Running, 4096)
	l.BodyBytes = cmp.Or(l.BodyBytes, 4<<20)
	if l.BodiesBytes == 0 && l.MemoryBytes > 0 {
		l.BodiesBytes = intake.LimitsFor(l.MemoryBytes, l.BodyBytes).Total
	}
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

// Defaults of service settings that are not set.
const (
	defaultRequestTimeout = 5 * time.Minute
	defaultIdleTimeout    = 15 * time.Second
	defaultServiceBody    = 1 << 20
	defaultMaxOutput      = 4096
	defaultRefusalWait    = 2 * time.Second
)
