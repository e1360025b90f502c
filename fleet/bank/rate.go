package bank

import (
	"math"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// rate measures spend in tokens a second with exponentially decaying weight.
type rate struct {
	window  time.Duration
	sum     float64
	updated time.Time
}

// add counts spend at a time. A negative amount takes back what was counted
// too much.
func (r *rate) add(now time.Time, amount record.Tokens) {
	r.decay(now)
	r.sum = max(0, r.sum+float64(amount))
}

// perSecond returns the rate at a time.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / r.window.Seconds()
}

func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.sum *= math.Exp(-elapsed.Seconds() / r.window.Seconds())
	}
	r.updated = now
}
