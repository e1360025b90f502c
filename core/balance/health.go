package balance

import (
	"math"
	"time"
)

// Outcome is the result of an attempt, as far as it concerns the upstream.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Neutral attempts do not count, such as one whose caller left.
	Neutral Outcome = iota
	Succeeded
	Failed
	// Refused means that the upstream had no capacity.
	Refused
)

const (
	// outcomeHalfLife is the time in which past outcomes lose half of their weight, so
	// that an upstream that failed for a moment is soon tried again.
	outcomeHalfLife = 3 * time.Second
	// priorOutcomes is the weight, in outcomes, of the prior assumption that an
	// upstream is healthy. A single failure is no reason to avoid it.
	priorOutcomes = 2.0
	// failureCost is the time that a certain failure costs a caller, which is roughly
	// the time until another upstream was tried.
	failureCost = time.Second
	// An upstream is avoided only if its failure rate exceeds meanFailureFactor times
	// the mean of all upstreams plus meanFailureMargin. Some requests fail wherever
	// they run.
	meanFailureFactor = 1.5
	meanFailureMargin = 0.1
	// refusalAvoidTime is how long an upstream that had no capacity is avoided, and
	// refusalCost the cost that is added meanwhile.
	refusalAvoidTime = 150 * time.Millisecond
	refusalCost      = 200 * time.Millisecond
)

// health keeps the outcomes of an upstream, weighted by age.
type health struct {
	failed, total float64
	updatedAt     time.Time
	refusedAt     time.Time
}

func (h *health) decay(now time.Time) {
	if elapsed := now.Sub(h.updatedAt); elapsed > 0 && !h.updatedAt.IsZero() {
		factor := math.Exp2(-elapsed.Seconds() / outcomeHalfLife.Seconds())
		h.failed *= factor
		h.total *= factor
	}
	h.updatedAt = now
}

func (h *health) record(o Outcome, now time.Time) {
	h.decay(now)
	switch o {
	case Succeeded:
		h.total++
	case Failed:
		h.total++
		h.failed++
	case Refused:
		h.refusedAt = now
	}
}

// failureRate returns the share of recent outcomes that are failures.
func (h *health) failureRate(now time.Time) float64 {
	if h.failed == 0 {
		return 0
	}
	h.decay(now)
	return h.failed / (h.total + priorOutcomes)
}

// cost returns the time that recent failures and refusals add to the cost of an upstream.
// meanFailureRate is the mean over all candidates.
func (h *health) cost(meanFailureRate float64, now time.Time) time.Duration {
	cost := time.Duration(0)
	if excess := h.failureRate(now) - meanFailureFactor*meanFailureRate - meanFailureMargin; excess > 0 {
		cost = time.Duration(excess * float64(failureCost))
	}
	if !h.refusedAt.IsZero() && now.Sub(h.refusedAt) < refusalAvoidTime {
		cost += refusalCost
	}
	return cost
}
