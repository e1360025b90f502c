package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/knownfault"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/exchange"
	"github.com/hazelworks/hazelworks/fleet/grants"
)

var errTimeout = errors.New("the route's or the caller's time is over")

// call is the run of one request.
type call struct {
	r       *Relay
	w       http.ResponseWriter
	req     *Request
	route   *routes.Route
	account *routes.Account
	table   *routes.Table
	service string
	// returned is true if the caller was turned away before.
	returned bool

	tried []string
	// runs counts the sends after which the request may have run.
	runs        int
	reservation grants.Reservation
	// stalled is true once an answer was long overdue.
	stalled bool
	// answered is true once the caller has a whole success.
	answered bool
	// status is that of the whole answer that the caller got, or zero.
	status     int
	firstAfter time.Duration
	billed     record.Tokens
	// begun is true once the caller has a part of the answer.
	begun     bool
	lastEvent string
	events    int64
}

// fate tells what became of a send.
type fate int

const (
	// fateDone means that the caller has the whole answer, or an upstream's own
	// failure that is final.
	fateDone fate = iota
	// fateNotSent means that nothing has left.
	fateNotSent
	// fateNotRun means that the upstream states that it did not run it.
	fateNotRun
	// fateFailed means that the upstream answered with a failure that another
	// one may not have.
	fateFailed
	// fateLost means that the request may have run and its answer is lost.
	fateLost
)

// String names the fate in logs.
func (f fate) String() string {
	switch f {
	case fateDone:
		return "answered"
	case fateNotSent:
		return "not sent"
	case fateNotRun:
		return "not run"
	case fateFailed:
		return "failed"
	case fateLost:
		return "lost"
	}
	return "unknown"
}

// maxSends bounds the sends of one request, those included that did not run.
const maxSends = 4

func (c *call) run(ctx context.Context) {
	defer c.logEnd()
	if c.req.Work != nil {
		c.req.Work.Rank = c.rank()
	}
	if limit := c.patience(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, c.req.Arrived.Add(limit), errTimeout)
		defer cancel()
	}
	if err := c.reserve(ctx); err != nil {
		c.refuseBudget(ctx, err)
		return
	}
	defer c.settle()
	last := fateNotSent
	for sends := 0; sends < maxSends; sends++ {
		if ctx.Err() != nil {
			break
		}
		lease, err := c.r.opt.Balancer.Pick(c.service, &balance.Query{Work: c.req.Work, Exclude: c.tried}, last != fateNotSent, c.gate)
		if err != nil {
			c.giveUp(ctx, err)
			return
		}
		c.tried = append(c.tried, lease.Upstream.ID)
		c.r.meters.queued(c.service, lease.Wait)
		if sends > 0 {
			c.r.meters.repeats.Inc(1)
		}
		last = c.send(ctx, lease)
		if last == fateDone {
			return
		}
		if !c.mayRepeat(last) {
			break
		}
	}
	c.giveUp(ctx, errNotTaken)
}

// errNotTaken reports that no upstream took a request.
var errNotTaken = errors.New("no upstream took it")

// gate turns the request away if the upstream that was chosen for it would begin
// with it too late. One that has been sent before is not turned away.
func (c *call) gate(choice balance.Choice) error {
	if c.req.Work == nil || len(c.tried) > 0 {
		return nil
	}
	left := c.patience() - time.Since(c.req.Arrived)
	away, comeBack := admission.ShouldShed(admission.Arrival{
		Rank:      c.rank(),
		Objective: c.route.Objective,
		Remaining: left,
		Retried:   c.returned,
		Wait:      choice.Wait,
		Generate:  choice.Generate,
		Read:      choice.Read,
	}, rand.Float64())
	if !away {
		return nil
	}
	return &balancer.TurnedAwayError{Wait: choice.Wait, Read: choice.Read, Generate: choice.Generate, Left: left, ComeBack: comeBack}
}

// reserveWait bounds the wait for a reservation: some calls to the log.
const reserveWait = 500 * time.Millisecond

// reserve sets aside the most that the request can cost: its input, and the
// longest answer that it may get.
func (c *call) reserve(ctx context.Context) error {
	if c.account == nil || !c.account.Metered || c.req.Work == nil {
		return nil
	}
	amount := record.Tokens(c.req.Work.Input + c.req.Work.MaxOutput)
	began := time.Now()
	defer func() { c.r.meters.reserve.Update(time.Since(began).Microseconds()) }()
	res, err := c.r.opt.Reserver.Reserve(ctx, record.BudgetID(c.account.Name), 0, amount, reserveWait)
	if err != nil {
		return err
	}
	c.reservation = res
	return nil
}

