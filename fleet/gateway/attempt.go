package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
	"github.com/hazelworks/hazelworks/fleet/request"
)

// Headers of requests to upstreams and of their responses.
const (
	// HeaderDeadline is the time that remains for the request, in milliseconds.
	HeaderDeadline = "Hazel-Deadline-Ms"
	// HeaderNotStarted is "true" on a response of an upstream that did not
	// start the request.
	HeaderNotStarted = "Hazel-Not-Started"
	// HeaderResume is "true" on a response whose stream can be resumed.
	HeaderResume = "Hazel-Resume"
	// HeaderLastEvent is the index of the last event that the client received.
	HeaderLastEvent = "Last-Event-ID"
)

// refusalTextBytes bounds the part of a refusal's body that is quoted.
const refusalTextBytes = 256

// resultKind is the kind of an attempt's result.
type resultKind int

const (
	resultAnswered resultKind = iota
	resultNotStarted
	resultLost
)

// attemptResult is the result of an attempt.
type attemptResult struct {
	kind resultKind
	err  error
	// status is the HTTP status of the response, or zero.
	status int
	// text is the start of the body of the upstream's refusal.
	text       string
	retryAfter time.Duration
	// permanent is true if another upstream would refuse the request too.
	permanent bool
}

// problem describes a failed attempt to the caller.
func (res attemptResult) problem() *problem.Problem {
	switch {
	case res.permanent:
		return problem.New(refusalStatus(res.status), problem.CodeBadRequest, "the upstream refused the request: %s", res.text)
	case res.kind == resultNotStarted:
		p := problem.New(http.StatusServiceUnavailable, problem.CodeNoUpstream, "no upstream took the request: %s", res.reason())
		return p.WithRetryAfter(max(res.retryAfter, time.Second))
	case errors.Is(res.err, quarantine.ErrQuarantined):
		return problem.New(http.StatusBadGateway, problem.CodeQuarantined, "the request was stopped: %v", res.err)
	case res.err != nil && isContextCause(res.err):
		return contextProblem(res.err)
	default:
		return problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the upstream's answer was lost: %s", res.reason())
	}
}

// refusalStatus returns the status for the caller when the request itself was
// refused. Other refusals, such as one of the gateway's own credentials, are not
// the caller's to correct.
func refusalStatus(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return status
	}
	return http.StatusBadGateway
}

func (res attemptResult) reason() string {
	if res.err != nil {
		return res.err.Error()
	}
	return fmt.Sprintf("status %d: %s", res.status, res.text)
}

// attempt is the use of one lease on an upstream.
type attempt struct {
	c         *call
	lease     dispatch.Lease
	last      bool
	idleTimer *idleTimer
	startedAt time.Time
	// mayHaveStarted is true once an upstream may have started the request.
	mayHaveStarted bool
	silent         bool
	firstByteAt    time.Time
	status         int
	load           *dispatch.LoadReport
}

// send uses a lease: it sends the request and resumes its answer if the
// connection is lost.
func (c *call) send(ctx context.Context, lease dispatch.Lease, last bool) attemptResult {
	a := &attempt{c: c, lease: lease, last: last, startedAt: time.Now()}
	c.g.metrics.attempts.Inc(1)
	c.fire(request.EventSend, lease.Upstream().ID, "")
	res := a.try(ctx, func(ctx context.Context) (*http.Request, error) {
		return c.work.newRequest(ctx, lease.Upstream(), a.idleTimer)
	}, false)
	a.reportCrash(ctx, res)
	if res.kind == resultLost {
		res = a.resume(ctx, res)
	}
	if c.work.cut() || (a.mayHaveStarted && res.kind == resultLost && c.req.Repeatable) {
		a.cancelUpstream(ctx)
	}
	a.reportResult(ctx, res)
	return res
}

// resume requests the rest of an interrupted answer from the same upstream, on a
// new connection, until Limits.Resumes resumes in a row bring no new event.
func (a *attempt) resume(ctx context.Context, res attemptResult) attemptResult {
	c := a.c
	emptyResumes := 0
	for ctx.Err() == nil && emptyResumes < c.g.limits.Resumes {
		before := c.req.Answer.Next()
		build := func(ctx context.Context) (*http.Request, error) {
			return c.work.resumeRequest(ctx, a.lease.Upstream())
		}
		if req, err := build(ctx); req == nil || err != nil {
			return res
		}
		if emptyResumes > 0 && c.backoff(ctx, emptyResumes) != nil {
			return res
		}
		c.g.metrics.resumes.Inc(1)
		c.fire(request.EventResume, a.lease.Upstream().ID, res.reason())
		c.g.log.Info("Stream resumed.", "request", c.req.ID, "upstream", a.lease.Upstream().ID, "reason", res.reason())
		res = a.try(ctx, build, true)
		if res.kind == resultAnswered || res.status != 0 {
			return res
		}
		res.kind = resultLost
		emptyResumes++
		if c.req.Answer.Next() > before {
			emptyResumes = 0
		}
	}
	return res
}

