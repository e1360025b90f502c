package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/core/statechart"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/problem"
	fleetquarantine "github.com/hazelworks/hazelworks/fleet/quarantine"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// Causes of a run that ends early.
var (
	errCallerDisconnected = errors.New("the caller went away")
	errDeadline           = errors.New("the deadline has passed")
	errUpstreamSilent     = errors.New("the upstream fell silent")
	errForeignAnswer      = errors.New("the upstream sent the answer to another request")
)

// work is the part of a run that differs between model requests and plain calls.
type work interface {
	// maxCost returns the upper bound of the cost, which is reserved.
	maxCost() record.Tokens
	// query adds the criteria of the request to the query for an upstream.
	query(q *dispatch.Query)
	// newRequest returns the request for an upstream. It pauses the idle timer
	// while it waits for a caller's body.
	newRequest(ctx context.Context, up settings.Upstream, timer *idleTimer) (*http.Request, error)
	// receive relays the answer of an upstream to the callers.
	receive(ctx context.Context, timer *idleTimer, resp *http.Response) error
	// resumeRequest returns the request for the rest of an interrupted answer,
	// or nil if it cannot be resumed.
	resumeRequest(ctx context.Context, up settings.Upstream) (*http.Request, error)
	// cancelRequest returns the request that cancels the run at the upstream, or
	// nil if that is not possible.
	cancelRequest(ctx context.Context, up settings.Upstream) (*http.Request, error)
	// replayable reports whether the request can be sent again.
	replayable() bool
	// cut reports whether the answer was cut at its cap.
	cut() bool
	// restart discards what earlier attempts received.
	restart()
	// idleTimeout is the longest time without data from the upstream.
	idleTimeout() time.Duration
	// cost returns the cost of what was used, and the usage.
	cost(outcome record.Outcome) (record.Tokens, stream.Usage)
}

// call is the run of one request. It continues after its caller disconnects.
type call struct {
	g       *Gateway
	req     *request.Request
	service *settings.Service
	budget  *settings.Budget
	// needsClaim is true if the right to run must be claimed in the log.
	needsClaim bool
	claimed    bool
	// hasTicket is true if this host issued the request ID.
	hasTicket bool
	work      work
	// suspects are what the request has in common with others that may crash upstreams, and
	// subjects the same without the request.
	suspects []quarantine.Suspect
	subjects []quarantine.Subject
	// accountHash is the [quarantine.AccountHash] of the account.
	accountHash uint64
	flight      *fleetquarantine.Flight
	// buildForward returns the request for another host; nil if it must run here.
	buildForward func() *peerpb.ForwardRequest
	// priority is passed to the picker, and to the upstream of a model request.
	priority    int
	reservation grants.Reservation
	// billed is true once the reservation is settled or released. After that,
	// another run would spend tokens that are not reserved.
	billed bool
	// billAwaited is true once the end of the answer has waited for its bill.
	billAwaited bool
	tried       []string
}

// run executes the request, settles its cost and ends its answer.
func (c *call) run(ctx context.Context) {
	end := c.executeRecovering(ctx)
	end.Outcome = c.req.Outcome()
	c.settle(&end)
	if end.Problem != nil {
		end.Problem = end.Problem.WithOutcome(end.Outcome).WithRequestID(c.req.ID)
	}
	if c.claimed {
		c.g.opts.Claimer.Finish(c.req.Budget, c.req.Key(), end.Outcome, encodeRecordedAnswer(c.req, end))
	}
	if end.Outcome == record.OutcomeNotRun {
		c.returnTicket()
	}
	c.awaitBilled()
	c.req.Answer.Finish(end)
	c.g.table.End(c.req)
	c.g.metrics.outcome(end.Outcome)
	c.g.metrics.duration.Update(time.Since(c.req.Started).Microseconds())
	c.logEnd(end)
}

