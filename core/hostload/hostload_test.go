package hostload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// smallHost is a host with a fifth of a core whose requests take 2 ms of the processor and 6,000
// bytes of the link each way, so that it can carry 96 requests per second.
type smallHost struct {
	monitor *Monitor
	door    Door
	now     time.Time
	sample  Sample
	// work is the processor time that requests wait for.
	work time.Duration
	// taken and turnedAway count requests. lastTaken is when one was taken.
	taken, turnedAway int
	longestClosed     time.Duration
	lastTaken         time.Time
}

const (
	testCores   = 0.192
	requestTime = 2 * time.Millisecond
	requestSize = 6000
)

func newSmallHost() *smallHost {
	return &smallHost{monitor: NewMonitor(Limits{Cores: testCores, LinkBits: 10e6}), now: start, lastTaken: start}
}

// run has callers send requests on new connections, perSecond of them.
func (h *smallHost) run(d time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	due := 0.0
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(step)
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			if !h.door.Connect(h.now) {
				h.turnedAway++
				continue
			}
			h.longestClosed = max(h.longestClosed, h.now.Sub(h.lastTaken))
			h.lastTaken = h.now
			h.taken++
			h.sample.Requests++
			h.sample.In += requestSize
			h.sample.Out += requestSize
			h.work += requestTime
		}
		used := min(h.work, time.Duration(testCores*float64(step)))
		h.work -= used
		h.sample.Processor += used
		if h.now.Sub(h.sample.At) >= Interval {
			h.sample.At = h.now
			h.sample.Late = time.Duration(float64(h.work) / testCores) // a timer waits like all else
			h.monitor.Add(h.sample)
			rate, limited := h.monitor.Bearable()
			h.door.SetRate(rate, limited, h.now)
		}
	}
}

// wait returns how long a request waits for the processor.
func (h *smallHost) wait() time.Duration { return time.Duration(float64(h.work) / testCores) }

// One account's callers keep to a small host with twice what it can carry.
func TestFullHostServesInTimeWhatItTakes(t *testing.T) {
	for _, perSecond := range []float64{120, 150, 200} {
		h := newSmallHost()
		h.run(6*time.Second, perSecond)
		h.taken, h.turnedAway = 0, 0
		for range 100 {
			h.run(100*time.Millisecond, perSecond)
			require.Less(t, h.wait(), 120*time.Millisecond, "%v requests per second: no later than the shortest latency objective", perSecond)
		}
		require.Greater(t, h.taken, 480, "%v requests per second: half of what it can carry", perSecond)
		require.Positive(t, h.turnedAway)
		require.Less(t, h.longestClosed, time.Second, "callers must not take the host for lost")
	}
}

func TestHostWithRoomTurnsNobodyAway(t *testing.T) {
	h := newSmallHost()
	h.run(20*time.Second, 50)
	require.Zero(t, h.turnedAway)
	require.Equal(t, Calm, h.monitor.Level())
	for range 10 { // bursts of 8 requests at once
		h.run(10*time.Millisecond, 800)
		h.run(990*time.Millisecond, 30)
	}
	require.Zero(t, h.turnedAway)
}

func TestLimitEndsWithTheLoad(t *testing.T) {
	h := newSmallHost()
	h.run(6*time.Second, 200)
	_, limited := h.monitor.Bearable()
	require.True(t, limited)
	h.run(15*time.Second, 20)
	_, limited = h.monitor.Bearable()
	require.False(t, limited)
	require.Equal(t, Calm, h.monitor.Level())
}

// The level must not change with each sample while the load lies at a threshold.
func TestLevelsHaveHysteresis(t *testing.T) {
	h := newSmallHost()
	changes, level := 0, Calm
	for i := range 100 {
		h.run(100*time.Millisecond, 66+4*float64(i%2))
		if h.monitor.Level() != level {
			changes, level = changes+1, h.monitor.Level()
		}
	}
	require.LessOrEqual(t, changes, 2)
}

