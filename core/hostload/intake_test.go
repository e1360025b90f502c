package hostload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loadedHost is a host with a fifth of a core, whose requests take 2 ms of the processor: it can carry
// 96 a second. Work is done in the order in which it comes. Callers leave after patience, and what is
// done for them after that is in vain. A rejection takes rejectTime.
type loadedHost struct {
	monitor *Monitor
	rng     *rand.Rand
	now     time.Time
	sample  Sample
	queue   []queuedWork
	backlog time.Duration
	// Counts of the requests that were served in time and of those rejected, by rank.
	served, rejected, asked [3]int
}

type queuedWork struct {
	left   time.Duration
	rank   int
	leaves time.Time // zero if it is a rejection
}

const (
	rejectTime = 300 * time.Microsecond
	patience   = 1500 * time.Millisecond
)

func newLoadedHost() *loadedHost {
	h := &loadedHost{monitor: NewMonitor(Limits{Cores: testCores}), now: start, rng: rand.New(rand.NewPCG(1, 2))}
	h.run(2*startTime, 20)
	return h
}

// run has callers send perSecond requests, of three ranks in turn. Callers that are rejected don't come
// back.
func (h *loadedHost) run(d time.Duration, perSecond float64) {
	const step = 5 * time.Millisecond
	h.served, h.rejected, h.asked = [3]int{}, [3]int{}, [3]int{}
	due := 0.0
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(step)
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			rank := h.rng.IntN(3)
			h.asked[rank]++
			h.sample.Requests++
			work := queuedWork{left: requestTime, rank: rank, leaves: h.now.Add(patience)}
			if !h.monitor.Takes(rank, h.rng.Float64()) {
				h.rejected[rank]++
				work = queuedWork{left: rejectTime}
			}
			h.queue = append(h.queue, work)
			h.backlog += work.left
		}
		h.work(time.Duration(testCores * float64(step)))
		if h.now.Sub(h.sample.At) >= Interval {
			h.sample.At = h.now
			h.sample.RunQueue = time.Duration(float64(h.backlog) / testCores)
			h.monitor.Add(h.sample)
		}
	}
}

func (h *loadedHost) work(processor time.Duration) {
	for processor > 0 && len(h.queue) > 0 {
		used := min(processor, h.queue[0].left)
		processor -= used
		h.queue[0].left -= used
		h.backlog -= used
		h.sample.Processor += used
		if h.queue[0].left > 0 {
			return
		}
		if done := h.queue[0]; !done.leaves.IsZero() && h.now.Before(done.leaves) {
			h.served[done.rank]++
		}
		h.queue = h.queue[1:]
	}
}

func sum(counts [3]int) int { return counts[0] + counts[1] + counts[2] }

// The callers of one account keep to a small host, with two to three times what it can carry. Without
// rejections all that it does is done for callers who have left.
func TestOverloadedHostServesWhatItCanCarry(t *testing.T) {
	for _, perSecond := range []float64{150, 200, 300} {
		h := newLoadedHost()
		h.run(3*time.Second, perSecond)
		h.run(10*time.Second, perSecond)
		carries := 10 * (testCores*1000 - rejectTime.Seconds()*1000*(perSecond-96)) / (requestTime.Seconds() * 1000)
		require.Greater(t, float64(sum(h.served)), 0.7*carries, "%v a second, of what is left beside rejections", perSecond)
		require.Less(t, time.Duration(float64(h.backlog)/testCores), 400*time.Millisecond)
		for rank := range 2 {
			require.Less(t, float64(h.rejected[rank])/float64(h.asked[rank]), float64(h.rejected[rank+1])/float64(h.asked[rank+1]), "the more urgent ones go first")
		}
	}
}

func TestHostWithRoomRejectsNothing(t *testing.T) {
	h := newLoadedHost()
	h.run(20*time.Second, 70)
	require.Zero(t, sum(h.rejected))
	for range 10 { // bursts of 8 requests at once
		h.run(10*time.Millisecond, 800)
		require.Zero(t, sum(h.rejected))
		h.run(990*time.Millisecond, 40)
		require.Zero(t, sum(h.rejected))
	}
}

func TestRejectionsEndWithTheLoad(t *testing.T) {
	h := newLoadedHost()
	h.run(6*time.Second, 300)
	require.Positive(t, sum(h.rejected))
	h.run(4*time.Second, 60)
	h.run(5*time.Second, 60)
	require.Zero(t, sum(h.rejected))
	require.Greater(t, float64(sum(h.served)), 0.95*float64(sum(h.asked)))
}

// A machine that was stopped for a moment has work waiting, and so has one whose processor is taken by
// something short. Neither has too many requests.
func TestStoppedHostRejectsNothing(t *testing.T) {
	var i Intake
	s := Sample{At: start}
	update := func(processor float64, wait time.Duration) {
		s.At, s.Requests, s.RunQueue = s.At.Add(Interval), s.Requests+5, wait
		i.Update(processor, s)
	}
	for range 100 {
		update(0.3, 0)
	}
	for _, wait := range []time.Duration{4 * time.Second, 0, 0, 80 * time.Millisecond, 0, 90 * time.Millisecond, 0} {
		update(0.9, wait)
		require.True(t, i.Takes(2, 0))
	}
	for range 20 { // a slow machine, whose processor the host does not fill
		update(0.4, 100*time.Millisecond)
		require.True(t, i.Takes(2, 0))
	}
}

// A host that starts fills its processor by itself, and so does one that has something to do while no
// requests come.
func TestStartingHostRejectsNothing(t *testing.T) {
	var i Intake
	s := Sample{At: start, RunQueue: 200 * time.Millisecond}
	for range 25 {
		s.At, s.Requests = s.At.Add(Interval), s.Requests+5
		i.Update(1, s)
		require.True(t, i.Takes(2, 0))
	}
	s.At = s.At.Add(time.Minute)
	for range 50 {
		s.At = s.At.Add(Interval)
		i.Update(1, s)
		require.True(t, i.Takes(2, 0))
	}
}