// executeRecovering executes the request. It turns a panic into an unknown
// outcome, so that one request cannot end the others.
func (c *call) executeRecovering(ctx context.Context) (end stream.End) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		c.g.log.Error(fmt.Errorf("gateway: %v", fault), "Request failed.", "request", c.req.ID, "stack", string(debug.Stack()))
		p := problem.New(http.StatusInternalServerError, problem.CodeInternal, "the gateway failed")
		end = stream.End{Problem: p}
		c.req.Abort()
	}()
	return c.execute(ctx)
}

// returnTicket makes the request ID valid again after the request did not run, so
// that the caller can send the request again under the same ID.
func (c *call) returnTicket() {
	if c.hasTicket {
		c.g.tickets.Return(c.req.Account, c.req.ID)
	}
}

func (c *call) logEnd(end stream.End) {
	values := []any{"request", c.req.ID, "account", c.req.Account, "service", c.req.Service,
		"outcome", end.Outcome.String(), "billed", end.Billed, "attempts", len(c.tried)}
	if end.Problem != nil {
		values = append(values, "problem", end.Problem.Code, "detail", end.Problem.Detail)
	}
	c.g.log.Info("Request ended.", values...)
}

// settle bills what was used. The whole reservation is released for a request
// that did not run or that ran at no cost.
func (c *call) settle(end *stream.End) {
	if c.reservation == nil {
		return
	}
	if end.Outcome == record.OutcomeNotRun {
		c.reservation.Release()
		return
	}
	cost, usage := c.work.cost(end.Outcome)
	end.Usage = usage
	end.Billed = c.bill(cost)
}

// bill settles a cost of at most the reserved amount, and returns it. Only the
// first call for a request has an effect.
func (c *call) bill(cost record.Tokens) record.Tokens {
	if c.reservation == nil {
		return 0
	}
	if c.billed {
		return min(cost, c.reservation.Amount())
	}
	c.billed = true
	if cost > c.reservation.Amount() {
		c.g.metrics.overCap.Inc(1)
		c.g.log.Info("Upstream used more than was reserved.", "request", c.req.ID, "account", c.req.Account,
			"cost", cost, "reserved", c.reservation.Amount())
		cost = c.reservation.Amount()
	}
	if cost == 0 {
		c.reservation.Release()
	} else {
		c.reservation.Settle(cost)
	}
	return cost
}

// billAndWait bills a complete answer and waits for the bill. The idle timer of
// the upstream is paused meanwhile.
func (c *call) billAndWait(timer *idleTimer, cost record.Tokens) {
	timer.pause()
	defer timer.resume()
	c.bill(cost)
	c.awaitBilled()
}

// awaitBilled delays the end of an answer until its bill is in the log, so that
// the bill is not lost if this host fails right after the end. It waits at most
// Limits.BillWait, so that answers also end while the log is slow or down.
func (c *call) awaitBilled() {
	if c.reservation == nil || c.billAwaited {
		return
	}
	c.billAwaited = true
	billed := c.reservation.Billed()
	if billed == nil {
		return
	}
	timer := time.NewTimer(c.g.limits.BillWait)
	defer timer.Stop()
	select {
	case <-billed:
	case <-timer.C:
		c.g.metrics.unbilledEnds.Inc(1)
	}
}

