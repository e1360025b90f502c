package route

import (
	_ "embed" // for the state chart
	"time"

	"github.com/hazelworks/hazelworks/core/statechart"
)

//go:embed upstream.hujson
var chartFile []byte

var chart = statechart.MustLoad("upstream.hujson", chartFile)

// State is the health of an upstream as this host sees it.
type State = statechart.State

// States of the chart in upstream.hujson.
const (
	StateLive    State = "live"
	StateEjected State = "ejected"
	StateProbing State = "probing"
	StateGone    State = "gone"
)

// Events of the chart in upstream.hujson.
const (
	eventEject          statechart.Event = "eject"
	eventProbeSucceeded statechart.Event = "probe-succeeded"
	eventProbeFailed    statechart.Event = "probe-failed"
	eventRecover        statechart.Event = "recover"
	eventRemove         statechart.Event = "remove"
)

// failureWeight is the weight of the newest outcome in the failure rate.
const failureWeight = 0.1

// minRateOutcomes is the number of outcomes from which the failure rate is used.
const minRateOutcomes = 10

// initialRampShare is the share of a new upstream when its slow start begins.
const initialRampShare = 0.1

// health tracks the failures, ejections and slow start of one upstream.
type health struct {
	// rampStartedAt is the time at which the slow start began, in nanoseconds since
	// the Unix epoch, or zero if it is over.
	rampStartedAt int64
	// The state of the machine, copied for speed.
	ejected bool
	probing bool
	state   State

	machine             *statechart.Machine
	consecutiveFailures int
	outcomes            int // since the last change of state
	failureRate         float64
	ejections           int
	ejectedUntil        time.Time
	successes           int // in the probing state
}

func newHealth() health {
	m := chart.Start()
	return health{machine: m, state: m.State()}
}

// ramp returns the share of its slots that the upstream gets, and clears a slow start that
// is over. Both parameters are in nanoseconds.
func (h *health) ramp(now, slowStart int64) float64 {
	age := now - h.rampStartedAt
	if age >= slowStart {
		h.rampStartedAt = 0
		return 1
	}
	return initialRampShare + (1-initialRampShare)*float64(max(age, 0))/float64(slowStart)
}

func (h *health) recordSuccess(c *Config, now time.Time) {
	h.consecutiveFailures = 0
	h.outcomes++
	h.failureRate *= 1 - failureWeight
	if h.state != StateProbing {
		h.decayEjections()
		return
	}
	h.successes++
	if h.successes >= c.ProbeSuccesses {
		h.fire(eventRecover)
		h.rampStartedAt = now.UnixNano()
	}
}

// decayEjections reduces the number of counted ejections by one per outcomesPerDecay
// outcomes.
func (h *health) decayEjections() {
	const outcomesPerDecay = 100
	if h.ejections > 0 && h.outcomes%outcomesPerDecay == 0 {
		h.ejections--
	}
}

// recordFailure counts a failure and reports whether the upstream should be ejected.
func (h *health) recordFailure(c *Config) bool {
	h.consecutiveFailures++
	h.outcomes++
	h.failureRate = h.failureRate*(1-failureWeight) + failureWeight
	switch h.state {
	case StateEjected:
		return false
	case StateProbing:
		return true
	}
	if h.consecutiveFailures >= c.EjectAfter {
		return true
	}
	return h.outcomes >= minRateOutcomes && h.failureRate > c.EjectRate
}

func (h *health) eject(event statechart.Event, c *Config, now time.Time) {
	length := c.EjectTime << min(h.ejections, 16)
	if length > c.EjectTimeMax || length <= 0 {
		length = c.EjectTimeMax
	}
	if h.fire(event) {
		h.ejections++
		h.ejectedUntil = now.Add(length)
	}
}

// fire applies an event to the state machine and resets the counters of the state. It
// returns false, with no effect, for events that the state does not accept.
func (h *health) fire(event statechart.Event) bool {
	if err := h.machine.Fire(event); err != nil {
		return false
	}
	h.state = h.machine.State()
	h.ejected = h.state == StateEjected
	h.probing = h.state == StateProbing
	h.consecutiveFailures = 0
	h.outcomes = 0
	h.successes = 0
	h.failureRate = 0
	return true
}

// applyProbe applies the result of a probe of an upstream that is not live.
func (h *health) applyProbe(ok bool, c *Config, now time.Time) {
	switch {
	case h.state == StateEjected && ok:
		h.fire(eventProbeSucceeded)
	case h.state == StateEjected:
		h.eject(eventProbeFailed, c, now)
	case h.state == StateProbing && ok:
		h.recordSuccess(c, now)
	case h.state == StateProbing:
		h.eject(eventEject, c, now)
	}
}