// try sends one request and receives its answer.
func (a *attempt) try(ctx context.Context, build func(context.Context) (*http.Request, error), resuming bool) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.idleTimer = newIdleTimer(a.c.work.idleTimeout(), func() { cancel(errUpstreamSilent) })
	defer a.stopIdleTimer()
	ctx, probe := dispatch.WithProbe(ctx)
	req, err := build(ctx)
	if err != nil {
		return a.failNotStarted(attemptResult{err: err})
	}
	setDeadlineHeader(ctx, req)
	if !a.c.req.Repeatable {
		// An idle connection may be dead without notice. A request that must
		// not be repeated would be lost on it, so it gets a new connection.
		a.closeIdleConnections()
	}
	resp, err := a.lease.Transport().RoundTrip(req)
	if err != nil {
		return a.failWithoutResponse(ctx, probe, err)
	}
	defer resp.Body.Close()
	a.idleTimer.touch()
	if isForeignAnswer(req, resp) {
		// The answers on the connection are out of step with the requests.
		a.closeIdleConnections()
		a.mayHaveStarted = true
		return a.failLost(attemptResult{err: errForeignAnswer})
	}
	a.status = resp.StatusCode
	a.load = dispatch.LoadFromHeader(resp.Header)
	if resp.Header.Get(HeaderNotStarted) == "true" && !resuming {
		return a.failNotStarted(readRefusal(resp))
	}
	a.mayHaveStarted = true
	if resuming && resp.StatusCode != http.StatusOK {
		res := readRefusal(resp)
		res.permanent = false
		return a.failLost(res)
	}
	if !resuming && a.shouldRetryStatus(resp.StatusCode) {
		return a.failLost(readRefusal(resp))
	}
	a.c.flight.Leave()
	a.c.fire(request.EventBegin, a.lease.Upstream().ID, resp.Status)
	if err := a.c.work.receive(ctx, a.idleTimer, resp); err != nil {
		return a.failLost(attemptResult{err: causeOf(ctx, err)})
	}
	a.c.fire(request.EventFinish, a.lease.Upstream().ID, "")
	return attemptResult{kind: resultAnswered, status: resp.StatusCode}
}

// isForeignAnswer reports whether an answer names another request than the one that was
// sent. Upstreams need not name any.
func isForeignAnswer(req *http.Request, resp *http.Response) bool {
	id := resp.Header.Get(problem.HeaderRequestID)
	return id != "" && id != req.Header.Get(problem.HeaderRequestID)
}

func (a *attempt) stopIdleTimer() {
	a.idleTimer.stop()
	if a.firstByteAt.IsZero() {
		a.firstByteAt = a.idleTimer.firstByte()
	}
}

// failWithoutResponse returns the result of a request that got no response.
func (a *attempt) failWithoutResponse(ctx context.Context, probe *dispatch.Probe, err error) attemptResult {
	res := attemptResult{err: causeOf(ctx, err)}
	if probe.NothingSent() {
		return a.failNotStarted(res)
	}
	a.mayHaveStarted = true
	return a.failLost(res)
}

func (a *attempt) failNotStarted(res attemptResult) attemptResult {
	res.kind = resultNotStarted
	a.recordSilence(res)
	a.c.fire(request.EventNotStarted, a.lease.Upstream().ID, res.reason())
	return res
}

func (a *attempt) failLost(res attemptResult) attemptResult {
	res.kind = resultLost
	a.recordSilence(res)
	a.c.fire(request.EventLose, a.lease.Upstream().ID, res.reason())
	return res
}

// recordSilence closes the idle connections after one has timed out, since the
// same middlebox has probably dropped their state too.
func (a *attempt) recordSilence(res attemptResult) {
	if res.err != errUpstreamSilent {
		return
	}
	a.silent = true
	a.c.g.metrics.silent.Inc(1)
	a.closeIdleConnections()
}

func (a *attempt) closeIdleConnections() {
	if pool, ok := a.lease.Transport().(interface{ CloseIdleConnections() }); ok {
		pool.CloseIdleConnections()
	}
}

// shouldRetryStatus reports whether another upstream may succeed after a status.
func (a *attempt) shouldRetryStatus(status int) bool {
	if a.last || !a.c.req.Repeatable || !a.c.work.replayable() {
		return false
	}
	return transientStatus(status)
}

func transientStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// readRefusal reads the reason of an upstream's refusal.
func readRefusal(resp *http.Response) attemptResult {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, refusalTextBytes))
	res := attemptResult{status: resp.StatusCode, text: strings.ToValidUTF8(strings.TrimSpace(string(text)), "?")}
	if seconds, err := strconv.Atoi(resp.Header.Get(problem.HeaderRetryAfter)); err == nil && seconds > 0 {
		res.retryAfter = time.Duration(seconds) * time.Second
	}
	switch resp.StatusCode {
	case http.StatusNotFound, http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
	default:
		res.permanent = resp.StatusCode >= 400 && resp.StatusCode < 500
	}
	return res
}

// cancelUpstream cancels the run at the upstream, whose answer is no longer
// needed. It does not wait for the response.
func (a *attempt) cancelUpstream(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.c.g.limits.CancelTimeout)
	req, err := a.c.work.cancelRequest(ctx, a.lease.Upstream())
	if req == nil || err != nil {
		cancel()
		return
	}
	go func() {
		defer cancel()
		resp, err := a.lease.Transport().RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// reportResult reports the result to the picker.
func (a *attempt) reportResult(ctx context.Context, res attemptResult) {
	r := dispatch.Result{
		Err:     res.err,
		Started: a.mayHaveStarted,
		Latency: time.Since(a.startedAt),
		Status:  a.status,
		Load:    a.load,
		Silent:  a.silent,
		// A deadline or a disconnected caller is no fault of the upstream.
		Cancelled: ctx.Err() != nil,
	}
	if !a.firstByteAt.IsZero() {
		r.FirstByte = a.firstByteAt.Sub(a.startedAt)
	}
	a.lease.Done(r)
}

func setDeadlineHeader(ctx context.Context, req *http.Request) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	remaining := max(0, time.Until(deadline).Milliseconds())
	req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
}

// causeOf returns the cause of ctx if it has ended, else err.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
