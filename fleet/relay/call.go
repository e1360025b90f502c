package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/eventstream"
	"github.com/hazelworks/hazelworks/core/knownfault"
	"github.com/hazelworks/hazelworks/core/notrun"
	"github.com/hazelworks/hazelworks/core/origin"
	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/origins"
	fleetquarantine "github.com/hazelworks/hazelworks/fleet/quarantine"
)

var errTimeout = errors.New("the route's or the caller's time is over")

// call handles one request.
type call struct {
	r *Relay
	w http.ResponseWriter
	// hr is the request as it was received.
	hr      *http.Request
	req     *Request
	route   *routes.Route
	account *routes.Account
	table   *routes.Table
	service string
	// forwarded is true if another host has forwarded the request.
	forwarded bool
	progress  *progress
	// retried is true if the caller retries after its request was shed.
	retried bool
	// subjects are what the request may have in common with others that crash upstreams. own
	// is the one of this request and its repeats.
	subjects []quarantine.Subject
	own      quarantine.Subject
	// accountHash is the [quarantine.AccountHash] of the account.
	accountHash uint64
	flight      *fleetquarantine.Flight
	// closedByPeer is true if the upstream closed the connection during the last attempt.
	closedByPeer bool
	// lostBy is why the rest of the last attempt's answer was lost after its head, if so.
	lostBy error

	tried []string
	// staysHere is true if this host sends the request to the best upstream within its reach.
	staysHere bool
	// unreached counts the attempts in which the upstream accepted no connection.
	unreached int
	// notTried is true if this host's link was too full for the last attempt.
	notTried bool
	// runs counts the attempts in which the request may have run.
	runs        int
	reservation grants.Reservation
	// dropped is true once the request is not sent again.
	dropped bool
	// stalled is true once an attempt was ended because its answer was long overdue.
	stalled bool
	// newConn is true if the next attempt needs a new connection.
	newConn bool
	// answered is true once the caller has a complete, successful answer that is not a
	// stream.
	answered bool
	// streamed is true once the caller has a complete stream.
	streamed bool
	// status is the status of the complete answer that the caller got, or zero.
	status          int
	firstEventAfter time.Duration
	billed          record.Tokens
	// attemptStartedAt is when the answer to the current attempt started, or zero.
	attemptStartedAt time.Time
	// answerStarted is true once the caller has a part of a streamed answer.
	answerStarted bool
	// resume is the point of the stream up to which the caller has it, by this answer.
	resume eventstream.Resume
	// version is the software version that has begun the stream. Until a part of it has been
	// passed on, or if that is not certain, it is [origin.Unknown].
	version origin.Version
	// beganAt is the upstream that has begun the stream, and beganConnAt the time at which the
	// connection to it was opened.
	beganAt     catalog.Upstream
	beganConnAt time.Time
	// unsafe is why the caller may not have the answer of the last attempt, if so.
	unsafe      error
	lastEventAt time.Time
	events      int64
	// betweenEvents is the number of bytes, of comments and the like, that were passed on since the
	// last event.
	betweenEvents int
}

// maxSends bounds the attempts of one request, including those that did not run.
const maxSends = 4