func (c *call) execute(ctx context.Context) stream.End {
	if p := c.quarantineProblem(); p != nil {
		return c.giveUp(p)
	}
	waiting, stopWaiting := c.g.untilRefused(ctx)
	defer stopWaiting()
	if err := c.reserve(waiting); err != nil {
		if waiting.Err() == nil {
			if end, ok := c.forwardToHolder(ctx, err); ok {
				return end
			}
		}
		return c.giveUp(reserveProblem(waiting, err))
	}
	c.buildForward = nil // releases the caller's request
	if c.needsClaim {
		end, won := c.claim(ctx, waiting)
		if !won {
			return end
		}
	}
	var failed attemptResult
	for n := 1; ; n++ {
		if p := c.quarantineProblem(); p != nil {
			if failed.kind == resultLost {
				p = failed.problem()
			}
			return c.giveUp(p)
		}
		lease, err := c.pick(waiting, n)
		if err != nil {
			return c.giveUp(noUpstreamProblem(waiting, err, failed, n))
		}
		last := n >= c.g.limits.Attempts
		res := c.send(ctx, lease, last)
		if res.kind == resultAnswered {
			if res.status < http.StatusMultipleChoices {
				c.g.opts.Quarantine.CountAnswer(c.service.Name, c.subjects)
			}
			return stream.End{}
		}
		if last || !c.mayRetry(ctx, res) {
			return c.giveUp(res.problem())
		}
		if err := c.backoff(waiting, n); err != nil {
			return c.giveUp(contextProblem(err))
		}
		failed = res
		c.work.restart()
		c.g.metrics.retries.Inc(1)
	}
}

// giveUp ends the request. Its statechart decides between "not run" and "unknown".
func (c *call) giveUp(p *problem.Problem) stream.End {
	event := request.EventGiveUp
	if c.req.Can(request.EventRefuse) {
		event = request.EventRefuse
	}
	c.fire(event, "", string(p.Code))
	return stream.End{Problem: p}
}

// fire takes a transition of the request's statechart. It panics if the chart does
// not allow it, since the request must not continue in a wrong state.
func (c *call) fire(event statechart.Event, upstream, note string) {
	if err := c.req.Fire(event, upstream, note); err != nil {
		panic(err)
	}
}

func (c *call) reserve(ctx context.Context) error {
	amount := c.work.maxCost()
	if amount > 0 {
		wait := defaultRefusalWait
		if c.budget != nil && c.budget.Policy.RefusalWait > 0 {
			wait = c.budget.Policy.RefusalWait
		}
		res, err := c.g.opts.Reserver.Reserve(ctx, c.req.Budget, c.req.Key(), amount, wait)
		if err != nil {
			return err
		}
		c.reservation = res
	}
	c.fire(request.EventReserve, "", "")
	return nil
}

// pick leases an upstream.
func (c *call) pick(ctx context.Context, attempt int) (dispatch.Lease, error) {
	q := dispatch.Query{
		RequestID: c.req.ID,
		Account:   c.req.Account,
		Firm:      c.req.Firm,
		Service:   c.service,
		Priority:  c.priority,
		Exclude:   c.tried,
		Retry:     attempt > 1,
	}
	c.work.query(&q)
	lease, err := c.g.opts.Picker.Pick(ctx, q)
	if err != nil {
		return nil, err
	}
	id := lease.Upstream().ID
	d := lease.Decision()
	c.fire(request.EventPick, id, d.Reason)
	c.tried = append(c.tried, id)
	c.g.log.V(1).Info("Upstream chosen.", "request", c.req.ID, "account", c.req.Account, "service", c.service.Name,
		"candidates", d.Candidates, "chosen", id, "reason", d.Reason, "waited", d.Waited, "attempt", attempt)
	return lease, nil
}

// mayRetry reports whether the request may be sent to another upstream. A request
// that may have run is repeated only if it is repeatable and no caller has
// received a part of its answer.
func (c *call) mayRetry(ctx context.Context, res attemptResult) bool {
	if ctx.Err() != nil || res.permanent || c.billed || !c.work.replayable() {
		return false
	}
	if res.kind == resultNotStarted && c.req.Can(request.EventRefuse) {
		return true
	}
	return c.req.Repeatable && c.req.Answer.Reset()
}

// backoff waits for a random time whose bound doubles with each attempt. It returns
// the cause of ctx if that ends first.
func (c *call) backoff(ctx context.Context, attempt int) error {
	limit := min(c.g.limits.BackoffBase<<(attempt-1), c.g.limits.BackoffMax)
	timer := time.NewTimer(c.g.opts.Jitter(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