// settle bills what was delivered.
func (c *call) settle() {
	if c.reservation == nil {
		return
	}
	c.billed = c.cost()
	c.reservation.Settle(c.billed)
	c.r.log.Info("Request settled.", "request", c.req.ID, "budget", c.account.Name, "reserved", c.reservation.Amount(),
		"cost", c.billed, "runs", c.runs, "events", c.events)
}

// cost is the input, once, and the output that was delivered. An answer of which
// nothing was delivered costs nothing, whatever its upstreams did for it.
func (c *call) cost() record.Tokens {
	switch {
	case c.answered && c.events == 0:
		return c.reservation.Amount() // not a stream, its length is not known
	case c.events == 0:
		return 0
	}
	output := min(c.req.Work.MaxOutput, c.events*c.eventTokens())
	return record.Tokens(c.req.Work.Input + output)
}

func (c *call) eventTokens() int64 {
	if svc := c.table.Service(c.service); svc != nil && svc.Engine != nil {
		return svc.Engine.EventTokens
	}
	return 1
}

// refuse ends the request with an answer of the host's own.
func (c *call) refuse(f refusal) {
	c.status = f.status
	c.r.refuse(c.w, c.req, f)
}

func (c *call) refuseBudget(ctx context.Context, err error) {
	var refused *grants.RefusedError
	switch {
	case !errors.As(err, &refused):
		c.giveUp(ctx, err)
	case refused.Unreachable:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: c.returnAfter(refused)})
	default:
		c.refuse(refusal{status: http.StatusPaymentRequired, reason: err.Error()})
	}
}

// logEnd writes the line that sums up the request.
func (c *call) logEnd() {
	took := time.Since(c.req.Arrived)
	c.r.meters.ended(c.service, c.status, took)
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	failed := c.status == 0 || c.status >= http.StatusBadRequest
	c.r.logFor(failed).Info("Request ended.", "request", c.req.ID, "account", account, "route", c.route.Name, "service", c.service,
		"table", c.table.Version, "status", c.status, "took", took, "first", c.firstAfter, "runs", c.runs, "events", c.events,
		"cost", c.billed)
}

// patience returns how long the caller is kept waiting; zero means no bound.
func (c *call) patience() time.Duration {
	limit := c.route.Timeout
	if p := c.req.Patience; p > 0 && (limit == 0 || p < limit) {
		limit = p
	}
	return limit
}

// returnAfter returns when a caller whose tokens could not be claimed comes back.
func (c *call) returnAfter(refused *grants.RefusedError) time.Duration {
	if !refused.Outage {
		return startRetry
	}
	return admission.RetryAfterOutage(c.patience()-time.Since(c.req.Arrived), rand.Float64())
}

func (c *call) mayRepeat(f fate) bool {
	switch f {
	case fateNotSent, fateNotRun:
		return true
	}
	if knownfault.RepeatUnsafe {
		return true
	}
	return c.route.Repeatable() && c.runs < c.route.Attempts
}

// giveUp ends a request that has no answer.
func (c *call) giveUp(ctx context.Context, reason error) {
	cause := context.Cause(ctx)
	comeBack := startRetry
	var away *balancer.TurnedAwayError
	if errors.As(reason, &away) {
		comeBack = away.ComeBack
	}
	switch {
	case c.begun:
		c.r.log.Info("Answer cut.", "request", c.req.ID, "events", c.events)
		panic(http.ErrAbortHandler)
	case cause != nil && !errors.Is(cause, errTimeout):
		c.r.log.Info("Caller gone.", "request", c.req.ID)
		panic(http.ErrAbortHandler)
	case c.runs == 0:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason.Error(), retryAfter: comeBack})
	case cause != nil:
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: cause.Error()})
	default:
		c.refuse(refusal{status: http.StatusBadGateway, reason: "answer lost"})
	}
}

// errStalled ends a send whose answer is long overdue.
var errStalled = errors.New("the upstream does not begin its answer")

// Times after which an answer is long overdue.
const (
	// stallFactor is how much longer than expected an answer may take.
	stallFactor = 3
	// stallMargin is allowed on top, for the upstream's own queue.
	stallMargin = 400 * time.Millisecond
	// stallObjectives is the number of a route's objectives that an answer of a
	// plain service may take: then it is late anyway.
	stallObjectives = 2
)

// send sends the request once and passes the answer on.
func (c *call) send(ctx context.Context, lease *balancer.Lease) fate {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lease.Watch(c.stallAfter(lease), func() {
		// The other idle connections were probably forgotten on the same path.
		lease.Conns.Drop()
		// Only a request that may run again is given another chance.
		if c.route.Repeatable() && c.runs+1 < c.route.Attempts {
			cancel(errStalled)
		}
	})
	before := c.events
	f := c.sendOnce(ctx, lease)
	lease.Paced(c.events - before)
	c.stalled = c.stalled || errors.Is(context.Cause(ctx), errStalled)
	lease.End(outcomeOf(ctx, f))
	return f
}

