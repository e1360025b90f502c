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
	// memory is the time in which past outcomes lose half of their weight: an
	// upstream that was bad for a moment is tried again soon.
	memory = 3 * time.Second
	// priorOutcomes is the weight of the assumption that an upstream is well, in
	// outcomes: one failure alone is no reason to avoid it.
	priorOutcomes = 2.0
	// failureCost is the time that a certain failure costs a caller: about that
	// until it has tried elsewhere.
	failureCost = time.Second
	// usualFactor is how far above the others' share of failures an upstream's
	// must be. Some requests fail wherever they run.
	usualFactor = 1.5
	usualMargin = 0.1
	// refusedFor is how long an upstream that had no room is avoided, and
	// refusedCost by how much.
	refusedFor  = 150 * time.Millisecond
	refusedCost = 200 * time.Millisecond
)

// health weighs the outcomes of an upstream by their age.
type health struct {
	bad, all float64
	at       time.Time
	refused  time.Time
}

func (h *health) age(now time.Time) {
	if elapsed := now.Sub(h.at); elapsed > 0 && !h.at.IsZero() {
		keep := math.Exp2(-elapsed.Seconds() / memory.Seconds())
		h.bad *= keep
		h.all *= keep
	}
	h.at = now
}

func (h *health) note(o Outcome, now time.Time) {
	h.age(now)
	switch o {
	case Succeeded:
		h.all++
	case Failed:
		h.all++
		h.bad++
	case Refused:
		h.refused = now
	}
}

// failures returns the share of recent outcomes that were failures.
func (h *health) failures(now time.Time) float64 {
	h.age(now)
	return h.bad / (h.all + priorOutcomes)
}

// cost returns the time by which an upstream's faults make it worse. Usual is the
// share of failures of all upstreams.
func (h *health) cost(usual float64, now time.Time) time.Duration {
	cost := time.Duration(0)
	if over := h.failures(now) - usualFactor*usual - usualMargin; over > 0 {
		cost = time.Duration(over * float64(failureCost))
	}
	if !h.refused.IsZero() && now.Sub(h.refused) < refusedFor {
		cost += refusedCost
	}
	return cost
}
