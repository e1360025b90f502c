// Package request describes the requests of callers: it parses and bounds their
// bodies, drives the life of a request by a state chart, logs its attempts and
// keeps its answer for callers that come back.
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

// maxSteps bounds the attempt log of a request.
const maxSteps = 64

// Step is a line of the attempt log.
type Step struct {
	At    time.Time        `json:"at"`
	Event statechart.Event `json:"event"`
	State statechart.State `json:"state"`
	// Upstream is set on steps that concern one.
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
	// Fingerprint tells requests with the same ID and another content apart.
	Fingerprint [32]byte
}

// Key identifies the request in claims and settlements.
func (s *Spec) Key() record.RequestKey { return record.KeyOf(s.Account, s.ID) }

// Request is a request that runs, or whose answer is kept.
type Request struct {
	Spec
	Started time.Time
	Answer  *stream.Buffer
	// PreviousNotRun is true if an earlier run of the same ID on this host is
	// known not to have run.
	PreviousNotRun bool

	cancel context.CancelCauseFunc

	mu         sync.Mutex
	machine    *statechart.Machine
	steps      []Step
	dropped    int
	endedAt    time.Time
	graceTimer *time.Timer
	// claimedElsewhere is true once another host has the claim to run the request.
	claimedElsewhere bool
	// aborted is true after a fault of the program.
	aborted bool
}

// New returns a request that keeps about limit bytes of its answer. Cancel ends
// its run.
func New(spec Spec, limit int, cancel context.CancelCauseFunc) *Request {
	return &Request{
		Spec:    spec,
		Started: time.Now(),
		Answer:  stream.NewBuffer(limit, 0),
		cancel:  cancel,
		machine: chart.Start(),
	}
}

// Fire takes a step of the chart and logs it. It returns an error, and changes
// nothing, if the chart does not allow the step.
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

// logStep appends a step. A full logStep keeps its beginning and its newest steps.
func (r *Request) logStep(s Step) {
	if len(r.steps) == maxSteps {
		r.steps = append(r.steps[:maxSteps/2], r.steps[maxSteps/2+1:]...)
		r.dropped++
	}
	r.steps = append(r.steps, s)
}

// Can reports whether the chart allows an event now.
func (r *Request) Can(event statechart.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Can(event)
}

// Outcome returns the outcome, or pending while the request runs.
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

// Abort ends the request as unknown after a fault of the program.
func (r *Request) Abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aborted = true
}

// AnswersDuplicates reports whether the request has ended in a way that a repetition of
// it must be answered by. A request that did not run, or one that may run again
// and whose outcome is unknown, gives way to a new run. So does one that another
// host has, since that host is asked again.
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
// cancelled. Others run to their end.
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

// CallerReconnected ends a grace period.
func (r *Request) CallerReconnected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.graceTimer != nil {
		r.graceTimer.Stop()
		r.graceTimer = nil
	}
}

// Report describes a request for operators.
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

// Report returns the attempt log and the state.
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
