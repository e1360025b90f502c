package hostload

import "time"

const (
	// floodShare is the share of the link, averaged, from which it is full of what callers send, and
	// floodEnds the share below which it is no longer.
	floodShare = 0.85
	floodEnds  = 0.5
	// floodTime is how long the link must have been below floodEnds for a flood to end.
	floodTime = 2 * time.Second
)

// flood tells whether callers send more than a host's link can carry. Rejections don't help then, since
// the requests have been sent.
type flood struct {
	on bool
	// at is when the link was last in use for more than floodEnds.
	at time.Time
}

func (f *flood) update(in float64, now time.Time) {
	if in >= floodEnds {
		f.at = now
	}
	f.on = in >= floodShare || f.on && now.Sub(f.at) < floodTime
}

// Flooded reports whether callers send more than the link can carry, or did so shortly before.
func (m *Monitor) Flooded() bool { return m.flood.on }
