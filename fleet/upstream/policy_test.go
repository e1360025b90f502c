package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// evenRates splits a rate evenly over four accounts.
func evenRates(rate float64) map[string]float64 {
	return map[string]float64{"a": rate / 4, "b": rate / 4, "c": rate / 4, "d": rate / 4}
}

// TestWaitingWithASlowUpstream compares the waiting times of the policies at 80%
// load, where one upstream in ten is slow.
func TestWaitingWithASlowUpstream(t *testing.T) {
	for _, slow := range []float64{1.2, 1.5, 3} {
		capacity := simSlots * (9 + 1/slow)
		p95 := make(map[string]time.Duration)
		for _, policy := range []string{"random", "round-robin", "least-reported", "ours"} {
			r := simulate(t, simulation{policy: policy, hosts: 8, upstreams: 10, slow: slow, lag: simLag, length: 2 * time.Minute, rates: evenRates(0.8 * capacity), seed: 1})
			p95[policy] = r.quantile(0.95, anyOutcome, waitOf)
			t.Logf("slow %.1f, %s: waiting p50 %v p95 %v, peak load of the other upstreams %d, %d requests", slow, policy,
				r.quantile(0.5, anyOutcome, waitOf).Round(time.Millisecond), p95[policy].Round(time.Millisecond), r.peak, len(r.outcomes))
		}
		require.Less(t, p95["ours"], p95["round-robin"]*7/10)
		require.Less(t, p95["ours"], p95["random"])
	}
}

// TestPrefixHits guards against hosts that send the same prefix to different
// upstreams: eight hosts must hit the prefix caches nearly as often as one. Round
// robin, which has no affinity, is logged for comparison.
func TestPrefixHits(t *testing.T) {
	hits := func(hosts, prefixes int, policy string) float64 {
		r := simulate(t, simulation{policy: policy, hosts: hosts, upstreams: 10, lag: simLag, prefixes: 200, length: time.Minute, rates: evenRates(90), seed: 2})
		h := r.share(func(o outcome) bool { return o.hit })
		t.Logf("%s, %d hosts: hits %.1f%%, waiting p95 %v", policy, hosts, 100*h, r.quantile(0.95, anyOutcome, waitOf).Round(time.Millisecond))
		return h
	}
	one, eight := hits(1, 200, "ours"), hits(8, 200, "ours")
	hits(8, 200, "round-robin")
	require.Greater(t, eight, 0.9*one)
	require.Greater(t, one, 0.7)
}

// TestNoHerdOnStaleReports checks that load reports up to 5 s old do not make all
// hosts send their requests to the same upstream.
func TestNoHerdOnStaleReports(t *testing.T) {
	peak := make(map[string]int)
	for _, policy := range []string{"least-reported", "random", "ours"} {
		r := simulate(t, simulation{policy: policy, hosts: 8, upstreams: 10, lag: 5 * time.Second, length: 2 * time.Minute, rates: evenRates(64), seed: 3})
		peak[policy] = r.peak
		t.Logf("%s: peak load of an upstream with %d slots %d, waiting p95 %v", policy, simSlots, r.peak, r.quantile(0.95, anyOutcome, waitOf).Round(time.Millisecond))
	}
	require.Less(t, peak["ours"], peak["random"])
}

// TestHeavyAccountDoesNotSlowOthers has one account offer ten times its share: on
// a single host, and with the callers of each account on a host of their own.
func TestHeavyAccountDoesNotSlowOthers(t *testing.T) {
	others := func(o outcome) bool { return o.account != "a" }
	p95 := func(hosts int, heavy float64) (wait, total time.Duration) {
		rates := evenRates(64)
		rates["a"] *= heavy
		r := simulate(t, simulation{policy: "ours", hosts: hosts, steered: true, upstreams: 10, lag: simLag, length: 2 * time.Minute, rates: rates, deadline: 15 * time.Second, seed: 4})
		wait, total = r.quantile(0.95, others, waitOf), r.quantile(0.95, others, totalOf)
		t.Logf("%d hosts, heavy %gx: others wait p95 %v, total p95 %v, useful %.2f%%", hosts, heavy, wait.Round(time.Millisecond), total.Round(time.Millisecond),
			100*r.share(func(o outcome) bool { return others(o) && o.useful })/r.share(others))
		return wait, total
	}
	// What happens at the same moment of virtual time happens in any order, which moves the p95
	// of one run by up to 2%.
	const runs = 5
	for _, hosts := range []int{1, 4} {
		var before, after time.Duration
		for range runs {
			_, usual := p95(hosts, 1)
			_, heavy := p95(hosts, 10)
			require.Less(t, usual, 4*simService)
			before, after = before+usual/runs, after+heavy/runs
		}
		require.Less(t, after, before*11/10, "%d hosts", hosts)
	}
}

func useful(o outcome) bool { return o.useful }

// TestUsefulWorkUnderOverload compares the requests that end before their
// deadline at twice the capacity with those at capacity.
func TestUsefulWorkUnderOverload(t *testing.T) {
	work := func(policy string, load float64) float64 {
		r := simulate(t, simulation{policy: policy, hosts: 4, upstreams: 10, lag: simLag, length: 2 * time.Minute, rates: evenRates(load * 80), deadline: 5 * time.Second, seed: 5})
		done := r.share(useful) * float64(len(r.outcomes)) / 120
		refused := func(o outcome) bool { return !o.useful }
		t.Logf("%s at %.1f times the capacity: useful %.1f/s, refusals after p95 %v", policy, load, done, r.quantile(0.95, refused, totalOf))
		return done
	}
	at, over := work("ours", 1), work("ours", 2)
	work("round-robin", 1)
	work("round-robin", 2)
	require.Greater(t, over, 0.95*at)
	require.Greater(t, at, 0.85*80)
}

// TestRetryBudgetStopsStorms makes half of all attempts fail in the middle third
// of the run; the retry share must bound the attempts.
func TestRetryBudgetStopsStorms(t *testing.T) {
	run := func(share float64) (offered, done float64) {
		r := simulate(t, simulation{policy: "ours", hosts: 4, upstreams: 10, lag: simLag, length: 3 * time.Minute, rates: evenRates(64), deadline: 5 * time.Second, attempts: 3, retryShare: share, brownout: 0.5, seed: 6})
		middle := 0.0
		for _, o := range r.outcomes {
			if o.middle {
				middle++
				if o.useful {
					done++
				}
			}
		}
		offered = float64(r.attempts) / 60
		t.Logf("retry share %.1f: first attempts %.1f/s, attempts run %.1f/s, useful %.1f/s, waiting p95 %v", share, middle/60, offered, done/60,
			r.quantile(0.95, func(o outcome) bool { return o.middle }, waitOf).Round(time.Millisecond))
		return offered, done / 60
	}
	bounded, _ := run(0.1)
	run(10)
	require.Less(t, bounded, 64*1.15)
}
