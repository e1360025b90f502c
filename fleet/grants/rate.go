package grants

import (
	"math"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// rate is the spend in tokens per second, with exponentially decaying weight.
type rate struct {
	window  time.Duration
	sum     float64
	updated time.Time
}

// add adds spend at the time now. A negative amount corrects spend that was
// counted too high.
func (r *rate) add(now time.Time, amount record.Tokens) {
	r.decay(now)
	r.sum = max(0, r.sum+float64(amount))
}

// perSecond returns the rate at the time now.
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
