// Package hostload tells how much more a host can carry, from samples of the processor time, link
// and memory that it uses and of the lateness of its own timers.
package hostload

import "time"

// Limits are the resources of a host. A zero limit is not known.
type Limits struct {
	// Cores is the number of processor cores, which may be a fraction.
	Cores float64
	// LinkBits is the bandwidth of the link in each direction, in bits per second.
	LinkBits float64
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
}

// Sample is what a host has measured. Processor, In, Out and Requests count from the start of the
// process.
type Sample struct {
	At time.Time
	// Processor is the processor time used.
	Processor time.Duration
	// In and Out are the bytes received and sent.
	In, Out int64
	// Memory is the memory in use, in bytes.
	Memory int64
	// Requests is the number of callers' requests that were begun.
	Requests int64
	// Late is how late the timer ran that took the sample.
	Late time.Duration
	// Connect is the shortest time in which a connection of this host to another machine was
	// opened lately, or zero if it is not known. If even that is long, packets wait at this
	// host's link: other machines are not slow all at once. The bytes that the process reads
	// don't show it, since those of connections that it does not take fill the link too.
	Connect time.Duration
	// RunQueue is the time that a tenth of what became ready to run since the last sample waited
	// for the processor, or longer. A timer runs ahead of what waits, so Late doesn't show it. It
	// is zero if it is not known.
	RunQueue time.Duration
	// Probe is that time with the connections that were opened again, with a longer timeout,
	// after they were not opened in time. A lost packet makes these slow too.
	Probe time.Duration
}

// Use is the share of each resource in use; 1 is all of it.
type Use struct {
	Processor, In, Out, Memory float64
	// Late is how late the host's timers run, or its packets are sent and received.
	Late time.Duration
	// RunQueue is how long what is ready to run waits for the processor.
	RunQueue time.Duration
	// Requests is the number of callers' requests begun per second.
	Requests float64
}

// Level is the load of a host.
type Level int

// Levels. Full hosts can't carry all the work that callers send them.
const (
	Calm Level = iota
	Busy
	Full
)

// String returns the name of the level in logs.
func (l Level) String() string {
	switch l {
	case Calm:
		return "calm"
	case Busy:
		return "busy"
	case Full:
		return "full"
	}
	return "unknown"
}

const (
	// Interval is the time between two samples.
	Interval = 100 * time.Millisecond
	// smoothTime is the time over which shares are averaged. A garbage collection or a burst of
	// requests that arrive together is shorter.
	smoothTime = 400 * time.Millisecond
	// busyShare and fullShare are the shares of a resource from which a host is busy and full.
	// The mean wait for a resource is use/(1-use) times the time that a request takes of it: six
	// times at fullShare. A request takes a few milliseconds, and the shortest latency objectives
	// are about a hundred.
	busyShare = 0.7
	fullShare = 0.85
	// calmerBy is how far all shares must fall below the share of a level for the level to end.
	calmerBy = 0.15
	// minLevelTime is the least time that a host is full. Callers that were turned away take
	// about that long to come back.
	minLevelTime = time.Second
	// FullLate is the mean lateness from which a host is full: a request waits for the processor
	// several times, and together a large part of a latency objective of a hundred milliseconds.
	FullLate = 20 * time.Millisecond
	// UnreliableLate is the lateness from which this host's timeouts prove nothing about others.
	// An exchange takes a few wake-ups, and the shortest timeouts are some hundred milliseconds.
	UnreliableLate = 40 * time.Millisecond
	// unreliableLink is the share of the link from which packets wait for it.
	unreliableLink = 0.9
	// historyTime is how long lateness is remembered.
	historyTime = 3 * time.Second
)

// Monitor is the load of one host. It is not safe for concurrent use.
type Monitor struct {
	limits Limits
	last   Sample
	use    Use
	// long is the use averaged over costTime.
	long   Use
	intake Intake
	level  Level
	// since is when the level began.
	since time.Time
	// bearable is the number of requests per second that the host takes, if limitedAt is not
	// zero. limitedAt is when the limit was last needed.
	bearable float64
	// sound is the number of requests per second that the host could carry when it was last not late.
	sound     float64
	limitedAt time.Time
	// strained are the times in which timeouts prove nothing, newest last.
	strained []span
}

type span struct{ from, to time.Time }

