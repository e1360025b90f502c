package placement

import "time"

const (
	// dwellSmoothing is the weight of the newest shift in the moving average.
	dwellSmoothing = 0.5
	// dwellLeadRatio is the ratio of its demand to that of the leading model above
	// which another model takes the lead.
	dwellLeadRatio = 1.1
	// dwellInitial is the estimate until the first shift has ended.
	dwellInitial = 10 * time.Minute
)

// Dwell estimates how long a shift of load between models lasts, from the times
// at which the model with the highest demand changes. The zero Dwell is ready for
// use.
type Dwell struct {
	// model is the leading model: the one with the highest demand.
	model string
	// since is the time at which it took the lead.
	since time.Time
	// mean is the moving average; zero until a shift has ended.
	mean time.Duration
}

// Observe updates the estimate with the current load of the models. Backlogs do not
// count, since they result from the placement rather than from the load.
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

// leadChanged records that another model has taken the lead.
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

// Mean returns the expected duration of a shift. If the current shift has lasted
// for longer than the moving average, its duration so far is returned.
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
