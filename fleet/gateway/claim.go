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

// maxRecordedAnswerBytes bounds the encoded answer that is recorded with the
// outcome of a claim.
const maxRecordedAnswerBytes = 1 << 10

// outcomePollInterval is the delay before a claim is requested again.
const outcomePollInterval = 100 * time.Millisecond

// recordedAnswer is the answer of a claimed request as it is recorded in the log.
// A retry at another host gets it even if the first host is lost.
type recordedAnswer struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Fingerprint is the first part of the request's fingerprint.
	Fingerprint []byte `json:"request"`
}

// recordedFingerprintBytes is the length of the recorded part of a fingerprint.
const recordedFingerprintBytes = 8

// claim claims the right to run the request. It returns false if the request ends
// here: because the claim failed, or because another host has claimed it; then
// the end is that of the other host's run, as far as it is known. The claim itself ends with waiting.
func (c *call) claim(ctx, waiting context.Context) (stream.End, bool) {
	claimCtx, cancel := context.WithTimeout(waiting, c.g.limits.ClaimTimeout)
	defer cancel()
	claim, err := c.acquireClaim(claimCtx)
	if err != nil {
		if waiting.Err() != nil {
			return c.giveUp(contextProblem(context.Cause(waiting))), false
		}
		p := problem.New(http.StatusServiceUnavailable, problem.CodeClaimUnavailable,
			"the right to run a request that must not repeat could not be recorded: %v", err)
		return c.giveUp(p.WithRetryAfter(claimRetryAfter)), false
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
	return c.endClaimedElsewhere(ctx, claim), false
}

// errOutcomeNotRecorded reports that the outcome of an earlier run on this host is
// not in the log yet.
var errOutcomeNotRecorded = errors.New("the end of an earlier run is not recorded yet")

// acquireClaim claims the request. If an earlier run on this host ended as not
// run, its claim becomes free once that outcome is in the log; acquireClaim waits
// for it.
func (c *call) acquireClaim(ctx context.Context) (grants.Claim, error) {
	for {
		claim, err := c.g.opts.Claimer.Claim(ctx, c.req.Budget, c.req.Key())
		own := claim.Winner == c.g.opts.Self && claim.Outcome == record.OutcomePending
		if err != nil || claim.Won || !own || !c.req.PreviousNotRun {
			return claim, err
		}
		select {
		case <-time.After(outcomePollInterval):
		case <-ctx.Done():
			return grants.Claim{}, errOutcomeNotRecorded
		}
	}
}

// endClaimedElsewhere ends a request that another host has claimed.
func (c *call) endClaimedElsewhere(ctx context.Context, claim grants.Claim) stream.End {
	if end, ok := c.relayFromHolder(ctx, claim.Winner); ok {
		c.fire(endEventOf(end.Outcome), "", "relayed from "+string(claim.Winner.Host))
		return end
	}
	if c.claimedForOtherRequest(claim) {
		c.fire(request.EventRefuse, "", "recorded for another body")
		return stream.End{Problem: beginProblem(request.ErrIDReused)}
	}
	if c.replayRecorded(ctx, claim) {
		c.fire(request.EventFinish, "", "recorded answer")
		return stream.End{}
	}
	c.fire(endEventOf(claim.Outcome), "", "recorded outcome")
	p := problem.New(http.StatusConflict, problem.CodeAlreadyClaimed,
		"the request was taken by host %s and is not run again", claim.Winner.Host)
	return stream.End{Problem: p}
}

// endEventOf returns the event that ends a request with an outcome. A pending
// outcome counts as unknown, since its host cannot be asked.
func endEventOf(o record.Outcome) statechart.Event {
	switch o {
	case record.OutcomeAnswered:
		return request.EventFinish
	case record.OutcomeNotRun:
		return request.EventRefuse
	default:
		return request.EventGiveUp
	}
}

// claimedForOtherRequest reports whether the recorded answer belongs to another
// request with the same ID.
func (c *call) claimedForOtherRequest(claim grants.Claim) bool {
	var d recordedAnswer
	if json.Unmarshal(claim.Detail, &d) != nil || len(d.Fingerprint) == 0 {
		return false
	}
	return !bytes.Equal(d.Fingerprint, c.req.Fingerprint[:recordedFingerprintBytes])
}

func (c *call) replayRecorded(ctx context.Context, claim grants.Claim) bool {
	var d recordedAnswer
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

// encodeRecordedAnswer encodes the answer for the log. It returns nil if the answer
// is incomplete, a stream of events, or too large.
func encodeRecordedAnswer(req *request.Request, end stream.End) []byte {
	if end.Problem != nil || end.Outcome != record.OutcomeAnswered {
		return nil
	}
	cursor := req.Answer.Attach(0)
	defer cursor.Close()
	head, ok := cursor.Head()
	if !ok || head.Events {
		return nil
	}
	d := recordedAnswer{Status: head.Status, Type: head.Header.Get("Content-Type"), Fingerprint: req.Fingerprint[:recordedFingerprintBytes]}
	status := stream.Available
	for status == stream.Available && len(d.Body) <= maxRecordedAnswerBytes {
		d.Body, status = cursor.Next(d.Body)
	}
	if status != stream.Pending || len(d.Body) > maxRecordedAnswerBytes {
		return nil
	}
	data, err := json.Marshal(d)
	if err != nil || len(data) > maxRecordedAnswerBytes {
		return nil
	}
	return data
}
