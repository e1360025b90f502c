package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/core/statechart"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// Causes that end a run early.
var (
	errCallerGone = errors.New("the caller went away")
	errDeadline   = errors.New("the deadline has passed")
	errSilent     = errors.New("the upstream fell silent")
)

// work is what differs between model requests and plain calls.
type work interface {
	// bound returns the upper bound of the cost.
	bound() record.Tokens
	// query adds to the query for an upstream.
	query(q *dispatch.Query)
	// outgoing returns the request for an upstream. The watch is paused while
	// a caller's body is waited for.
	outgoing(ctx context.Context, up settings.Upstream, w *watch) (*http.Request, error)
	// receive passes the answer of an upstream on to the callers.
	receive(ctx context.Context, w *watch, resp *http.Response) error
	// resume returns the request for the rest of a broken answer, or nil if it
	// cannot be resumed.
	resume(ctx context.Context, up settings.Upstream) (*http.Request, error)
	// abandon tells the upstream to stop.
	abandon(ctx context.Context, up settings.Upstream) (*http.Request, error)
	// replayable reports whether the request can be sent once more.
	replayable() bool
	// cut reports whether the answer was ended at its cap.
	cut() bool
	// restart forgets what earlier attempts have brought.
	restart()
	// idle bounds the time to the next byte of an upstream.
	idle() time.Duration
	// cost returns the cost of what was used, and the usage.
	cost(outcome record.Outcome) (record.Tokens, stream.Usage)
}

// call is the run of one request. It goes on when the caller goes away.
type call struct {
	g       *Gateway
	req     *request.Request
	service *settings.Service
	budget  *settings.Budget
	// claims is true if the right to run must be claimed in the log.
	claims  bool
	claimed bool
	// ticket is true if this host has made the ID.
	ticket bool
	work   work
	// forward returns the request for another host; nil if it must run here.
	forward func() *peerpb.ForwardRequest
	// priority is passed on to the picker.
	priority    int
	reservation grants.Reservation
	// billed is true once the reservation has been settled or released. From then
	// on another run would spend what is not reserved.
	billed bool
	// awaited is true once the end of the answer has waited for its bill.
	awaited bool
	tried   []string
}

// run takes the request to its end.
func (c *call) run(ctx context.Context) {
	end := c.guarded(ctx)
	end.Outcome = c.req.Outcome()
	c.settle(&end)
	if end.Problem != nil {
		end.Problem = end.Problem.WithOutcome(end.Outcome).WithRequestID(c.req.ID)
	}
	if c.claimed {
		c.g.opts.Claimer.Finish(c.req.Budget, c.req.Key(), end.Outcome, claimDetail(c.req, end))
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

// guarded turns a fault of this package into an unknown outcome, so that one
// request cannot end the others.
func (c *call) guarded(ctx context.Context) (end stream.End) {
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

// returnTicket lets the caller send a request once more under its ID, after it
// did not run.
func (c *call) returnTicket() {
	if c.ticket {
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

// settle bills what was used. A request that did not run, or that ran at no
// cost, gives all back.
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

// bill settles a cost, at most what was reserved, and returns it. Only the first
// call for a request takes effect.
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

// billEnd bills an answer that is complete and waits for the bill, while the
// silence of the upstream counts for nothing.
func (c *call) billEnd(w *watch, cost record.Tokens) {
	w.pause()
	defer w.resume()
	c.bill(cost)
	c.awaitBilled()
}

// awaitBilled holds the end of an answer back until its bill is in the log, so
// that a host that dies right after it takes no bill with it. While the log is
// slow or down the answer ends without that.
func (c *call) awaitBilled() {
	if c.reservation == nil || c.awaited {
		return
	}
	c.awaited = true
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
	if err := c.reserve(ctx); err != nil {
		if end, ok := c.forwardToHolder(ctx, err); ok {
			return end
		}
		return c.giveUp(reserveProblem(ctx, err))
	}
	c.forward = nil // lets go of the caller's request
	if c.claims {
		end, won := c.claim(ctx)
		if !won {
			return end
		}
	}
	var failed verdict
	for n := 1; ; n++ {
		lease, err := c.pick(ctx, n)
		if err != nil {
			return c.giveUp(unpicked(ctx, err, failed, n))
		}
		last := n >= c.g.limits.Attempts
		v := c.send(ctx, lease, last)
		if v.fate == answered {
			return stream.End{}
		}
		if last || !c.mayRetry(ctx, v) {
			return c.giveUp(v.problem())
		}
		if err := c.backoff(ctx, n); err != nil {
			return c.giveUp(contextProblem(err))
		}
		failed = v
		c.work.restart()
		c.g.metrics.retries.Inc(1)
	}
}

// giveUp ends the request. The chart decides between "not run" and "unknown".
func (c *call) giveUp(p *problem.Problem) stream.End {
	event := request.EventGiveUp
	if c.req.Can(request.EventRefuse) {
		event = request.EventRefuse
	}
	c.fire(event, "", string(p.Code))
	return stream.End{Problem: p}
}

// fire takes a step that the chart must allow; anything else is a fault of
// this package, which must not go on with a wrong state.
func (c *call) fire(event statechart.Event, upstream, note string) {
	if err := c.req.Fire(event, upstream, note); err != nil {
		panic(err)
	}
}

func (c *call) reserve(ctx context.Context) error {
	amount := c.work.bound()
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

// mayRetry reports whether the request may be sent to another upstream. One
// that may have run is repeated only if it is repeatable and no caller has a
// part of its answer.
func (c *call) mayRetry(ctx context.Context, v verdict) bool {
	if ctx.Err() != nil || v.final || c.billed || !c.work.replayable() {
		return false
	}
	if v.fate == notStarted && c.req.Can(request.EventRefuse) {
		return true
	}
	return c.req.Repeatable && c.req.Answer.Reset()
}

// backoff waits a random time that grows with the attempts.
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
