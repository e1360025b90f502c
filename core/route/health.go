package route

import "time"

// State is the health of an upstream as this host sees it.
type State string

// Health states.
const (
	// StateLive upstreams get work; new ones within the slow start.
	StateLive State = "live"
	// StateEjected upstreams get no work until their ejection has passed and a
	// probe has succeeded.
	StateEjected State = "ejected"
	// StateProbing upstreams get one request at a time.
	StateProbing State = "probing"
)

// Weights of the moving means.
const (
	failureWeight = 0.1
	delayWeight   = 0.2
)

// rateMinimum is the number of outcomes before the failure rate counts.
const rateMinimum = 10

// rampStart is the share of a new upstream at the begin of its slow start.
const rampStart = 0.1

// health tracks failures, ejection and slow start of one upstream.
type health struct {
	state     State
	failures  int // consecutive
	outcomes  int // since the last change of state
	rate      float64
	ejections int
	until     time.Time
	successes int // in the probing state
	rampFrom  time.Time
}

func (h *health) ramp(now time.Time, slowStart time.Duration) float64 {
	if h.rampFrom.IsZero() {
		return 1
	}
	age := now.Sub(h.rampFrom)
	if age >= slowStart {
		h.rampFrom = time.Time{}
		return 1
	}
	return rampStart + (1-rampStart)*float64(age)/float64(slowStart)
}

func (h *health) succeeded(c *Config, now time.Time) {
	h.failures = 0
	h.outcomes++
	h.rate *= 1 - failureWeight
	if h.state != StateProbing {
		h.decay()
		return
	}
	h.successes++
	if h.successes >= c.ProbeSuccesses {
		h.enter(StateLive)
		h.rampFrom = now
	}
}

// decay forgives an earlier ejection after a long run of successes.
func (h *health) decay() {
	const forgiveAfter = 100
	if h.ejections > 0 && h.outcomes%forgiveAfter == 0 {
		h.ejections--
	}
}

// failed counts a failure and tells whether the upstream is to be ejected.
func (h *health) failed(c *Config) bool {
	h.failures++
	h.outcomes++
	h.rate = h.rate*(1-failureWeight) + failureWeight
	switch h.state {
	case StateEjected:
		return false
	case StateProbing:
		return true
	}
	if h.failures >= c.EjectAfter {
		return true
	}
	return h.outcomes >= rateMinimum && h.rate > c.EjectRate
}

func (h *health) eject(c *Config, now time.Time) {
	length := c.EjectTime << min(h.ejections, 16)
	if length > c.EjectTimeMax || length <= 0 {
		length = c.EjectTimeMax
	}
	h.ejections++
	h.enter(StateEjected)
	h.until = now.Add(length)
}

func (h *health) enter(s State) {
	h.state = s
	h.failures = 0
	h.outcomes = 0
	h.successes = 0
	h.rate = 0
}

// probed applies the result of a re-entry probe.
func (h *health) probed(ok bool, c *Config, now time.Time) {
	if h.state != StateEjected {
		return
	}
	if ok {
		h.enter(StateProbing)
		return
	}
	h.eject(c, now)
}
