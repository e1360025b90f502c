package placement

import "time"

const (
	// dwellSmoothing is the weight of the newest interval in the mean.
	dwellSmoothing = 0.5
	// dwellLeadRatio is the ratio of loads at which another model takes the lead.
	dwellLeadRatio = 1.1
	// dwellInitial is assumed until a shift was seen to end.
	dwellInitial = 10 * time.Minute
)

// Dwell estimates how long a shift of load between models lasts, from the times
// at which the model with most load changes.
type Dwell struct {
	model string
	since time.Time
	mean  time.Duration
}

// Observe takes in the load of the models. Backlogs do not count, since they
// tell of the placement and not of the load.
func (d *Dwell) Observe(in Input) {
	p := planner{in: in}
	p.countWorkers()
	lead, most, current := "", 0.0, 0.0
	for _, m := range in.Models {
		demand := p.demand(m)
		if demand > most {
			lead, most = m.Model, demand
		}
		if m.Model == d.model {
			current = demand
		}
	}
	if lead == d.model || most <= dwellLeadRatio*current {
		return
	}
	d.leadChanged(lead, in.Now)
}

func (d *Dwell) leadChanged(lead string, now time.Time) {
	if d.model != "" {
		lasted := now.Sub(d.since)
		if d.mean == 0 {
			d.mean = lasted
		}
		d.mean += time.Duration(dwellSmoothing * float64(lasted-d.mean))
	}
	d.model, d.since = lead, now
}

// Mean returns the estimate. A shift that has lasted for longer than the mean is
// expected to last on.
func (d *Dwell) Mean(now time.Time) time.Duration {
	mean := d.mean
	if mean == 0 {
		mean = dwellInitial
	}
	if d.model == "" {
		return mean
	}
	return max(mean, now.Sub(d.since))
}