func (c *call) run(ctx context.Context) {
	defer c.logEnd()
	if c.req.Work != nil {
		c.req.Work.Rank = c.urgency()
	}
	if limit := c.timeout(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, c.req.Arrived.Add(limit), errTimeout)
		defer cancel()
	}
	c.own, c.accountHash = c.requestSubject()
	c.subjects = append(c.req.Work.Subjects(), c.own)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.progress.cancel.Store(&cancel)
	// Checked after Store, so that an end that comes meanwhile is not missed.
	if c.r.ended.Load() {
		cancel(errHostEnds)
		c.giveUp(ctx, errHostEnds)
		return
	}
	c.flight = c.r.opt.Quarantine.Enter(c.subjects, c.accountHash, cancel)
	defer c.flight.Leave()
	// Checked after Enter, so that a quarantine that begins meanwhile is not missed.
	if err := c.r.opt.Quarantine.Check(c.subjects, c.accountHash); err != nil {
		c.giveUp(ctx, err)
		return
	}
	if c.r.opt.Balancer.CutOff(c.service) {
		if c.forwarded {
			c.refuseUnreached()
			return
		}
		if c.forward(ctx, "this host reaches no upstream") {
			return
		}
	}
	if err := c.checkSize(); err != nil {
		c.refuseBudget(ctx, err)
		return
	}
	if err := c.reserve(ctx); err != nil {
		c.refuseBudget(ctx, err)
		return
	}
	defer c.settle()
	if err := c.findOrigin(ctx); err != nil {
		c.giveUp(ctx, err)
		return
	}
	last := resultNotSent
	for sends := 0; sends < maxSends; sends++ {
		if ctx.Err() != nil {
			break
		}
		if err := c.r.opt.Quarantine.Check(c.subjects, c.accountHash); err != nil {
			c.giveUp(ctx, err)
			return
		}
		if c.unreached > 0 && c.runs == 0 && c.r.opt.Balancer.CutOff(c.service) {
			break
		}
		c.r.opt.Balancer.AwaitRoom(ctx, c.service, c.query(), c.roomWait())
		c.staysHere = c.staysHere || c.forwarded || c.runs > 0 || c.answerStarted
		lease, err := c.r.opt.Balancer.Pick(c.service, c.query(), last != resultNotSent, c.admit)
		if errors.Is(err, errElsewhere) {
			if c.forward(ctx, err.Error()) {
				return
			}
			c.staysHere = true
			continue
		}
		if err != nil {
			c.giveUp(ctx, err)
			return
		}
		sentBefore := slices.Contains(c.tried, lease.Upstream.ID)
		c.tried = append(c.tried, lease.Upstream.ID)
		c.r.meters.observeWait(c.service, lease.Wait)
		c.r.opt.Shares.Record(c.service, c.accountName(), lease.Room())
		if sends > 0 {
			c.r.meters.retries.Inc(1)
		}
		if c.resume.ID != "" {
			c.r.meters.resumes.Inc(1)
		}
		// A late copy of an earlier rejection has the request's ID too.
		c.newConn = c.stalled || sentBefore
		last = c.send(ctx, lease)
		if last == resultAnswered {
			return
		}
		if last == resultWithheld {
			c.giveUp(ctx, c.unsafe)
			return
		}
		if c.notTried && c.runs == 0 {
			c.giveUp(ctx, errLinkFull)
			return
		}
		if !c.mayRetry(last) {
			break
		}
		if err := errors.Join(c.confirmResume(), c.confirmVersion()); err != nil {
			c.giveUp(ctx, err)
			return
		}
	}
	if c.unreached == 0 || c.runs > 0 || ctx.Err() != nil {
		c.giveUp(ctx, errNotAccepted)
		return
	}
	if c.forwarded {
		c.refuseUnreached()
		return
	}
	if !c.r.opt.Balancer.OthersReach(c.service) {
		c.giveUp(ctx, errNotAccepted)
		return
	}
	c.settle() // the other host reserves the cost anew
	if !c.forward(ctx, "no upstream was within reach") {
		c.giveUp(ctx, errNotAccepted)
	}
}

// errNotAccepted reports that no upstream accepted a request.
var errNotAccepted = errors.New("no upstream accepted the request")

// errLinkFull reports that this host's link is too full to reach an upstream.
var errLinkFull = errors.New("this host's link is full")

// roomWaitShare is the part of the route's latency objective for which a request waits at this
// host for room at an upstream.
const roomWaitShare = 0.5

// roomWait returns how long the request waits for room at an upstream.
func (c *call) roomWait() time.Duration {
	return time.Duration(roomWaitShare*float64(c.route.Objective)) - time.Since(c.req.Arrived)
}

// forwardGain is the least gain for which a request is forwarded to a host that reaches more
// upstreams.
const forwardGain = 30 * time.Millisecond

// errElsewhere reports that another host can send the request to a better upstream.
var errElsewhere = errors.New("an upstream out of reach is better")

// admit sheds the request if the chosen upstream would start on it too late. A request that can
// be sent at once is not shed if it was sent before, or if a plain upstream runs it at once.
func (c *call) admit(choice balance.Choice) error {
	if choice.Elsewhere > forwardGain && !c.staysHere {
		return errElsewhere
	}
	if choice.Delay == 0 && (c.req.Work == nil && choice.Wait == 0 || len(c.tried) > 0) {
		return nil
	}
	remaining := c.timeout() - time.Since(c.req.Arrived)
	shed, retryAfter := admission.ShouldShed(admission.Arrival{
		Rank:        c.rank(),
		Objective:   c.route.Objective,
		Remaining:   remaining,
		Whole:       c.req.Work == nil && c.route.Kind != routes.KindStream,
		Retried:     c.retried,
		ShareFactor: c.r.opt.Shares.Factor(c.service, c.accountName(), choice.Delay+choice.Wait, c.route.Objective),
		Delay:       choice.Delay,
		Wait:        choice.Wait,
		Generate:    choice.Generate,
		Read:        choice.Read,
	}, rand.Float64())
	if !shed {
		return nil
	}
	return &balancer.ShedError{Delay: choice.Delay, Wait: choice.Wait, Read: choice.Read, Generate: choice.Generate, Remaining: remaining, RetryAfter: retryAfter}
}