// stallAfter returns the time after which the answer is long overdue.
func (c *call) stallAfter(lease *balancer.Lease) time.Duration {
	if c.req.Work == nil && c.route.Objective > 0 {
		return stallObjectives * c.route.Objective
	}
	return stallFactor*(lease.Wait+lease.Read) + stallMargin
}

// outcomeOf tells what a send says about its upstream.
func outcomeOf(ctx context.Context, f fate) balance.Outcome {
	switch {
	case f == fateDone:
		return balance.Succeeded
	case f == fateNotRun:
		return balance.Refused
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		return balance.Neutral // the caller left, or its time is over
	case errors.Is(context.Cause(ctx), errStalled):
		return balance.Neutral // counted when it stalled
	}
	return balance.Failed
}

func (c *call) sendOnce(ctx context.Context, lease *balancer.Lease) fate {
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	out := &exchange.Request{
		ID:      c.req.ID,
		Method:  c.req.Method,
		Target:  c.req.Target,
		Host:    c.req.Host,
		Body:    c.req.Body,
		HasBody: c.req.HasBody,
		Fresh:   c.stalled,
		Header: c.r.opt.Dialect.Header(c.req, Sending{
			Account: account, Upstream: lease.Upstream, Left: left, ResumeAfter: c.lastEvent,
			FetchFrom: lease.FetchFrom, Urgency: c.urgency(),
		}),
	}
	began := time.Now()
	resp, err := lease.Conns.Send(ctx, out)
	f := c.receive(resp, err, lease)
	c.r.logFor(f != fateDone).Info("Request sent.", "request", c.req.ID, "service", c.service, "upstream", lease.Upstream.ID,
		"wait", lease.Wait, "read", lease.Read, "cached", lease.Cached, "fetched", lease.Fetched, "running", lease.Running, "trouble", lease.FaultCost, "took", time.Since(began), "result", f.String(), "error", errText(err))
	return f
}

// Ranks at an engine: those of routes are spread around the middle one, which
// requests of others have.
const (
	firstUrgency = 3
	urgencyStep  = 2
)

// urgency returns the rank of the request at an engine.
func (c *call) urgency() int { return firstUrgency + urgencyStep*c.rank() }

// rank returns the urgency of the request. An account's own goes before the
// route's.
func (c *call) rank() int {
	if c.account != nil && c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (c *call) receive(resp *exchange.Response, err error, lease *balancer.Lease) fate {
	if errors.Is(err, exchange.ErrNotSent) {
		return fateNotSent
	}
	if err != nil {
		c.runs++
		return fateLost
	}
	defer resp.Close()
	if c.r.opt.Dialect.NotRun(resp.Response) {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxRefusalBytes))
		return fateNotRun
	}
	c.runs++
	if !c.r.opt.Dialect.Genuine(resp.Response) {
		return fateLost
	}
	if c.route.Kind == routes.KindStream && resp.StatusCode == http.StatusOK {
		return c.stream(resp, lease)
	}
	if c.begun {
		return fateLost // a resumed stream needs a stream
	}
	return c.whole(resp, lease)
}

// first notes that the answer has begun.
func (c *call) first(lease *balancer.Lease) {
	lease.First()
	if c.firstAfter == 0 {
		c.firstAfter = time.Since(c.req.Arrived)
		c.r.meters.first(c.service, c.firstAfter)
	}
}

// maxRefusalBytes bounds what is read of a refusal to keep its connection.
const maxRefusalBytes = 16 << 10

// maxWholeBytes bounds an answer that is held until it is complete.
const maxWholeBytes = 4 << 20

// whole passes on an answer that is not a stream once it is complete.
func (c *call) whole(resp *exchange.Response, lease *balancer.Lease) fate {
	body, err := io.ReadAll(io.LimitReader(resp, maxWholeBytes))
	c.first(lease)
	if err != nil {
		return fateLost
	}
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() && c.runs < c.route.Attempts {
		return fateFailed
	}
	copyHeader(c.w.Header(), resp.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.r.writeHead(c.w, resp.StatusCode)
	// A caller that is gone notices nothing of a failed write.
	_, _ = c.w.Write(body)
	c.answered = resp.StatusCode < http.StatusMultipleChoices
	c.status = resp.StatusCode
	return fateDone
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date"}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
	dst["Date"] = src["Date"]
}
