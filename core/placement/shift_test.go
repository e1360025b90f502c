package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// policy returns the move to make now, or nil for none.
type policy func(in Input) *Decision

func fixedPolicy(Input) *Decision { return nil }

func planPolicy() policy {
	var dwell Dwell
	return func(in Input) *Decision {
		dwell.Observe(in)
		in.Dwell = dwell.Mean(in.Now)
		out := Plan(DefaultConfig(), in)
		if len(out) == 0 {
			return nil
		}
		return &out[0]
	}
}

// resizePolicy applies the resizing rule of the paper on malleable jobs to models: a
// model with waiting requests gets a worker of a model without, whatever the cost.
func resizePolicy(in Input) *Decision {
	slots := make(map[string]float64)
	for _, w := range in.Workers {
		if w.Busy {
			return nil
		}
		slots[w.Serving.Model] += float64(w.Slots)
	}
	for _, to := range in.Models {
		for _, from := range in.Models {
			if to.Load <= slots[to.Model] || from.Load > slots[from.Model] || slots[from.Model] <= 8 {
				continue
			}
			at := slices.IndexFunc(in.Workers, func(w Worker) bool { return w.Serving.Model == from.Model })
			return &Decision{Worker: in.Workers[at].ID, Target: to.Target, Reason: ReasonLoad}
		}
	}
	return nil
}

type shiftResult struct {
	waits []float64 // seconds
	total []float64
	moves int
}

func (r *shiftResult) quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// simulateShifts simulates two models on ten workers of 8 slots for an hour, in steps
// of 100 ms. The busier model changes every period. Service times are exponential with
// a mean of 2 s.
func simulateShifts(p policy, period, loadTime time.Duration, seed uint64) shiftResult {
	const (
		step    = 100 * time.Millisecond
		service = 2.0
		length  = time.Hour
	)
	rng := rand.New(rand.NewPCG(seed, 9))
	models := []Model{modelOf("a", 0, 1), modelOf("b", 0, 1)}
	for i := range models {
		models[i].DeclaredReplicas = 5
	}
	in := Input{Models: models, Workers: fleet(10, "a", "b"), LoadTime: loadTime}
	readyAt := make([]time.Time, len(in.Workers))
	queues := make([][]time.Time, 2)
	ends := make([][]time.Time, 2)
	var r shiftResult
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		busier := int(now.Sub(start)/period) % 2
		slots := []int{0, 0}
		for i, w := range in.Workers {
			in.Workers[i].Busy = now.Before(readyAt[i])
			if !in.Workers[i].Busy {
				slots[int(w.Serving.Model[0]-'a')] += w.Slots
			}
		}
		for m := range 2 {
			rate := 8.0 // requests/s: 40% of half of the capacity
			if m == busier {
				rate = 24 // requests/s: 120% of half of the capacity
			}
			for p := rate * step.Seconds(); p > 0; p-- {
				if rng.Float64() < p {
					queues[m] = append(queues[m], now)
				}
			}
			ends[m] = slices.DeleteFunc(ends[m], func(t time.Time) bool { return !t.After(now) })
			for len(queues[m]) > 0 && len(ends[m]) < slots[m] {
				took := time.Duration(rng.ExpFloat64() * service * float64(time.Second))
				wait := now.Sub(queues[m][0])
				r.waits = append(r.waits, wait.Seconds())
				r.total = append(r.total, (wait + took).Seconds())
				ends[m] = append(ends[m], now.Add(took))
				queues[m] = queues[m][1:]
			}
			current := float64(len(ends[m]) + len(queues[m]))
			in.Models[m].Load += 0.01 * (current - in.Models[m].Load) // moving average over 10 s
		}
		in.Now = now
		if now.Sub(start)%(5*time.Second) != 0 {
			continue
		}
		if d := p(in); d != nil {
			i := slices.IndexFunc(in.Workers, func(w Worker) bool { return w.ID == d.Worker })
			in.Workers[i].Serving, in.Workers[i].MovedAt = d.Target, now
			in.Workers[i].Busy, readyAt[i] = true, now.Add(loadTime)
			r.moves++
		}
	}
	return r
}

// TestPlanFollowsShiftingLoad compares the waiting times of a fixed placement, the
// resizing rule and the plan under a load that shifts between two models. The plan must
// beat the fixed placement when shifts are long compared with the loading time, and
// must never be much worse.
func TestPlanFollowsShiftingLoad(t *testing.T) {
	for _, c := range []struct{ period, load time.Duration }{{20 * time.Minute, 20 * time.Second}, {20 * time.Minute, time.Minute}, {5 * time.Minute, 20 * time.Second}, {5 * time.Minute, time.Minute}, {time.Minute, 40 * time.Second}} {
		p95 := make(map[string]float64)
		policies := []struct {
			name string
			policy
		}{{"fixed", fixedPolicy}, {"resizing rule", resizePolicy}, {"plan", planPolicy()}}
		for _, p := range policies {
			r := simulateShifts(p.policy, c.period, c.load, 1)
			p95[p.name] = r.quantile(r.waits, 0.95)
			t.Logf("shift every %v, loading %v, %s: waiting p50 %.2f s, p95 %.2f s; completion p50 %.2f s, p95 %.2f s; %d moves, %d answered", c.period, c.load, p.name,
				r.quantile(r.waits, 0.5), p95[p.name], r.quantile(r.total, 0.5), r.quantile(r.total, 0.95), r.moves, len(r.waits))
		}
		if c.period >= 15*c.load {
			require.Less(t, p95["plan"], p95["fixed"])
		}
		require.Less(t, p95["plan"], 1.25*p95["fixed"], "following too late must not cost much")
	}
}
