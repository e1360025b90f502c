package request

import (
	"container/list"
	"errors"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Errors of [Table.Begin].
var (
	// ErrIDReused is returned if a request with the same ID but different content
	// is in flight or kept.
	ErrIDReused = errors.New("request: ID was used for another request")
	// ErrFull is returned if [Limits].Running requests are in flight.
	ErrFull = errors.New("request: too many requests run")
)

// Limits bounds a [Table].
type Limits struct {
	// Running bounds the requests in flight.
	Running int
	// KeepFor is how long an ended request is kept.
	KeepFor time.Duration
	// KeptRequests bounds the number of ended requests that are kept, and
	// KeptBytes the bytes of their answers.
	KeptRequests int
	KeptBytes    int
}

type tableKey struct {
	account string
	id      string
}

// Table holds the requests in flight on this host and those that ended recently.
type Table struct {
	limits Limits

	mu        sync.Mutex
	requests  map[tableKey]*Request
	kept      *list.List // of *Request, oldest end first
	keptBytes int
	running   int
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, requests: make(map[tableKey]*Request), kept: list.New()}
}

// Begin returns the request with the account and ID of spec if its answer is to be
// used (see [Request.AnswersDuplicates]). Else it adds the request that create
// returns, and started is true. It returns [ErrIDReused] or [ErrFull].
func (t *Table) Begin(spec Spec, create func() *Request) (r *Request, started bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	key := tableKey{spec.Account, spec.ID}
	existing, ok := t.requests[key]
	if ok && existing.AnswersDuplicates() {
		if existing.Fingerprint != spec.Fingerprint {
			return nil, false, ErrIDReused
		}
		return existing, false, nil
	}
	if t.running >= t.limits.Running {
		return nil, false, ErrFull
	}
	r = create()
	r.PreviousNotRun = ok && existing.Outcome() == record.OutcomeNotRun
	t.requests[key] = r
	t.running++
	return r, true, nil
}

// End moves a request from those in flight to those that are kept.
func (t *Table) End(r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	r.mu.Lock()
	r.endedAt = now
	r.mu.Unlock()
	r.CallerReconnected()
	t.running--
	t.kept.PushBack(r)
	t.keptBytes += r.Answer.Bytes()
	t.expire(now)
}

// expire drops the oldest kept requests that exceed KeepFor, KeptRequests or
// KeptBytes. The caller holds t.mu.
func (t *Table) expire(now time.Time) {
	for t.kept.Len() > 0 {
		oldest := t.kept.Front()
		r := oldest.Value.(*Request)
		overLimit := t.kept.Len() > t.limits.KeptRequests || t.keptBytes > t.limits.KeptBytes
		if !overLimit && now.Sub(r.endedAt) < t.limits.KeepFor {
			return
		}
		t.kept.Remove(oldest)
		t.keptBytes -= r.Answer.Bytes()
		key := tableKey{r.Account, r.ID}
		if t.requests[key] == r {
			delete(t.requests, key)
		}
	}
}

// Lookup returns the request of an account with the given ID.
func (t *Table) Lookup(account, id string) (*Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	r, ok := t.requests[tableKey{account, id}]
	return r, ok
}

// FindByID returns the requests of all accounts with the given ID, in no order.
func (t *Table) FindByID(id string) []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*Request
	for key, r := range t.requests {
		if key.id == id {
			found = append(found, r)
		}
	}
	return found
}

// Running returns the number of requests in flight.
func (t *Table) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}
