package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// maxDetailBytes bounds the encoded answer that is recorded with the outcome of
// a claim.
const maxDetailBytes = 1 << 10

// ownOutcomeWait is the wait before a claim is asked for once more.
const ownOutcomeWait = 100 * time.Millisecond

// detail is the recorded answer of a claimed request, so that a retry at
// another host is answered even if the first host is gone.
type detail struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Request is the beginning of the request's fingerprint.
	Request []byte `json:"request"`
}

// fingerprintBytes is the part of a fingerprint that is recorded.
const fingerprintBytes = 8

// claim asks for the right to run the request. If another host has it, the
// request ends with what is known of that host's run.
func (c *call) claim(ctx context.Context) (stream.End, bool) {
	claimCtx, cancel := context.WithTimeout(ctx, c.g.limits.ClaimTimeout)
	defer cancel()
	claim, err := c.askClaim(claimCtx)
	if err != nil {
		if ctx.Err() != nil {
			return c.giveUp(contextProblem(context.Cause(ctx))), false
		}
		p := problem.New(http.StatusServiceUnavailable, problem.CodeClaimUnavailable,
			"the right to run a request that must not repeat could not be recorded: %v", err)
		return c.giveUp(p.WithRetryAfter(claimRetry)), false
	}
	if claim.Won {
		c.claimed = true
		c.fire(request.EventClaim, "", "")
		return stream.End{}, true
	}
	if c.reservation != nil {
		c.reservation.Release()
		c.reservation = nil
	}
	c.fire(request.EventLoseClaim, "", claim.Winner.String())
	c.g.log.Info("Request is claimed elsewhere.", "request", c.req.ID, "account", c.req.Account,
		"holder", claim.Winner.String(), "outcome", claim.Outcome.String())
	return c.elsewhere(ctx, claim), false
}

// errOwnOutcome reports that the end of this host's own earlier run is not in
// the log yet.
var errOwnOutcome = errors.New("the end of an earlier run is not recorded yet")

// askClaim claims the request. An earlier run on this host that did not run has
// left a claim that is free once its outcome is recorded, so that is waited for.
func (c *call) askClaim(ctx context.Context) (grants.Claim, error) {
	for {
		claim, err := c.g.opts.Claimer.Claim(ctx, c.req.Budget, c.req.Key())
		own := claim.Winner == c.g.opts.Self && claim.Outcome == record.OutcomePending
		if err != nil || claim.Won || !own || !c.req.PreviousNotRun {
			return claim, err
		}
		select {
		case <-time.After(ownOutcomeWait):
		case <-ctx.Done():
			return grants.Claim{}, errOwnOutcome
		}
	}
}

// elsewhere ends a request that another host has claimed.
func (c *call) elsewhere(ctx context.Context, claim grants.Claim) stream.End {
	if end, ok := c.relay(ctx, claim.Winner); ok {
		c.fire(eventOf(end.Outcome), "", "relayed from "+string(claim.Winner.Host))
		return end
	}
	if c.otherRequest(claim) {
		c.fire(request.EventRefuse, "", "recorded for another body")
		return stream.End{Problem: beginProblem(request.ErrIDReused)}
	}
	if c.replayDetail(ctx, claim) {
		c.fire(request.EventFinish, "", "recorded answer")
		return stream.End{}
	}
	c.fire(eventOf(claim.Outcome), "", "recorded outcome")
	p := problem.New(http.StatusConflict, problem.CodeAlreadyClaimed,
		"the request was taken by host %s and is not run again", claim.Winner.Host)
	return stream.End{Problem: p}
}

// eventOf returns the event that ends a request with an outcome. A pending one
// is unknown, since its host cannot be asked.
func eventOf(o record.Outcome) statechart.Event {
	switch o {
	case record.OutcomeAnswered:
		return request.EventFinish
	case record.OutcomeNotRun:
		return request.EventRefuse
	default:
		return request.EventGiveUp
	}
}

// otherRequest reports whether a recorded answer is that of another request with
// the same ID.
func (c *call) otherRequest(claim grants.Claim) bool {
	var d detail
	if json.Unmarshal(claim.Detail, &d) != nil || len(d.Request) == 0 {
		return false
	}
	return !bytes.Equal(d.Request, c.req.Fingerprint[:fingerprintBytes])
}

func (c *call) replayDetail(ctx context.Context, claim grants.Claim) bool {
	var d detail
	if claim.Outcome != record.OutcomeAnswered || json.Unmarshal(claim.Detail, &d) != nil || d.Status == 0 {
		return false
	}
	header := http.Header{}
	if d.Type != "" {
		header.Set("Content-Type", d.Type)
	}
	c.req.Answer.SetHead(stream.Head{Status: d.Status, Header: header})
	return len(d.Body) == 0 || c.req.Answer.Append(ctx, d.Body) == nil
}

// claimDetail returns the answer in its recorded form, or nil if it is not
// whole or too large.
func claimDetail(req *request.Request, end stream.End) []byte {
	if end.Problem != nil || end.Outcome != record.OutcomeAnswered {
		return nil
	}
	cursor := req.Answer.Attach(0)
	defer cursor.Close()
	head, ok := cursor.Head()
	if !ok || head.Events {
		return nil
	}
	d := detail{Status: head.Status, Type: head.Header.Get("Content-Type"), Request: req.Fingerprint[:fingerprintBytes]}
	status := stream.Available
	for status == stream.Available && len(d.Body) <= maxDetailBytes {
		d.Body, status = cursor.Next(d.Body)
	}
	if status != stream.Pending || len(d.Body) > maxDetailBytes {
		return nil
	}
	data, err := json.Marshal(d)
	if err != nil || len(data) > maxDetailBytes {
		return nil
	}
	return data
}
