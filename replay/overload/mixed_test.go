package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mixedKinds are long, middle and short prompts in the proportions of two deployments. They read
// 6,670 tokens beyond the shared part, of which 57 in 100 belong to a session, 2,030 and 610.
func mixedKinds() []Kind {
	return []Kind{
		{Name: "middle", Rank: 0, Objective: 500 * time.Millisecond, Timeout: 3 * time.Second, Pause: 400 * time.Millisecond, PerSecond: 25,
			SharedTokens: 341, SessionTokens: 2030, SessionShare: 0.11, Groups: 80, Sessions: 350, Output: 22, Credit: 1.8, LateCredit: 0.92},
		{Name: "long", Rank: 1, Objective: 600 * time.Millisecond, Timeout: 5 * time.Second, Pause: 400 * time.Millisecond, PerSecond: 20,
			SharedTokens: 2520, SessionTokens: 6670, SessionShare: 0.57, Groups: 4, Sessions: 190, Output: 52, Credit: 3.4, LateCredit: 1.7},
		{Name: "short", Rank: 2, Objective: 400 * time.Millisecond, Timeout: 12 * time.Second, Pause: 400 * time.Millisecond, PerSecond: 8,
			SharedTokens: 103, SessionTokens: 610, SessionShare: 0.11, Groups: 80, Sessions: 75, Output: 280, Credit: 1.1, LateCredit: 0.56},
	}
}

// TestLongAndShortPrompts compares with the choice of before, at multiples of the usual load, which
// is nearly the capacity: no kind may be in time less often at any load by more than the noise of
// the seeds, and over all loads the short and the middle ones more often.
func TestLongAndShortPrompts(t *testing.T) {
	gain := map[string]float64{}
	for _, load := range []float64{0.5, 0.75, 1, 1.25, 1.5} {
		before, now := meanOfKinds(load, true), meanOfKinds(load, false)
		for i, k := range now {
			b := before[i]
			t.Logf("load %v %s: in time %.4f (before %.4f), first event %v, 99th %v (%v, %v), pause 99th %v (%v)", load, k.Name,
				k.inTime, b.inTime, k.FirstEvent, k.FirstEvent99, b.FirstEvent, b.FirstEvent99, k.Pause99, b.Pause99)
			require.GreaterOrEqual(t, k.inTime, b.inTime-0.005, "%s at %v", k.Name, load)
			gain[k.Name] += k.inTime - b.inTime
		}
	}
	require.Greater(t, gain["short"], 5*0.005, "in the mean over the loads, more than the noise")
	require.Positive(t, gain["middle"])
}

type kindMean struct {
	KindResult
	inTime float64
}

// meanOfKinds returns the mean results of each kind over a few seeds.
func meanOfKinds(load float64, usual bool) []kindMean {
	const seeds = 30
	p := withShedding
	p.UsualSpeeds = usual
	var out []kindMean
	for seed := range uint64(seeds) {
		r := Run(Experiment{Policy: p, Load: load, Hosts: 7, Engines: 12, Length: 10 * time.Second, Seed: seed, Kinds: mixedKinds()})
		for i, k := range r.Kinds {
			if seed == 0 {
				out = append(out, kindMean{KindResult: KindResult{Name: k.Name}})
			}
			out[i].inTime += float64(k.InTime) / float64(k.Requests) / seeds
			out[i].FirstEvent += k.FirstEvent / seeds
			out[i].FirstEvent99 += k.FirstEvent99 / seeds
			out[i].Pause99 += k.Pause99 / seeds
		}
	}
	return out
}
