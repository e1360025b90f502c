package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
)

// Headers towards upstreams and from them.
const (
	// HeaderDeadline carries the milliseconds that are left for the request.
	HeaderDeadline = "Hazel-Deadline-Ms"
	// HeaderNotStarted is "true" on a response of an upstream that did not
	// start the request.
	HeaderNotStarted = "Hazel-Not-Started"
	// HeaderResume is "true" on a response whose stream can be resumed.
	HeaderResume = "Hazel-Resume"
	// HeaderLastEvent names the last event that the client has.
	HeaderLastEvent = "Last-Event-ID"
)

// refusalTextBytes bounds what is quoted from an upstream's refusal.
const refusalTextBytes = 256

// fate tells what became of an attempt.
type fate int

const (
	answered fate = iota
	notStarted
	lost
)

// verdict is the end of an attempt.
type verdict struct {
	fate fate
	err  error
	// status is the HTTP status of the response, or zero.
	status int
	// text quotes the upstream's refusal.
	text       string
	retryAfter time.Duration
	// final is true if another upstream would say the same.
	final bool
}

// problem describes a failed attempt to the caller.
func (v verdict) problem() *problem.Problem {
	switch {
	case v.final:
		return problem.New(refusalStatus(v.status), problem.CodeBadRequest, "the upstream refused the request: %s", v.text)
	case v.fate == notStarted:
		p := problem.New(http.StatusServiceUnavailable, problem.CodeNoUpstream, "no upstream took the request: %s", v.reason())
		return p.WithRetryAfter(max(v.retryAfter, time.Second))
	case v.err != nil && isContextCause(v.err):
		return contextProblem(v.err)
	default:
		return problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the upstream's answer was lost: %s", v.reason())
	}
}

// refusalStatus returns what the caller is told for a refusal of the request
// itself. Other refusals, such as of the gateway's right to call, are not the
// caller's to mend.
func refusalStatus(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return status
	}
	return http.StatusBadGateway
}

func (v verdict) reason() string {
	if v.err != nil {
		return v.err.Error()
	}
	return fmt.Sprintf("status %d: %s", v.status, v.text)
}

// attempt is the use of one lease.
type attempt struct {
	c     *call
	lease dispatch.Lease
	last  bool
	watch *watch
	began time.Time
	// sent is true once an upstream may have started the request.
	sent    bool
	silent  bool
	firstAt time.Time
	status  int
	load    *dispatch.LoadReport
}

// send uses a lease: it sends the request, and resumes its answer if the
// connection is lost.
func (c *call) send(ctx context.Context, lease dispatch.Lease, last bool) verdict {
	a := &attempt{c: c, lease: lease, last: last, began: time.Now()}
	c.g.metrics.attempts.Inc(1)
	c.fire(request.EventSend, lease.Upstream().ID, "")
	v := a.try(ctx, func(ctx context.Context) (*http.Request, error) {
		return c.work.outgoing(ctx, lease.Upstream(), a.watch)
	}, false)
	if v.fate == lost {
		v = a.resume(ctx, v)
	}
	if c.work.cut() || (a.sent && v.fate == lost && c.req.Repeatable) {
		a.abandon(ctx)
	}
	a.done(ctx, v)
	return v
}

// resume asks the same upstream for the rest of a broken answer, on a new
// connection, until no resume brings anything new.
func (a *attempt) resume(ctx context.Context, v verdict) verdict {
	c := a.c
	fruitless := 0
	for ctx.Err() == nil && fruitless < c.g.limits.Resumes {
		before := c.req.Answer.Next()
		build := func(ctx context.Context) (*http.Request, error) {
			return c.work.resume(ctx, a.lease.Upstream())
		}
		if req, err := build(ctx); req == nil || err != nil {
			return v
		}
		if fruitless > 0 && c.backoff(ctx, fruitless) != nil {
			return v
		}
		c.g.metrics.resumes.Inc(1)
		c.fire(request.EventResume, a.lease.Upstream().ID, v.reason())
		c.g.log.Info("Stream resumed.", "request", c.req.ID, "upstream", a.lease.Upstream().ID, "reason", v.reason())
		v = a.try(ctx, build, true)
		if v.fate == answered || v.status != 0 {
			return v
		}
		v.fate = lost
		fruitless++
		if c.req.Answer.Next() > before {
			fruitless = 0
		}
	}
	return v
}