func add(m *Monitor, ms int, late, connect time.Duration) {
	m.Add(Sample{At: start.Add(time.Duration(ms) * time.Millisecond), Late: late, Connect: connect})
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestTimeoutsOfALateHostProveNothing(t *testing.T) {
	m := NewMonitor(Limits{})
	for ms := 100; ms <= 1000; ms += 100 {
		add(m, ms, time.Millisecond, time.Millisecond)
	}
	require.False(t, m.Late(at(1000), 300*time.Millisecond), "a host on time judges others, whatever they do")
	add(m, 1180, 80*time.Millisecond, 0)
	require.True(t, m.Late(at(1200), 300*time.Millisecond))
	add(m, 1280, 0, 150*time.Millisecond)
	require.True(t, m.Late(at(1500), 300*time.Millisecond), "its link is full")
	for ms := 1380; ms <= 1980; ms += 100 {
		add(m, ms, 0, time.Millisecond)
	}
	require.False(t, m.Late(at(1980), 300*time.Millisecond), "a cut is found once the host is on time")
	require.True(t, m.Late(at(1980), time.Second), "of a longer wait a part was late")
}

// A host that was stopped judges nobody before it has taken another sample.
func TestStoppedHostIsLate(t *testing.T) {
	m := NewMonitor(Limits{})
	add(m, 100, 0, 0)
	add(m, 200, 0, 0)
	require.False(t, m.Late(at(300), time.Second))
	require.True(t, m.Late(at(5000), 300*time.Millisecond))
	add(m, 5000, 4700*time.Millisecond, 0)
	require.True(t, m.Late(at(5100), 300*time.Millisecond))
	for ms := 5100; ms <= 5500; ms += 100 {
		add(m, ms, 0, 0)
	}
	require.False(t, m.Late(at(5500), 300*time.Millisecond))
}

// A host whose timers run on time, ahead of all that waits for its processor, reads answers late all
// the same.
func TestTimeoutsOfAHostWithALongRunQueueProveNothing(t *testing.T) {
	m := NewMonitor(Limits{})
	for ms := 100; ms <= 1000; ms += 100 {
		m.Add(Sample{At: at(ms), Late: 2 * time.Millisecond, RunQueue: 5 * time.Millisecond})
	}
	require.False(t, m.Late(at(1000), 300*time.Millisecond))
	m.Add(Sample{At: at(1100), Late: 2 * time.Millisecond, RunQueue: 90 * time.Millisecond})
	require.True(t, m.Late(at(1150), 300*time.Millisecond))
	require.Equal(t, Calm, m.Level(), "it says nothing of the resources in use")
	for ms := 1200; ms <= 1600; ms += 100 {
		m.Add(Sample{At: at(ms), Late: 2 * time.Millisecond, RunQueue: 5 * time.Millisecond})
	}
	require.False(t, m.Late(at(1600), 300*time.Millisecond))
}

// Callers on open connections send more than a full host takes. New connections are taken all the same
// now and then: callers must not take the host for lost.
func TestFullHostTakesNewConnectionsBesideOpenOnes(t *testing.T) {
	var d Door
	d.SetRate(20, true, start)
	last, longest := start, time.Duration(0)
	for ms := 0; ms < 10_000; ms += 25 { // 40 requests per second
		d.Request(at(ms))
		if d.ClosedFor(at(ms)) == 0 && d.Connect(at(ms)) {
			last = at(ms)
		}
		longest = max(longest, at(ms).Sub(last))
	}
	require.LessOrEqual(t, longest, 1100*time.Millisecond)
}

// Callers fill a host's link so that nothing that it sends is answered in time. It takes few of them
// until its link is free, and then as many as it can carry.
func TestHostWhoseLinkIsChokedTakesFewCallers(t *testing.T) {
	h := newSmallHost()
	h.run(time.Second, 80)
	h.sample.Connect = 300 * time.Millisecond
	h.run(2*time.Second, 300)
	taken := h.taken
	h.run(2*time.Second, 300)
	require.Less(t, h.taken-taken, 2*300/10, "a tenth of those that come")
	require.LessOrEqual(t, h.longestClosed, maxTurning+Interval, "callers don't take it for lost")
	h.sample.Connect = time.Millisecond
	h.run(4*time.Second, 90)
	taken = h.taken
	h.run(2*time.Second, 90)
	require.Greater(t, h.taken-taken, 2*90*8/10, "the link is free")
}
