// Package problem writes errors to callers as RFC 9457 problem details. Every
// problem contains the outcome of the request, so that a caller knows whether it
// may safely send the request again.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Headers that describe how a request ended.
const (
	HeaderOutcome    = "Hazel-Outcome"
	HeaderRequestID  = "Hazel-Request-Id"
	HeaderRetryAfter = "Retry-After"

	// ContentType is the media type of a problem body.
	ContentType = "application/problem+json"
)

// Code identifies a kind of problem. It is the last path element of the type URI.
type Code string

// Codes of problems.
const (
	CodeBadRequest        Code = "bad-request"
	CodeUnauthorized      Code = "unauthorized"
	CodeForbidden         Code = "forbidden"
	CodeNotFound          Code = "not-found"
	CodeMethodNotAllowed  Code = "method-not-allowed"
	CodeBodyTooLarge      Code = "body-too-large"
	CodeBodyTimeout       Code = "body-timeout"
	CodeUnknownModel      Code = "unknown-model"
	CodeUnknownService    Code = "unknown-service"
	CodeIDReused          Code = "request-id-reused"
	CodeAlreadyClaimed    Code = "already-claimed"
	CodeAnswerGone        Code = "answer-gone"
	CodeAnswerTooLarge    Code = "answer-too-large"
	CodeBudgetSpent       Code = "budget-spent"
	CodeBudgetHeld        Code = "budget-held-elsewhere"
	CodeBudgetUnreachable Code = "budget-unreachable"
	CodeClaimUnavailable  Code = "claim-unavailable"
	CodeOverloaded        Code = "overloaded"
	CodeNoUpstream        Code = "no-upstream"
	CodeQuarantined       Code = "quarantined"
	CodeUpstreamFailed    Code = "upstream-failed"
	CodeUpstreamTimeout   Code = "upstream-timeout"
	CodeCancelled         Code = "cancelled"
	CodeDeadline          Code = "deadline-exceeded"
	CodeNotReady          Code = "not-ready"
	CodeInternal          Code = "internal"
)

const typePrefix = "https://hazelworks.dev/problems/"

// Problem is a problem detail with the outcome of the request.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is "answered", "not-run" or "unknown".
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is in seconds, rounded up; zero if unknown.
	RetryAfter int64 `json:"retry_after,omitempty"`
	Code       Code  `json:"-"`
}

// New returns a problem with outcome "not-run". Format and args give its detail.
func New(status int, code Code, format string, args ...any) *Problem {
	return &Problem{
		Type:    typePrefix + string(code),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: record.OutcomeNotRun.String(),
		Code:    code,
	}
}

// WithOutcome returns a copy with another outcome.
func (p *Problem) WithOutcome(outcome record.Outcome) *Problem {
	q := *p
	q.Outcome = outcome.String()
	return &q
}

// WithRequestID returns a copy with the ID of the request.
func (p *Problem) WithRequestID(id string) *Problem {
	q := *p
	q.RequestID = id
	return &q
}

// WithRetryAfter returns a copy with the delay until a retry, rounded up to whole
// seconds, at least 1.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	q := *p
	q.RetryAfter = max(1, int64(math.Ceil(d.Seconds())))
	return &q
}

// Error returns the status, the code and the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s: %s", p.Status, p.Code, p.Detail)
}

// Write sends the problem as the HTTP response.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, p.Outcome)
	if p.RequestID != "" {
		h.Set(HeaderRequestID, p.RequestID)
	}
	if p.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(p.RetryAfter, 10))
	}
	body := p.JSON()
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(body, '\n'))
}

// JSON returns the JSON form of the problem.
func (p *Problem) JSON() []byte {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // cannot happen: all fields are strings and integers
	}
	return body
}