// try sends one request and receives its answer.
func (a *attempt) try(ctx context.Context, build func(context.Context) (*http.Request, error), resuming bool) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.watch = newWatch(a.c.work.idle(), func() { cancel(errSilent) })
	defer a.endWatch()
	ctx, probe := dispatch.WithProbe(ctx)
	req, err := build(ctx)
	if err != nil {
		return a.notStarted(verdict{err: err})
	}
	setDeadline(ctx, req)
	if !a.c.req.Repeatable {
		// An idle connection may have gone silent. A request that must not
		// repeat would be lost on it, so it gets a new one.
		a.emptyPool()
	}
	resp, err := a.lease.Transport().RoundTrip(req)
	if err != nil {
		return a.failed(ctx, probe, err)
	}
	defer resp.Body.Close()
	a.watch.touch()
	a.status = resp.StatusCode
	a.load = dispatch.LoadFromHeader(resp.Header)
	if resp.Header.Get(HeaderNotStarted) == "true" && !resuming {
		return a.notStarted(refusal(resp))
	}
	a.sent = true
	if resuming && resp.StatusCode != http.StatusOK {
		v := refusal(resp)
		v.final = false
		return a.lost(v)
	}
	if !resuming && a.wantsRetry(resp.StatusCode) {
		return a.lost(refusal(resp))
	}
	a.c.fire(request.EventBegin, a.lease.Upstream().ID, resp.Status)
	if err := a.c.work.receive(ctx, a.watch, resp); err != nil {
		return a.lost(verdict{err: causeOf(ctx, err)})
	}
	a.c.fire(request.EventFinish, a.lease.Upstream().ID, "")
	return verdict{fate: answered, status: resp.StatusCode}
}

func (a *attempt) endWatch() {
	a.watch.stop()
	if a.firstAt.IsZero() {
		a.firstAt = a.watch.first()
	}
}

// failed judges a request that got no response.
func (a *attempt) failed(ctx context.Context, probe *dispatch.Probe, err error) verdict {
	v := verdict{err: causeOf(ctx, err)}
	if probe.NothingSent() {
		return a.notStarted(v)
	}
	a.sent = true
	return a.lost(v)
}

func (a *attempt) notStarted(v verdict) verdict {
	v.fate = notStarted
	a.noteSilence(v)
	a.c.fire(request.EventNotStarted, a.lease.Upstream().ID, v.reason())
	return v
}

func (a *attempt) lost(v verdict) verdict {
	v.fate = lost
	a.noteSilence(v)
	a.c.fire(request.EventLose, a.lease.Upstream().ID, v.reason())
	return v
}

// noteSilence empties the pool after a connection has fallen silent, since its
// idle connections have probably been forgotten by the same middlebox.
func (a *attempt) noteSilence(v verdict) {
	if v.err != errSilent {
		return
	}
	a.silent = true
	a.c.g.metrics.silent.Inc(1)
	a.emptyPool()
}

func (a *attempt) emptyPool() {
	if pool, ok := a.lease.Transport().(interface{ CloseIdleConnections() }); ok {
		pool.CloseIdleConnections()
	}
}

// wantsRetry reports whether a status says that another upstream may do better.
func (a *attempt) wantsRetry(status int) bool {
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

// refusal reads the reason of an upstream's refusal.
func refusal(resp *http.Response) verdict {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, refusalTextBytes))
	v := verdict{status: resp.StatusCode, text: strings.ToValidUTF8(strings.TrimSpace(string(text)), "?")}
	if seconds, err := strconv.Atoi(resp.Header.Get(problem.HeaderRetryAfter)); err == nil && seconds > 0 {
		v.retryAfter = time.Duration(seconds) * time.Second
	}
	switch resp.StatusCode {
	case http.StatusNotFound, http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
	default:
		v.final = resp.StatusCode >= 400 && resp.StatusCode < 500
	}
	return v
}

// abandon tells the upstream to stop working on an answer that nobody waits
// for. It does not wait for the reply.
func (a *attempt) abandon(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.c.g.limits.CancelTimeout)
	req, err := a.c.work.abandon(ctx, a.lease.Upstream())
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

// done reports the result to the picker.
func (a *attempt) done(ctx context.Context, v verdict) {
	r := dispatch.Result{
		Err:     v.err,
		Started: a.sent,
		Latency: time.Since(a.began),
		Status:  a.status,
		Load:    a.load,
		Silent:  a.silent,
		// A deadline or a caller that went away says nothing of the upstream.
		Cancelled: ctx.Err() != nil,
	}
	if !a.firstAt.IsZero() {
		r.FirstByte = a.firstAt.Sub(a.began)
	}
	a.lease.Done(r)
}

func setDeadline(ctx context.Context, req *http.Request) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	left := max(0, time.Until(deadline).Milliseconds())
	req.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
}

// causeOf returns why ctx ended, or err if it has not.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
