// Package request holds the requests of callers. It parses and bounds their
// bodies, tracks the state of each request by a state chart, logs its attempts and
// keeps its answer for callers that reconnect.
package request

import (
	"context"
	_ "embed" // for the state chart
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

//go:embed request.hujson
var chartFile []byte

var chart = statechart.MustLoad("request.hujson", chartFile)

// Events of the state chart.
const (
	EventReserve    statechart.Event = "reserve"
	EventClaim      statechart.Event = "claim"
	EventForward    statechart.Event = "forward"
	EventLoseClaim  statechart.Event = "lose-claim"
	EventPick       statechart.Event = "pick"
	EventSend       statechart.Event = "send"
	EventBegin      statechart.Event = "begin"
	EventFinish     statechart.Event = "finish"
	EventNotStarted statechart.Event = "not-started"
	EventLose       statechart.Event = "lose"
	EventResume     statechart.Event = "resume"
	EventRefuse     statechart.Event = "refuse"
	EventGiveUp     statechart.Event = "give-up"
)

// Final states of the chart.
const (
	stateAnswered statechart.State = "answered"
	stateNotRun   statechart.State = "not-run"
)

// maxSteps bounds the attempt log of a request, in steps.
const maxSteps = 64

// Step is an entry of the attempt log of a request.
type Step struct {
	At    time.Time        `json:"at"`
	Event statechart.Event `json:"event"`
	State statechart.State `json:"state"`
	// Upstream is the ID of the upstream; empty if the step concerns none.
	Upstream string `json:"upstream,omitempty"`
	Note     string `json:"note,omitempty"`
}

// Spec identifies a request.
type Spec struct {
	ID      string
	Account string
	Firm    string
	Budget  record.BudgetID
	Service string
	Model   string
	// Repeatable is false if the request must run at most once.
	Repeatable bool
	// Fingerprint is a hash that differs between requests with the same ID but
	// different content.
	Fingerprint [32]byte
}

// Key identifies the request in claims and settlements.
func (s *Spec) Key() record.RequestKey { return record.KeyOf(s.Account, s.ID) }

// Request is a request that is in flight, or whose answer is kept.
type Request struct {
	Spec
	Started time.Time
	Answer  *stream.Buffer
	// PreviousNotRun is true if an earlier request with the same ID on this host
	// ended with the outcome not-run.
	PreviousNotRun bool

	cancel context.CancelCauseFunc

	mu         sync.Mutex
	machine    *statechart.Machine
	steps      []Step
	dropped    int
	endedAt    time.Time
	graceTimer *time.Timer
	// claimedElsewhere is true once another host has claimed the request.
	claimedElsewhere bool
	// aborted is true after an internal error; the outcome is then unknown.
	aborted bool
}

// New returns a request that keeps about limit bytes of its answer. It calls
// cancel to end the run if a disconnected caller does not return.
func New(spec Spec, limit int, cancel context.CancelCauseFunc) *Request {
	return &Request{
		Spec:    spec,
		Started: time.Now(),
		Answer:  stream.NewBuffer(limit, 0),
		cancel:  cancel,
		machine: chart.Start(),
	}
}

// Fire applies an event to the state chart and adds a step to the attempt log. It
// returns an error and changes nothing if the chart does not allow the event.
func (r *Request) Fire(event statechart.Event, upstream, note string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.machine.Fire(event); err != nil {
		return err
	}
	r.claimedElsewhere = r.claimedElsewhere || event == EventLoseClaim
	r.logStep(Step{At: time.Now(), Event: event, State: r.machine.State(), Upstream: upstream, Note: note})
	return nil
}

// logStep appends a step to the attempt log. A full log keeps its oldest and its
// newest steps; the oldest step of its newer half is dropped. The caller holds
// r.mu.
func (r *Request) logStep(s Step) {
	if len(r.steps) == maxSteps {
		r.steps = append(r.steps[:maxSteps/2], r.steps[maxSteps/2+1:]...)
		r.dropped++
	}
	r.steps = append(r.steps, s)
}

// Can reports whether the chart allows an event in the current state.
func (r *Request) Can(event statechart.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Can(event)
}

// Outcome returns the outcome of the request, or [record.OutcomePending] until it
// has ended.
func (r *Request) Outcome() record.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome()
}

func (r *Request) outcome() record.Outcome {
	switch state := r.machine.State(); {
	case r.aborted:
		return record.OutcomeUnknown
	case !r.machine.Done():
		return record.OutcomePending
	case state == stateAnswered:
		return record.OutcomeAnswered
	case state == stateNotRun:
		return record.OutcomeNotRun
	default:
		return record.OutcomeUnknown
	}
}

// Abort sets the outcome to unknown after an internal error.
func (r *Request) Abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aborted = true
}

// AnswersDuplicates reports whether a duplicate of the request must get this
// request's answer instead of a new run. A new run replaces a request that did not
// run, and a repeatable one whose outcome is unknown. It also replaces one that
// another host had claimed, once it has ended, since that host is asked again.
func (r *Request) AnswersDuplicates() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := r.outcome()
	if r.claimedElsewhere {
		return outcome == record.OutcomePending
	}
	switch outcome {
	case record.OutcomeNotRun:
		return false
	case record.OutcomeUnknown:
		return !r.Repeatable
	default:
		return true
	}
}

// CallerDisconnected starts the grace period after which a repeatable request is
// cancelled with cause. A request that is not repeatable runs to its end.
func (r *Request) CallerDisconnected(grace time.Duration, cause error) {
	if !r.Repeatable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.graceTimer == nil && !r.machine.Done() {
		r.graceTimer = time.AfterFunc(grace, func() { r.cancel(cause) })
	}
}

// CallerReconnected stops the grace period, if one has started.
func (r *Request) CallerReconnected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.graceTimer != nil {
		r.graceTimer.Stop()
		r.graceTimer = nil
	}
}

// Report is the state of a request as operators see it.
type Report struct {
	ID         string           `json:"id"`
	Account    string           `json:"account"`
	Service    string           `json:"service"`
	Model      string           `json:"model,omitempty"`
	Repeatable bool             `json:"repeatable"`
	Started    time.Time        `json:"started"`
	Ended      time.Time        `json:"ended,omitzero"`
	State      statechart.State `json:"state"`
	Outcome    string           `json:"outcome"`
	Events     uint64           `json:"events"`
	KeptBytes  int              `json:"kept_bytes"`
	Usage      *stream.Usage    `json:"usage,omitempty"`
	Billed     record.Tokens    `json:"billed"`
	Steps      []Step           `json:"steps"`
	// DroppedSteps counts steps that were removed from the middle of the log.
	DroppedSteps int `json:"dropped_steps,omitempty"`
}

// Report returns the state and the attempt log of the request.
func (r *Request) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{
		ID: r.ID, Account: r.Account, Service: r.Service, Model: r.Model,
		Repeatable: r.Repeatable, Started: r.Started, Ended: r.endedAt,
		State: r.machine.State(), Outcome: r.outcome().String(),
		Events: r.Answer.Next(), KeptBytes: r.Answer.Bytes(),
		Steps: append([]Step(nil), r.steps...), DroppedSteps: r.dropped,
	}
	if end, ok := r.Answer.Ended(); ok {
		report.Usage = &end.Usage
		report.Billed = end.Billed
	}
	return report
}
