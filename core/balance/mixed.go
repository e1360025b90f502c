package balance

import "time"

// imposedWeight weighs the delay that a request imposes on others against its own.
const imposedWeight = 0.05

// imposed returns the delay that a request imposes on others at an upstream, if it begins to read
// its prompt after wait and reads it for read: each less or equally urgent one that waits, or that
// comes meanwhile at the rate of late, waits longer by the whole time, and each more urgent one that
// comes during the reading by half of it.
func (q *queue) imposed(rank int, wait, read time.Duration, now time.Time) time.Duration {
	rank = clampRank(rank)
	later, urgent := 0.0, 0.0
	for i := range q.ranks {
		r := &q.ranks[i]
		switch {
		case i < rank:
			urgent += r.rateAt(now) * read.Seconds() / 2
		case i > rank:
			later += float64(r.waiting) + r.rateAt(now)*(wait+read).Seconds()
		default:
			later += r.rateAt(now) * (wait + read).Seconds()
		}
	}
	return scale(read, later+urgent)
}

// rateAt returns the rate at which requests of the rank arrive, in requests a second.
func (r *rankQueue) rateAt(now time.Time) float64 {
	if r.arrived == 0 {
		return 0
	}
	return r.arrived * decay(now.Sub(r.loadUpdatedAt), loadWindow) / loadWindow.Seconds()
}
