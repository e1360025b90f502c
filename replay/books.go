package replay

import (
	"strings"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// verdict is what a caller was told in one attempt.
type verdict string

// Verdicts of an attempt. Broken means that no whole reply arrived.
const (
	verdictAnswered verdict = "answered"
	verdictNotRun   verdict = "not-run"
	verdictUnknown  verdict = "unknown"
	verdictBroken   verdict = "broken"
)

// attempt is one try of a request, as its caller saw it.
type attempt struct {
	host    string
	at      time.Time
	verdict verdict
	// code is the problem's code, if there was one.
	code string
	text string
	// firstByte is when the first token or byte of an answer arrived.
	firstByte time.Time
	// cutOff is true if the connection was open and broke before the reply's end.
	cutOff bool
	// retryAfter is what a refusal asked for.
	retryAfter time.Duration
}

// request is one request with all its attempts.
type request struct {
	account string
	id      string
	service string
	budget  record.BudgetID
	plain   bool
	// tokens is the length of the answer that was asked for.
	tokens   int
	started  time.Time
	ended    time.Time
	attempts []attempt
	// bound is the largest cost that the request may have.
	bound record.Tokens
}

// engineID is the request ID that upstreams see.
func (r *request) engineID() string { return r.account + ":" + r.id }

func (r *request) last() attempt {
	if len(r.attempts) == 0 {
		return attempt{verdict: verdictBroken}
	}
	return r.attempts[len(r.attempts)-1]
}

// answered returns the attempt that brought an answer.
func (r *request) answered() (attempt, bool) {
	for _, a := range r.attempts {
		if a.verdict == verdictAnswered {
			return a, true
		}
	}
	return attempt{}, false
}

// refusedForBudget reports whether the caller gave up on a refusal that names
// the budget.
func (r *request) refusedForBudget() bool {
	a := r.last()
	return a.verdict == verdictNotRun && strings.HasPrefix(a.code, "budget-")
}

// books holds all requests of a replay. It is safe for concurrent use.
type books struct {
	mu       sync.Mutex
	requests []*request
}

func (b *books) add(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}
