package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnevenEnginesEarnNoLess compares the placement by learned speeds with the one that takes all
// engines for equally fast, at multiples of the capacity of equal engines. It is the mean of six seeds.
func TestUnevenEnginesEarnNoLess(t *testing.T) {
	mean := func(usual bool, load float64, speeds []float64) float64 {
		sum := 0.0
		const seeds = 6
		for seed := range uint64(seeds) {
			p := withShedding
			p.UsualSpeeds = usual
			sum += Run(Experiment{Policy: p, Load: load * capacity, Hosts: 7, Engines: 12, Length: 15 * time.Second, Seed: seed, Speeds: speeds}).Goodput / seeds
		}
		return sum
	}
	for _, load := range []float64{0.3, 0.5, 0.7, 1, 1.5, 2} {
		uneven, usual := mean(false, load, []float64{0.55, 1.2, 0.85, 1.0}), mean(true, load, []float64{0.55, 1.2, 0.85, 1.0})
		even, before := mean(false, load, nil), mean(true, load, nil)
		t.Logf("load %v: uneven engines %.1f (equal speeds assumed: %.1f), even engines %.1f (%.1f)", load, uneven, usual, even, before)
		require.GreaterOrEqual(t, uneven, usual, "%v", load)
		require.GreaterOrEqual(t, even, 0.99*before, "%v: equal engines, in which speeds are noise", load)
	}
}
