package main

import (
	"bytes"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// capacity is the highest multiple of the usual load at which the engines earn nine
// tenths of the credit. TestCapacity checks it.
const capacity = 1.8

var (
	withoutShedding = Policy{Name: "least cost", Placement: LeastCost}
	withShedding    = Policy{Name: "least cost, gate", Placement: LeastCost, Shed: true}
)

func runPolicy(p Policy, load float64, seed uint64) Result {
	return Run(Experiment{Policy: p, Load: load, Hosts: 7, Engines: usualEngines, Length: 20 * time.Second, Seed: seed})
}

func forSeeds(t *testing.T, check func(t *testing.T, seed uint64)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { check(t, seed) })
	}
}

func TestCapacity(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		require.Greater(t, runPolicy(withShedding, capacity, seed).Credit, 0.9)
		require.Less(t, runPolicy(withShedding, 1.25*capacity, seed).Credit, 0.9)
	})
}

// TestGoodputHoldsBeyondCapacity checks that twice the capacity keeps at least 95%
// of the goodput at capacity. Without shedding, no answer starts in time.
func TestGoodputHoldsBeyondCapacity(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		at, beyond := runPolicy(withShedding, capacity, seed), runPolicy(withShedding, 2*capacity, seed)
		require.GreaterOrEqual(t, beyond.Goodput, 0.95*at.Goodput)
		require.Less(t, runPolicy(withoutShedding, 2*capacity, seed).Goodput, 0.95*at.Goodput, "without shedding, this load must reduce goodput")
	})
}

// Of those who are shed and come back when told, eight in ten are served at their first try, with a
// load that rises and falls about the capacity.
func TestReturningCallersAreServed(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		r := Run(Experiment{Policy: withShedding, Load: capacity, Wave: 0.4, Hosts: 7, Engines: usualEngines, Length: 22 * time.Second, Seed: seed})
		require.Greater(t, r.Retried, 100)
		require.GreaterOrEqual(t, r.RetriedServed, r.Retried*8/10, "of %d", r.Retried)
	})
}

// Far beyond capacity, the goodput at two and three times the capacity stays near the peak, with
// few and with many hosts.
func TestGoodputStaysNearItsPeak(t *testing.T) {
	for _, hosts := range []int{30, 295} {
		run := func(load float64) float64 {
			return Run(Experiment{Policy: withShedding, Load: load, Hosts: hosts, Engines: usualEngines, Length: 6 * time.Second, Seed: 1}).Goodput
		}
		peak := max(run(capacity), run(1.25*capacity), run(1.5*capacity))
		require.GreaterOrEqual(t, run(2*capacity), 0.9*peak, "%d hosts", hosts)
		require.GreaterOrEqual(t, run(3*capacity), 0.85*peak, "%d hosts", hosts)
	}
}

// TestSheddingKeepsCreditBelowCapacity checks that the usual load is hardly shed:
// shedding costs at most 0.01 of the credit.
func TestSheddingKeepsCreditBelowCapacity(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		require.GreaterOrEqual(t, runPolicy(withShedding, 1, seed).Credit, runPolicy(withoutShedding, 1, seed).Credit-0.01)
	})
}

// TestLessUrgentAreShedFirst checks, beyond capacity, that the most urgent kind is
// served and that no kind is served more than a more urgent one.
func TestLessUrgentAreShedFirst(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		for _, load := range []float64{2.5, 3, 4} {
			kinds := runPolicy(withShedding, load, seed).Kinds
			require.Greater(t, kinds[0].Served(), 0.9, "the most urgent, at %v", load)
			for i := 1; i < len(kinds); i++ {
				require.LessOrEqual(t, kinds[i].Served(), kinds[i-1].Served(), "%s at %v", kinds[i].Name, load)
			}
		}
	})
}

// TestPlacementReadsLessThanBaselines checks that, at the usual load, LeastCost
// prefills fewer tokens of shared parts again than each baseline.
func TestPlacementReadsLessThanBaselines(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		ours := runPolicy(withShedding, 1, seed).RereadTokens
		for _, p := range policies()[:LeastCost] {
			require.Less(t, ours, runPolicy(p, 1, seed).RereadTokens, p.Name)
		}
	})
}

// TestManyHostsKeepCredit guards against herding: many hosts place requests at the
// same time from state that is gossipDelay old. 80 hosts must earn more than 95% of
// the credit of 2 hosts.
func TestManyHostsKeepCredit(t *testing.T) {
	x := Experiment{Policy: withShedding, Load: capacity, Engines: 3 * usualEngines, Length: 5 * time.Second, Seed: 1}
	x.Hosts = 2
	few := Run(x)
	x.Hosts = 80
	many := Run(x)
	require.Greater(t, many.Credit, 0.95*few.Credit)
}

func TestTableAndPlot(t *testing.T) {
	results := compare(Experiment{Hosts: 2, Engines: 2, Length: time.Second, Seed: 1}, []float64{1, 2})
	var table bytes.Buffer
	require.NoError(t, writeTable(&table, results))
	require.Equal(t, 2+2*len(policies()), bytes.Count(table.Bytes(), []byte("\n")))
	file := filepath.Join(t.TempDir(), "plot.svg")
	require.NoError(t, drawPlot(file, results))
	require.FileExists(t, file)
	require.Error(t, drawPlot(filepath.Join(t.TempDir(), "no", "plot.svg"), results))
}