// errTooLong reports that a prompt fits into the memory of no upstream, also later.
var errTooLong = errors.New("the prompt is longer than the memory of any upstream")

// checkSize finds requests that can't be served at any time, so that nothing is reserved, claimed or
// borrowed for them. The error is a [*grants.RefusedError] or errTooLong.
func (c *call) checkSize() error {
	if c.metered() && c.maxCost() > c.account.Prepaid {
		// By settings that may be out of date, nothing is refused for good.
		unconfirmed := !c.r.opt.SettingsConfirmed()
		return &grants.RefusedError{Budget: escrow.BudgetOf(c.account.Name), Wanted: c.maxCost(), Available: c.account.Prepaid, Unreachable: unconfirmed, Outage: unconfirmed}
	}
	svc := c.table.Service(c.service)
	if svc != nil && svc.Engine != nil && svc.Engine.CacheTokens > 0 && c.req.Input > record.Tokens(svc.Engine.CacheTokens) {
		return errTooLong
	}
	return nil
}

// metered reports whether the request is paid for from a budget.
func (c *call) metered() bool { return c.account != nil && c.account.Metered && c.req.Work != nil }

// maxCost returns the most that the request can cost.
func (c *call) maxCost() record.Tokens { return c.req.Input.Plus(c.req.MaxOutput) }

// reserveWait bounds the wait for a reservation. It allows for a few calls to the log.
const reserveWait = 500 * time.Millisecond

// reserve reserves the maximum cost of the request: its input and the longest answer
// that it may get.
func (c *call) reserve(ctx context.Context) error {
	if !c.metered() {
		return nil
	}
	began := time.Now()
	defer func() { c.r.meters.reserve.Update(time.Since(began).Microseconds()) }()
	res, err := c.r.opt.Reserver.Reserve(ctx, escrow.BudgetOf(c.account.Name), 0, c.maxCost(), reserveWait)
	if err != nil {
		return err
	}
	c.reservation = res
	return nil
}

// settle settles the reservation with the cost of what was delivered.
func (c *call) settle() {
	if c.reservation == nil {
		return
	}
	reservation := c.reservation
	c.billed = c.cost()
	reservation.Settle(c.billed)
	c.reservation = nil
	c.r.log.Info("Request settled.", "request", c.req.ID, "budget", c.account.Name, "reserved", reservation.Amount(),
		"cost", c.billed, "runs", c.runs, "events", c.events)
}

// cost returns the cost of the request in tokens: the input, counted once for all
// attempts, and the output that was delivered. If nothing was delivered the cost is
// zero, whatever the upstreams did for the request. A complete stream without an event
// was delivered.
func (c *call) cost() record.Tokens {
	switch {
	case c.answered && c.events == 0:
		return c.reservation.Amount() // not a stream, so its length in tokens is not known
	case c.streamed && c.events == 0:
		return c.req.Input
	case c.events == 0:
		return 0
	}
	output := min(c.req.MaxOutput, record.Tokens(c.eventTokens()).Times(uint64(c.events)))
	return c.req.Input.Plus(output)
}

func (c *call) eventTokens() int64 {
	if svc := c.table.Service(c.service); svc != nil && svc.Engine != nil {
		return svc.Engine.EventTokens
	}
	return 1
}

// refuse ends the request with an error answer from this host.
func (c *call) refuse(f refusal) {
	if status := notrun.Status(f.status, c.runs > 0); status != f.status {
		f = refusal{status: status, reason: f.reason}
	}
	c.status = f.status
	c.r.refuse(c.w, c.req, f)
}

func (c *call) refuseBudget(ctx context.Context, err error) {
	var refused *grants.RefusedError
	switch {
	case !errors.As(err, &refused):
		c.giveUp(ctx, err)
	case refused.Unreachable:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: c.budgetRetryAfter(refused)})
	default:
		c.refuse(refusal{status: http.StatusPaymentRequired, reason: err.Error()})
	}
}

