// Package relay answers callers' requests by forwarding them to upstreams. It
// finds the route and the account, reserves the cost, chooses an upstream, sends
// the request, retries it where that is allowed, and settles the cost. It reports
// a request as not run only if no upstream can have started it.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/eventstream"
	"github.com/hazelworks/hazelworks/core/notrun"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/logging"
	"github.com/hazelworks/hazelworks/fleet/origins"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
	"github.com/hazelworks/hazelworks/fleet/shares"
)

// Options configure a [Relay].
type Options struct {
	Decoder RequestDecoder
	Dialect Dialect
	Table   func() *routes.Table
	// SettingsAge returns the time since Table was last known to be the newest. It is negative if it
	// never was.
	SettingsAge func() time.Duration
	// SettingsConfirmed reports whether every version of Table that must be in force by now is. Otherwise
	// nothing is denied: a newer one may allow it.
	SettingsConfirmed func() bool
	Balancer          *balancer.Balancer
	Reserver          grants.Reserver
	// Takes reports whether this host begins a new request of a rank; 0 is the most urgent. It may be
	// nil: then all are begun.
	Takes func(rank int) bool
	// Quarantine knows the requests that crash upstreams.
	Quarantine *quarantine.Keeper
	// Origins knows which software version has begun each stream.
	Origins *origins.Keeper
	// Shares tells how the accounts stand against their shares. It is nil if accounts have no
	// shares.
	Shares *shares.Keeper
	// Forward tells to which other hosts requests are forwarded that this host can't send to
	// upstreams.
	Forward ForwardOptions
	// MemoryBytes is the memory of the host's machine, or zero if it is not known.
	MemoryBytes int64
	Logger      logr.Logger
	Metrics     metrics.Registry
}

// Relay is the HTTP handler for callers' requests.
type Relay struct {
	opt Options
	log logr.Logger
	// failedLog is for lines about failed requests. They have a log quota of their own.
	failedLog logr.Logger
	meters    *meters
	retries   retryDetector
	buffers   *bufferBudget
	bodies    *bodies
	helpers   *helpers
	draining  atomic.Bool
	// ending is nil while the host takes all requests.
	ending atomic.Pointer[ending]
	// ended is true once the requests that had not ended were ended.
	ended    atomic.Bool
	progress inProgress
}

// New returns a relay.
func New(opt Options) *Relay {
	log := opt.Logger.WithName("relay")
	meters := newMeters(opt.Metrics)
	return &Relay{opt: opt, log: log, failedLog: logging.Failed(log), meters: meters, retries: newRetryDetector(),
		helpers: newHelpers(opt.Forward), bodies: newBodies(opt.MemoryBytes, meters), buffers: newBufferBudget(opt.MemoryBytes)}
}

// logFor returns the logger for a line about a request, by whether it failed.
func (r *Relay) logFor(failed bool) logr.Logger {
	if failed {
		return r.failedLog
	}
	return r.log
}

// SetDraining closes each caller's connection after its next answer.
func (r *Relay) SetDraining() { r.draining.Store(true) }

// ending is when a host that leaves ends.
type ending struct{ from, end time.Time }

// SetEnd sets the time at which the host ends. Requests that have not arrived whole by a time and may last
// longer are rejected, and forwarded ones from now on: the host that forwards them has no need of this one.
func (r *Relay) SetEnd(from, end time.Time) { r.ending.Store(&ending{from, end}) }

// endsBefore reports whether the host may end before a request of which a part arrives now, and which may
// last until a time. That is zero if there is no limit.
func (r *Relay) endsBefore(deadline time.Time, forwarded bool) bool {
	e, now := r.ending.Load(), time.Now()
	return e != nil && (forwarded || !now.Before(e.from)) && (deadline.IsZero() || e.end.Before(deadline))
}

