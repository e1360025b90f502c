package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Every answer takes a time besides the reading of its prompt. Upstreams that are equally fast count
// as that, whatever the lengths of the prompts that they get, and one at half the speed does not.
func TestShortPromptsDoNotPassForSlowUpstreams(t *testing.T) {
	p := newTestPool(4)
	now := start
	for i := range uint64(600) {
		id := upstream(int(i % 4)).ID
		read := 5 * time.Millisecond // upstreams 0 and 3
		if i%4 == 1 {
			read = 150 * time.Millisecond
		} else if i%4 == 2 {
			read = time.Duration(5+i%100) * time.Millisecond
		}
		took := 60*time.Millisecond + read*3/2
		if i%4 == 3 {
			took *= 2
		}
		attempt := AttemptID{Host: "h", Run: 1, Seq: i}
		p.Begin(attempt, id, promptOf(i, 500), read, now)
		p.FirstEvent(attempt, id, now.Add(took))
		p.End(attempt, id, Succeeded, now.Add(took))
		now = now.Add(25 * time.Millisecond) // ten answers a second of each
	}
	speeds := p.Speeds(now)
	require.InEpsilon(t, speeds[0].Factor, speeds[1].Factor, 0.15)
	require.InEpsilon(t, speeds[0].Factor, speeds[2].Factor, 0.15)
	require.Greater(t, speeds[3].Factor, 1.4*speeds[0].Factor)
}

// What an upstream states counts for a moment, wrong statements not for long.
func TestStatedSlownessIsFilteredAgedAndCorrected(t *testing.T) {
	var s speed
	s.state(100, start)
	s.state(1e9, start.Add(time.Millisecond))
	require.Less(t, s.momentary(start.Add(time.Millisecond)), 1.1, "a single statement")
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		s.state(300, now)
		s.observe(100*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond, now)
	}
	now := start.Add(100 * time.Second)
	require.InDelta(t, 1, s.present(now)*s.momentary(now), 0.2, "states to be slow, and answers as usual")
	require.InDelta(t, s.mean(now), s.present(now)*s.momentary(now.Add(10*time.Second)), 0.05, "an old statement")
}
