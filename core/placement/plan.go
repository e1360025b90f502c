package placement

import (
	"math"
	"slices"
)

// Plan returns the orders to be given now, most urgent first.
func Plan(cfg Config, in Input) []Decision {
	p := planner{cfg: cfg, in: in}
	p.countWorkers()
	out := p.repairs()
	if len(out) > 0 || p.busy >= cfg.MaxOrders {
		return out
	}
	for _, step := range []func() *Decision{p.replicas, p.rollout, p.move} {
		if d := step(); d != nil {
			return []Decision{*d}
		}
	}
	return nil
}

type planner struct {
	cfg   Config
	in    Input
	busy  int
	ready int
	// Ready workers and their slots, for each model.
	workers map[string][]*Worker
	slots   map[string]float64
}

func (p *planner) countWorkers() {
	p.workers = make(map[string][]*Worker)
	p.slots = make(map[string]float64)
	for i := range p.in.Workers {
		w := &p.in.Workers[i]
		if w.Busy {
			p.busy++
			continue
		}
		if !w.Ready {
			continue
		}
		p.ready++
		p.workers[w.Serving.Model] = append(p.workers[w.Serving.Model], w)
		p.slots[w.Serving.Model] += float64(w.Slots)
	}
}

// repairs returns orders to workers that serve something else than they were
// ordered to, as after a late order of an earlier writer, and to those that an
// earlier writer has left drained.
func (p *planner) repairs() []Decision {
	var out []Decision
	for _, w := range p.in.Workers {
		wanted, ok := p.in.Wanted[w.ID]
		if !ok {
			wanted = w.Serving
		}
		wrong := w.Ready && !w.Serving.Equal(wanted)
		if (wrong || w.Drained) && !w.Busy && p.retryAllowed(w) {
			out = append(out, Decision{Worker: w.ID, Target: wanted, Reason: ReasonRepair})
		}
	}
	return out
}

func (p *planner) retryAllowed(w Worker) bool {
	return !p.in.Now.Before(w.RetryAt)
}

// replicas gives a model that has too few workers the worker that is missed
// least.
func (p *planner) replicas() *Decision {
	for _, m := range p.in.Models {
		if len(p.workers[m.Model]) >= m.MinReplicas || p.halted(m.Target) {
			continue
		}
		if w := p.spareWorker(m.Model); w != nil {
			return &Decision{Worker: w.ID, Target: m.Target, Reason: ReasonReplicas}
		}
	}
	return nil
}

// rollout takes the next worker to a model's wanted version or adapters.
func (p *planner) rollout() *Decision {
	for _, m := range p.in.Models {
		if p.halted(m.Target) {
			continue
		}
		for _, w := range p.workers[m.Model] {
			if w.Serving.differsFrom(m.Target) && p.retryAllowed(*w) && p.canSpareWorker(m) {
				return &Decision{Worker: w.ID, Target: m.Target, Reason: ReasonRollout}
			}
		}
	}
	return nil
}

// canSpareWorker tells whether a model can do without one worker for a while: the
// floor of the service holds, and a model with several replicas keeps one.
func (p *planner) canSpareWorker(m Model) bool {
	if len(p.workers[m.Model]) < 2 && m.MinReplicas > 1 {
		return false
	}
	return p.aboveFloor()
}

func (p *planner) aboveFloor() bool {
	return float64(p.ready-1) >= p.cfg.FloorShare*float64(len(p.in.Workers)) || len(p.in.Workers) == 1
}

// move returns the move of a worker between models with the highest gain, if it
// is worth its cost.
func (p *planner) move() *Decision {
	if !p.aboveFloor() {
		return nil
	}
	var best *Decision
	for _, to := range p.in.Models {
		if p.halted(to.Target) {
			continue
		}
		for _, from := range p.in.Models {
			if from.Model == to.Model || len(p.workers[from.Model]) <= from.MinReplicas {
				continue
			}
			d := p.evaluateMove(from, to)
			if d != nil && (best == nil || d.Gain-d.Cost > best.Gain-best.Cost) {
				best = d
			}
		}
	}
	return best
}