// NewMonitor returns a monitor of a calm host.
func NewMonitor(l Limits) *Monitor { return &Monitor{limits: l} }

// Add adds a sample and reports whether the level has changed.
func (m *Monitor) Add(s Sample) (changed bool) {
	last := m.last
	m.last = s
	elapsed := s.At.Sub(last.At)
	if last.At.IsZero() || elapsed <= 0 {
		return false
	}
	m.update(s, last, elapsed)
	if max(s.Late, s.RunQueue, s.Connect, s.Probe) >= UnreliableLate || max(m.use.In, m.use.Out) >= unreliableLink {
		m.strain(last.At, s.At)
	}
	level := m.nextLevel(s.At)
	changed = level != m.level
	if changed {
		m.level, m.since = level, s.At
	}
	m.updateBearable(s.At)
	return changed
}

// update averages the shares in use.
func (m *Monitor) update(s, last Sample, elapsed time.Duration) {
	rate := func(n int64, limit float64) float64 {
		if limit <= 0 {
			return 0
		}
		return float64(n) / elapsed.Seconds() / limit
	}
	now := Use{
		Processor: rate(int64(s.Processor-last.Processor), m.limits.Cores*float64(time.Second)),
		In:        rate(8*(s.In-last.In), m.limits.LinkBits),
		Out:       rate(8*(s.Out-last.Out), m.limits.LinkBits),
		Requests:  rate(s.Requests-last.Requests, 1),
		Late:      max(s.Late, s.Connect),
		RunQueue:  s.RunQueue,
	}
	m.intake.Update(now.Processor, s)
	m.use.average(now, elapsed, smoothTime)
	m.long.average(now, elapsed, costTime)
	if m.limits.MemoryBytes > 0 {
		m.use.Memory = float64(s.Memory) / float64(m.limits.MemoryBytes)
	}
}

// average moves the averages over a time towards what was measured in the time elapsed.
func (u *Use) average(now Use, elapsed, over time.Duration) {
	weight := min(1, elapsed.Seconds()/over.Seconds())
	move := func(old *float64, to float64) { *old += weight * (to - *old) }
	move(&u.Processor, now.Processor)
	move(&u.In, now.In)
	move(&u.Out, now.Out)
	move(&u.Requests, now.Requests)
	u.Late += time.Duration(weight * float64(now.Late-u.Late))
	u.RunQueue += time.Duration(weight * float64(now.RunQueue-u.RunQueue))
}

// strain records a time in which timeouts prove nothing.
func (m *Monitor) strain(from, to time.Time) {
	for len(m.strained) > 0 && to.Sub(m.strained[0].to) > historyTime {
		m.strained = m.strained[1:]
	}
	if n := len(m.strained); n > 0 && !from.After(m.strained[n-1].to) {
		m.strained[n-1].to = to
		return
	}
	m.strained = append(m.strained, span{from, to})
}

// share returns the largest share in use. Lateness counts as a share of [FullLate].
func (m *Monitor) share() float64 {
	return max(m.use.Processor, m.use.In, m.use.Out, m.use.Memory, fullShare*m.use.Late.Seconds()/FullLate.Seconds())
}

func (m *Monitor) nextLevel(now time.Time) Level {
	share := m.share()
	switch {
	case share >= fullShare:
		return Full
	case m.level == Full && (share >= fullShare-calmerBy || now.Sub(m.since) < minLevelTime):
		return Full
	case share >= busyShare:
		return Busy
	case m.level >= Busy && share >= busyShare-calmerBy:
		return Busy
	}
	return Calm
}

// Takes reports whether a new request of a rank is begun, see [Intake.Takes].
func (m *Monitor) Takes(rank int, random float64) bool { return m.intake.Takes(rank, random) }

// Rejected returns the share of requests that is rejected, see [Intake.Rejected].
func (m *Monitor) Rejected() float64 { return m.intake.Rejected() }

// Late reports whether the host's own timers or packets were late at some time of the span before
// now. Its timeouts of that time then prove nothing about others. A host that was stopped is late
// before it has taken another sample.
func (m *Monitor) Late(now time.Time, d time.Duration) bool {
	if m.last.At.IsZero() {
		return false
	}
	if now.Sub(m.last.At) >= Interval+UnreliableLate {
		return true
	}
	n := len(m.strained)
	return n > 0 && now.Sub(m.strained[n-1].to) < d
}