// refuseEnding returns the refusal of a request that may outlast the host.
func refuseEnding(w http.ResponseWriter, forwarded bool) refusal {
	if forwarded {
		w.Header().Set(headerUnreached, "1")
	}
	return refusal{status: http.StatusServiceUnavailable, reason: "this host ends before the request's time", retryAfter: startRetryAfter}
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) { r.serve(w, hr, false) }

// serve handles a request of a caller, which another host may have forwarded.
func (r *Relay) serve(w http.ResponseWriter, hr *http.Request, forwarded bool) {
	p := r.progress.begin(forwarded)
	defer r.progress.end(p)
	// Suppress net/http's Date header: the upstream's headers are passed on as they are.
	w.Header()["Date"] = nil
	req, err := r.opt.Decoder.Decode(hr)
	if err != nil {
		r.refuseUnread(w, hr, nil, refusal{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	req.Arrived = time.Now()
	p.id.Store(&req.ID)
	if req.Ignored != "" {
		r.log.Info("Header ignored.", "request", req.ID, "reason", req.Ignored)
	}
	table := r.opt.Table()
	if table == nil {
		reason := "no configuration yet"
		if r.opt.SettingsAge() >= 0 {
			reason = "settings older than those of other hosts"
		}
		r.refuseUnread(w, hr, req, refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: startRetryAfter})
		return
	}
	route := table.Match(req.Host, req.Path)
	if route == nil {
		r.log.Info("Request matches no route.", "request", req.ID, "path", req.Path, "table", table.Version, "confirmed_ago", r.opt.SettingsAge())
		r.refuseUnread(w, hr, req, r.denial(http.StatusNotFound, "no route", req))
		return
	}
	boundWrites(w, req.Arrived, shorter(route.Timeout, req.Timeout))
	var account *routes.Account
	if table.NeedsKey(route) {
		account = table.ByKey(req.Key)
		if account == nil {
			r.log.Info("Request has an unknown key.", "request", req.ID, "route", route.Name, "table", table.Version, "confirmed_ago", r.opt.SettingsAge())
			r.refuseUnread(w, hr, req, r.denial(http.StatusUnauthorized, "unknown key", req))
			return
		}
	}
	if r.opt.Takes != nil && !r.opt.Takes(rankOf(account, route)) {
		r.meters.overload.Inc(1)
		retryAfter := admission.RetryAfterShed(shorter(route.Timeout, req.Timeout), rand.Float64())
		r.refuseUnread(w, hr, req, refusal{status: http.StatusServiceUnavailable, reason: "this host has more requests than it can carry", retryAfter: retryAfter})
		return
	}
	limit := shorter(route.Timeout, req.Timeout)
	var deadline time.Time
	if limit > 0 {
		deadline = req.Arrived.Add(limit)
	}
	if r.endsBefore(deadline, forwarded) {
		r.refuseUnread(w, hr, req, refuseEnding(w, forwarded))
		return
	}
	if f := r.readBody(w, hr, req, table.Limits.BodyBytes, limit, accountName(account)); f.status != 0 {
		if forwarded && f.status == http.StatusServiceUnavailable {
			w.Header().Set(headerUnreached, "1")
		}
		r.refuse(w, req, f)
		return
	}
	if r.endsBefore(deadline, forwarded) {
		req.body.release()
		r.refuse(w, req, refuseEnding(w, forwarded))
		return
	}
	p.reach(stageWaiting)
	if req.ResumeAfter != "" {
		r.log.Info("Caller takes up a stream.", "request", req.ID, "resumes", req.Resumes, "after_event", req.ResumeAfter)
	}
	c := &call{r: r, w: w, hr: hr, req: req, route: route, account: account, table: table, forwarded: forwarded, progress: p, resume: eventstream.Resume{Certain: true}}
	defer c.dropBody()
	c.service = route.PickService(rand.Float64())
	// The time that a forwarded request states is what remains of another one.
	c.retried = !forwarded && r.retries.isRetry(route.Name, req.Timeout)
	c.run(hr.Context())
}

// denial returns the refusal of a request that the settings don't allow. A host that can't tell whether
// these are the newest has the caller come back.
func (r *Relay) denial(status int, reason string, req *Request) refusal {
	if r.opt.SettingsConfirmed() {
		return refusal{status: status, reason: reason}
	}
	return refusal{
		status: http.StatusServiceUnavailable, reason: reason + " in settings that may be out of date",
		retryAfter: admission.RetryAfterOutage(req.Timeout, rand.Float64()),
	}
}

// startRetryAfter is the time after which callers retry at a host that is starting.
// It needs a few calls to the log to load its configuration.
const startRetryAfter = 200 * time.Millisecond

// lingerTime is how long the rest of a refused body is awaited, so that the caller gets the answer before
// its connection is closed.
const lingerTime = 500 * time.Millisecond

// boundRest bounds the wait for the rest of a body that is not read.
func boundRest(w http.ResponseWriter, hr *http.Request) {
	if hr.Body != nil && hr.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// readBody reads the whole body, which must arrive within a time unless that is zero. The status of the
// refusal is zero if it has arrived.
func (r *Relay) readBody(w http.ResponseWriter, hr *http.Request, req *Request, limit int64, within time.Duration, account string) refusal {
	if hr.Body == nil || hr.Body == http.NoBody {
		req.HasBody = hr.Header.Get("Content-Length") == "0"
		return refusal{}
	}
	req.HasBody = true
	control := http.NewResponseController(w)
	if hr.ContentLength > r.bodies.largest(limit) {
		boundRest(w, hr)
		return refusal{status: http.StatusRequestEntityTooLarge, reason: errBodyTooLarge.Error()}
	}
	// A writer without a connection has no deadline, and none is needed there.
	bounded := within > 0 && control.SetReadDeadline(req.Arrived.Add(within)) == nil
	var err error
	req.body, err = r.bodies.read(bodySource{
		Reader: hr.Body, length: hr.ContentLength, limit: limit, account: account,
		interrupt: func() { _ = control.SetReadDeadline(time.Unix(1, 0)) },
	})
	switch {
	case err == nil:
		if bounded {
			_ = control.SetReadDeadline(time.Time{})
		}
		return refusal{}
	case errors.Is(err, errBodyTooLarge), errors.Is(err, errBodyYields):
		// The server reads some of the rest, then it closes the connection.
		w.Header().Set("Connection", "close")
		boundRest(w, hr)
		if errors.Is(err, errBodyTooLarge) {
			return refusal{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
		}
		return refusal{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: admission.RetryAfterShed(within, rand.Float64())}
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The deadline stays: the server would wait for the rest of the body.
		return refusal{status: http.StatusRequestTimeout, reason: "body"}
	}
	return refusal{status: http.StatusBadRequest, reason: "body"}
}

// refusal is an error answer from this host, not from an upstream. The reason is only
// logged. retryAfter is zero if there is no Retry-After header.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// refuseUnread refuses a request whose body was not read.
func (r *Relay) refuseUnread(w http.ResponseWriter, hr *http.Request, req *Request, f refusal) {
	boundRest(w, hr)
	r.refuse(w, req, f)
}

func (r *Relay) refuse(w http.ResponseWriter, req *Request, f refusal) {
	id := ""
	if req != nil {
		id = req.ID
	}
	r.log.Info("Request refused.", "request", id, "status", f.status, "reason", f.reason, "retry_after", f.retryAfter)
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	if notrun.States(f.status) && w.Header().Get(headerForwardID) != "" {
		w.Header().Set(headerForwardNotRun, "1")
	}
	w.Header().Set("Content-Length", "0")
	r.writeHead(w, f.status)
}

// writeHead sends the head of an answer. While the host drains, it also closes the
// connection, so that the caller connects to another host.
func (r *Relay) writeHead(w http.ResponseWriter, status int) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// Wait waits until no request is in progress. It returns the cause of ctx if ctx ends first.
func (r *Relay) Wait(ctx context.Context) error { return r.progress.wait(ctx) }
