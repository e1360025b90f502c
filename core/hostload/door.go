package hostload

import "time"

const (
	// minBearable is the least number of requests per second that a full host takes. Its own
	// work may take up the resources for a moment.
	minBearable = 4
	// targetShare is the share of its resources that a limited host fills.
	targetShare = 0.8
	// costTime is the time over which the cost of a request is averaged. Answers last for
	// seconds, so that their cost comes later than they do.
	costTime = 3 * time.Second
	// approach is the part of the way to the requests that the host can carry that it goes with
	// each sample.
	approach = 0.2
	// lateFall is the factor with each sample while the host is late, and minLateShare how far
	// the requests may fall by it, as a share of those that the host can carry.
	lateFall     = 0.95
	minLateShare = 0.5
	// chokedLate is the lateness from which nothing that the host sends is answered in time. Callers'
	// requests then fail after they have taken up its link, so that their number says nothing of what
	// it can carry. chokedFall is the factor with each sample while it lasts.
	chokedLate = 100 * time.Millisecond
	chokedFall = 0.8
	// minChokedShare is how far the requests may fall by it, as a share of those that the host carried
	// before: it drains its link with the rest, and the callers who keep to it are still served.
	minChokedShare = 0.3
	// freeAfter is how long the limit must not have been needed to end.
	freeAfter = 4 * time.Second
	// burstTime is the time for which a full host may take more than it can carry.
	burstTime = 100 * time.Millisecond
	// maxDebtTime bounds how long a full host takes no new connection because of requests on
	// those that are open. Callers must not take it for lost.
	maxDebtTime = 300 * time.Millisecond
	// maxTurning is how long a full host at most takes no new connection, however many requests come
	// on those that are open.
	maxTurning = time.Second
	// minClosed is the least time for which no connection is taken.
	minClosed = 20 * time.Millisecond
)

// updateBearable updates the requests per second that this host takes. The limit begins when the
// host is full.
func (m *Monitor) updateBearable(now time.Time) {
	carries, known := m.carries()
	if m.limitedAt.IsZero() {
		if m.level != Full {
			return
		}
		m.bearable = m.use.Requests
	}
	if m.level == Full || m.use.Requests >= m.bearable/2 {
		m.limitedAt = now
	}
	if now.Sub(m.limitedAt) >= freeAfter {
		m.limitedAt = time.Time{}
		return
	}
	if known && m.use.Late < FullLate {
		m.sound = carries
	}
	switch {
	case m.use.Late >= chokedLate:
		m.bearable = max(m.bearable*chokedFall, minChokedShare*m.sound)
	case !known || m.long.Requests < m.bearable/2:
		// So few requests don't show their cost, and are not the cause of the load.
	case m.use.Late >= FullLate:
		m.bearable = max(minLateShare*carries, min(m.bearable, carries)*lateFall)
	default:
		m.bearable += approach * (carries - m.bearable)
	}
	m.bearable = max(minBearable, m.bearable)
}

// carries returns the requests per second that fill the target share, by the cost of those of the
// last seconds.
func (m *Monitor) carries() (perSecond float64, known bool) {
	used := max(m.long.Processor, m.long.In, m.long.Out)
	if used <= 0 || m.long.Requests <= 0 {
		return 0, false
	}
	return targetShare * m.long.Requests / used, true
}

// Use returns the shares in use.
func (m *Monitor) Use() Use { return m.use }

// Level returns the level.
func (m *Monitor) Level() Level { return m.level }

// Bearable returns the number of requests per second that the host takes, and false if it takes
// all.
func (m *Monitor) Bearable() (float64, bool) { return m.bearable, !m.limitedAt.IsZero() }

// Door decides which callers a full host takes. It is not safe for concurrent use.
type Door struct {
	tokens  float64
	at      time.Time
	rate    float64
	limited bool
	// takenAt is when a new connection was last taken, or the limit began.
	takenAt time.Time
}

// SetRate sets the requests per second to take. If not limited, all callers are taken.
func (d *Door) SetRate(perSecond float64, limited bool, now time.Time) {
	d.refill(now)
	if limited && !d.limited {
		d.tokens, d.takenAt = perSecond*burstTime.Seconds(), now
	}
	d.rate, d.limited = perSecond, limited
}

func (d *Door) refill(now time.Time) {
	if !d.at.IsZero() && d.limited {
		d.tokens += d.rate * now.Sub(d.at).Seconds()
		d.tokens = min(d.tokens, max(1, d.rate*burstTime.Seconds()))
	}
	d.at = now
}

// Request counts a request on an open connection. It reports whether the connection is kept.
func (d *Door) Request(now time.Time) (keep bool) {
	if !d.limited {
		return true
	}
	d.refill(now)
	d.tokens = max(d.tokens-1, -d.rate*maxDebtTime.Seconds())
	return d.tokens >= 0
}

// Connect counts a new connection and reports whether it is taken.
func (d *Door) Connect(now time.Time) bool {
	if !d.limited {
		return true
	}
	d.refill(now)
	if d.tokens < 0 && !d.mustTake(now) {
		return false
	}
	d.tokens = max(d.tokens-1, -d.rate*maxDebtTime.Seconds()-1)
	d.takenAt = now
	return true
}

// mustTake reports whether no new connection was taken for so long that callers would take the host
// for lost.
func (d *Door) mustTake(now time.Time) bool { return now.Sub(d.takenAt) >= maxTurning }

// ClosedFor returns the time for which no new connection is taken.
func (d *Door) ClosedFor(now time.Time) time.Duration {
	if !d.limited {
		return 0
	}
	d.refill(now)
	if d.tokens >= 0 || d.mustTake(now) {
		return 0
	}
	return max(minClosed, time.Duration((1-d.tokens)/d.rate*float64(time.Second)))
}