// logEnd logs the outcome of the request and updates the metrics.
func (c *call) logEnd() {
	took := time.Since(c.req.Arrived)
	c.r.meters.observeRequest(c.service, c.status, took)
	account := c.accountName()
	failed := c.status == 0 || c.status >= http.StatusBadRequest
	c.r.logFor(failed).Info("Request ended.", "request", c.req.ID, "account", account, "route", c.route.Name, "service", c.service,
		"table", c.table.Version, "status", c.status, "took", took, "first", c.firstEventAfter, "runs", c.runs, "events", c.events,
		"cost", c.billed)
}

// timeout returns the limit on the request's duration, the shorter of the route's and the
// caller's timeout. Zero means no limit.
func (c *call) timeout() time.Duration { return shorter(c.route.Timeout, c.req.Timeout) }

// shorter returns the shorter of two limits, of which zero is none.
func shorter(a, b time.Duration) time.Duration {
	if b > 0 && (a == 0 || b < a) {
		return b
	}
	return a
}

// budgetRetryAfter returns the time after which a caller retries whose tokens could
// not be claimed.
func (c *call) budgetRetryAfter(refused *grants.RefusedError) time.Duration {
	if !refused.Outage {
		return startRetryAfter
	}
	return admission.RetryAfterOutage(c.timeout()-time.Since(c.req.Arrived), rand.Float64())
}

// maySendAgain reports whether the request may be sent again although the caller has a part of the answer
// to the attempt in progress.
func (c *call) maySendAgain() bool {
	return knownfault.RepeatUnsafe || c.route.Kind == routes.KindStream && c.route.Repeatable() && c.runs < c.route.Attempts
}

// dropBody gives up the request's body once it is not sent again.
func (c *call) dropBody() {
	if !c.dropped {
		c.dropped = true
		c.req.body.release()
	}
}

func (c *call) mayRetry(result sendResult) bool {
	switch result {
	case resultNotSent, resultNotRun:
		return true
	}
	if c.dropped || c.answerStarted && c.route.Kind != routes.KindStream {
		return false
	}
	if knownfault.RepeatUnsafe {
		return true
	}
	return c.route.Repeatable() && c.runs < c.route.Attempts
}

// giveUp ends a request that has no complete answer. It cuts the connection if the
// answer has started or the caller has left.
func (c *call) giveUp(ctx context.Context, reason error) {
	cause := context.Cause(ctx)
	retryAfter := startRetryAfter
	var shed *balancer.ShedError
	var paused *balancer.PausedError
	var quarantined *fleetquarantine.Error
	if errors.Is(cause, fleetquarantine.ErrQuarantined) {
		reason = c.r.opt.Quarantine.Check(c.subjects, c.accountHash)
		if reason == nil {
			reason = cause
		}
	}
	switch {
	case errors.As(reason, &shed):
		retryAfter = shed.RetryAfter
	case errors.As(reason, &paused):
		retryAfter = paused.RetryAfter
	case errors.As(reason, &quarantined):
		retryAfter = quarantined.Remaining
	case errors.Is(reason, balancer.ErrFull), errors.Is(reason, balancer.ErrEmptied), errors.Is(reason, errLinkFull):
		retryAfter = admission.RetryAfterOutage(c.timeout()-time.Since(c.req.Arrived), rand.Float64())
	case errors.Is(reason, errTooLong):
		retryAfter = 0 // it won't fit later either
	case errors.Is(reason, origins.ErrUnknown), errors.Is(reason, balancer.ErrNoVersion):
		c.r.meters.notResumed.Inc(1)
		retryAfter = 0 // it won't be possible later either
	}
	switch {
	case c.answerStarted:
		c.r.log.Info("Answer cut.", "request", c.req.ID, "events", c.events, "reason", reason.Error())
		panic(http.ErrAbortHandler)
	case cause != nil && !errors.Is(cause, errTimeout) && !errors.Is(cause, errHostEnds) && !errors.Is(cause, fleetquarantine.ErrQuarantined):
		c.r.log.Info("Caller gone.", "request", c.req.ID)
		panic(http.ErrAbortHandler)
	case errors.Is(reason, fleetquarantine.ErrQuarantined):
		c.r.meters.quarantined.Inc(1)
		c.refuse(c.quarantineRefusal(reason, retryAfter))
	case c.runs == 0:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason.Error(), retryAfter: retryAfter})
	case cause != nil:
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: cause.Error()})
	default:
		c.refuse(refusal{status: http.StatusBadGateway, reason: "answer lost"})
	}
}
