// Package reachability decides whether this host, and not the upstreams of a service, is the
// reason why its requests don't reach them.
package reachability

import "time"

const (
	// minUpstreams is the number of upstreams that must have been out of reach in a row. A
	// single one may be down or silent.
	minUpstreams = 2
	// minTime is the time without any contact before a host counts as cut off. A crash of
	// several upstreams breaks requests off at the same moment.
	minTime = 100 * time.Millisecond
	// newsTime is the time that the word of another host may have been under way.
	newsTime = 100 * time.Millisecond
	// othersTime is how long after another host's last contact with an upstream the service
	// still counts as running there.
	othersTime = 2 * time.Second
)

// Monitor is what is known of one service. It is not safe for concurrent use.
type Monitor struct {
	// failed are the upstreams that were out of reach since the last contact, and since is when
	// the last of the first minUpstreams of them was.
	failed map[string]bool
	since  time.Time
	// reachedAt is the last contact of this host, othersAt that of another one.
	reachedAt, othersAt time.Time
}

// Reached records that an upstream has answered this host or accepted its connection.
func (m *Monitor) Reached(now time.Time) {
	clear(m.failed)
	m.since = time.Time{}
	m.reachedAt = now
}

// ReachedAgo returns the time since the last contact of this host, or false if it was not
// shortly before.
func (m *Monitor) ReachedAgo(now time.Time) (time.Duration, bool) {
	ago := now.Sub(m.reachedAt)
	return ago, !m.reachedAt.IsZero() && ago < othersTime
}

// SilentFor reports whether this host has had no contact for a time or longer.
func (m *Monitor) SilentFor(d time.Duration, now time.Time) bool { return now.Sub(m.reachedAt) >= d }

// NotReached records that an upstream has not answered this host: the connection failed or broke
// off before the answer, or the answer is long overdue.
func (m *Monitor) NotReached(upstream string, now time.Time) {
	if m.failed == nil {
		m.failed = make(map[string]bool)
	}
	if !m.failed[upstream] && len(m.failed) < minUpstreams {
		m.since = now
	}
	m.failed[upstream] = true
}

// OthersReached records that an upstream has answered another host at a time.
func (m *Monitor) OthersReached(at time.Time) {
	if at.After(m.othersAt) {
		m.othersAt = at
	}
}

// Suspected reports whether this host may be cut off from the service: the last upstreams were
// out of reach. upstreams is the number of upstreams that take requests.
func (m *Monitor) Suspected(upstreams int) bool {
	return len(m.failed) >= max(1, min(minUpstreams, upstreams))
}

// OthersReach reports whether another host has had contact with an upstream shortly before.
func (m *Monitor) OthersReach(now time.Time) bool { return now.Sub(m.othersAt) < othersTime }

// CutOff reports whether this host reaches no upstream while others do: they have had contact since
// it had none.
func (m *Monitor) CutOff(upstreams int, now time.Time) bool {
	return m.Suspected(upstreams) && now.Sub(m.since) >= minTime && m.OthersReach(now) && !m.othersAt.Before(m.since.Add(newsTime))
}
