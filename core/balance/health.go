package balance

import (
	"math"
	"time"
)

// Outcome tells what an attempt says about an upstream.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Neutral says nothing, such as a caller that left.
	Neutral Outcome = iota
	Succeeded
	Failed
	// Refused means that the upstream had no room.
	Refused
)

const (
	// outcomeHalfLife is the time in which past outcomes lose half of their weight: an
	// upstream that was bad for a moment is tried again soon.
	outcomeHalfLife = 3 * time.Second
	// priorOutcomes is the weight of the assumption that an upstream is well, in
	// outcomes: one failure alone is no reason to avoid it.
	priorOutcomes = 2.0
	// failureCost is the time that a certain failure costs a caller: about that
	// until it has tried elsewhere.
	failureCost = time.Second
	// meanFailureFactor is how far above the others' share of failures an upstream's
	// must be. Some requests fail wherever they run.
	meanFailureFactor = 1.5
	meanFailureMargin = 0.1
	// refusalAvoidTime is how long an upstream that had no room is avoided, and
	// refusedCost by how much.
	refusalAvoidTime = 150 * time.Millisecond
	refusalCost      = 200 * time.Millisecond
)

// health weighs the outcomes of an upstream by their age.
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

// failureRate returns the share of recent outcomes that were failureRate.
func (h *health) failureRate(now time.Time) float64 {
	h.decay(now)
	return h.failed / (h.total + priorOutcomes)
}

// cost returns the time by which an upstream's faults make it worse. Usual is the
// share of failures of all upstreams.
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