// evaluateMove compares the waiting that a move saves within the horizon with the
// waiting that it causes, by lost capacity while it loads and after.
func (p *planner) evaluateMove(from, to Model) *Decision {
	w := p.movableWorker(from.Model)
	if w == nil || p.tooSlow(from, to, float64(w.Slots)) {
		return nil
	}
	slots := float64(w.Slots)
	horizon, load := p.cfg.Horizon.Seconds(), p.in.LoadTime.Seconds()
	gain := min(p.shortage(to, 0), slots) * (horizon - load)
	used := min(1, from.Load/max(1, p.slots[from.Model]))
	cost := load*slots*used + p.shortage(from, slots)*horizon
	if gain <= 0 || gain <= p.cfg.Hysteresis*cost {
		return nil
	}
	return &Decision{Worker: w.ID, Target: to.Target, Reason: ReasonLoad, Gain: gain, Cost: cost}
}

// minDwellPerLag is the least ratio of the time that a shift lasts to the time that
// it takes to follow it.
const minDwellPerLag = 4

// tooSlow tells whether the placement would follow the load so late that the
// load has shifted back soon after; capacity in the wrong place is worse than
// capacity that stays. Moves back to what the settings declare are not held up.
func (p *planner) tooSlow(from, to Model, slots float64) bool {
	towardsDeclared := len(p.workers[from.Model]) > from.Declared && len(p.workers[to.Model]) < to.Declared
	if p.in.Dwell == 0 || towardsDeclared {
		return false
	}
	spare := max(0, p.slots[from.Model]-from.Load)
	// What a model lacks shows only in part while all of its slots are in use.
	moves := math.Ceil(min(2*p.shortage(to, 0), spare) / slots)
	lag := float64(p.in.LoadTime) * moves / float64(p.cfg.MaxOrders)
	return float64(p.in.Dwell) < minDwellPerLag*lag
}

// maxDemandRatio is the demand that is assumed of a model whose slots are all in use, in
// proportion to them. What waits on top of it is a backlog that passes.
const maxDemandRatio = 1.25

// shortage returns how many slots a model lacks if it has 'without' fewer.
func (p *planner) shortage(m Model, removed float64) float64 {
	return max(0, p.demand(m)-p.cfg.Utilisation*(p.slots[m.Model]-removed))
}

// demand returns the slots that a model asks for.
func (p *planner) demand(m Model) float64 {
	return min(m.Load, maxDemandRatio*p.slots[m.Model])
}

// movableWorker returns a worker of a model that has stayed for long enough.
func (p *planner) movableWorker(model string) *Worker {
	for _, w := range p.workers[model] {
		if p.in.Now.Sub(w.MovedAt) >= p.cfg.Residence && p.retryAllowed(*w) {
			return w
		}
	}
	return nil
}

// spareWorker returns a worker of the model that has most room, other than the
// given one, and that keeps its least number of replicas.
func (p *planner) spareWorker(except string) *Worker {
	var best *Worker
	bestSpare := 0.0
	for model, workers := range p.workers {
		if model == except {
			continue
		}
		load, minReplicas := p.loadAndMinimum(model)
		if len(workers) <= minReplicas || !p.retryAllowed(*workers[0]) {
			continue
		}
		spare := p.slots[model] - load
		if best == nil || spare > bestSpare || (spare == bestSpare && workers[0].ID < best.ID) {
			best, bestSpare = workers[0], spare
		}
	}
	return best
}

func (p *planner) loadAndMinimum(model string) (load float64, minReplicas int) {
	for _, m := range p.in.Models {
		if m.Model == model {
			return m.Load, m.MinReplicas
		}
	}
	return 0, 0
}

func (p *planner) halted(t Target) bool {
	return slices.ContainsFunc(p.in.Halted, t.Equal)
}
