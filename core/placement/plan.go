package placement

import (
	"math"
	"slices"
	"time"
)

// Plan returns the orders to be given now: all repairs, or, if there are none and
// fewer than Config.MaxOrders orders are in progress, at most one other order.
// Missing replicas come before roll-outs, and roll-outs before moves for load.
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

// planner computes one plan.
type planner struct {
	cfg   Config
	in    Input
	busy  int
	ready int
	// workers and slots are the workers that are ready without an order in
	// progress, and the sum of their slots, by the model that they serve.
	workers map[string][]*Worker
	slots   map[string]float64
	// silent is the number of workers that serve each model and have not answered for
	// less than silenceGrace. Their slots count.
	silent map[string]int
}

// silenceGrace is the time for which a worker that does not answer still counts for its
// model. A worker that restarts or is cut off for a moment is back sooner than another one
// could load the model.
const silenceGrace = 30 * time.Second

// countWorkers sets busy, ready, workers and slots from the input.
func (p *planner) countWorkers() {
	p.workers = make(map[string][]*Worker)
	p.slots = make(map[string]float64)
	p.silent = make(map[string]int)
	for i := range p.in.Workers {
		w := &p.in.Workers[i]
		if w.Busy {
			p.busy++
			continue
		}
		if !w.Ready && p.recentlySilent(w) {
			p.silent[w.Serving.Model]++
			p.slots[w.Serving.Model] += float64(w.Slots)
		}
		if !w.Ready {
			continue
		}
		p.ready++
		p.workers[w.Serving.Model] = append(p.workers[w.Serving.Model], w)
		p.slots[w.Serving.Model] += float64(w.Slots)
	}
}

func (p *planner) recentlySilent(w *Worker) bool {
	return !w.SilentSince.IsZero() && p.in.Now.Sub(w.SilentSince) < silenceGrace
}

// repairs returns orders to workers that do not serve what they were last ordered
// to, for example after a late order of an earlier writer, and to workers that an
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

// retryAllowed reports whether a worker may get an order after a failed one.
func (p *planner) retryAllowed(w Worker) bool {
	return !p.in.Now.Before(w.RetryAt)
}

// replicas orders a spare worker of another model to serve a model that has fewer
// workers than its minimum.
func (p *planner) replicas() *Decision {
	for _, m := range p.in.Models {
		if len(p.workers[m.Model])+p.silent[m.Model] >= m.MinReplicas || p.halted(m.Target) {
			continue
		}
		if w := p.spareWorker(m.Model); w != nil {
			return &Decision{Worker: w.ID, Target: m.Target, Reason: ReasonReplicas}
		}
	}
	return nil
}

// rollout orders the next worker to a model's wanted version or adapters.
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

// canSpareWorker reports whether one worker of a model may be unready for a while:
// the service stays above its floor, and a model that needs several replicas keeps
// at least one.
func (p *planner) canSpareWorker(m Model) bool {
	if len(p.workers[m.Model]) < 2 && m.MinReplicas > 1 {
		return false
	}
	return p.aboveFloor()
}

// aboveFloor reports whether the service keeps its least share of ready workers
// with one worker less. A service of a single worker has no floor.
func (p *planner) aboveFloor() bool {
	return float64(p.ready-1) >= p.cfg.FloorShare*float64(len(p.in.Workers)) || len(p.in.Workers) == 1
}

// move returns the move of a worker between models with the highest difference of
// gain and cost, or nil if no move is worth its cost.
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
// waiting that it causes by lost capacity, both while the worker loads and after.
// It returns nil if the move is not possible or not worth its cost.
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

// minDwellPerLag is the least ratio of the duration of a shift to the time that the
// placement needs to follow it.
const minDwellPerLag = 4

// tooSlow reports whether the placement would follow a shift of load so late that
// the load shifts back soon after. Capacity that arrives at the wrong time is worse
// than capacity that stays. Moves back to the declared numbers of workers are always
// fast enough.
func (p *planner) tooSlow(from, to Model, slots float64) bool {
	towardsDeclared := len(p.workers[from.Model]) > from.DeclaredReplicas && len(p.workers[to.Model]) < to.DeclaredReplicas
	if p.in.Dwell == 0 || towardsDeclared {
		return false
	}
	spare := max(0, p.slots[from.Model]-from.Load)
	// While all slots of a model are in use, maxDemandRatio hides a part of its
	// shortage, so the measured shortage is doubled.
	moves := math.Ceil(min(2*p.shortage(to, 0), spare) / slots)
	lag := float64(p.in.LoadTime) * moves / float64(p.cfg.MaxOrders)
	return float64(p.in.Dwell) < minDwellPerLag*lag
}

// maxDemandRatio limits the demand of a model in proportion to its slots. Requests
// that wait beyond it are a backlog that passes, not lasting demand.
const maxDemandRatio = 1.25

// shortage returns how many slots a model lacks after some were removed.
func (p *planner) shortage(m Model, removed float64) float64 {
	return max(0, p.demand(m)-p.cfg.Utilisation*(p.slots[m.Model]-removed))
}

// demand returns the number of slots that a model's load would fill, limited by
// maxDemandRatio.
func (p *planner) demand(m Model) float64 {
	return min(m.Load, maxDemandRatio*p.slots[m.Model])
}

// movableWorker returns a worker of a model that has served it for at least
// Config.Residence, or nil.
func (p *planner) movableWorker(model string) *Worker {
	for _, w := range p.workers[model] {
		if p.in.Now.Sub(w.MovedAt) >= p.cfg.Residence && p.retryAllowed(*w) {
			return w
		}
	}
	return nil
}

// spareWorker returns a worker of the model with the most spare slots that keeps its
// minimum of replicas without it, or nil. The given model is left out.
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

// loadAndMinimum returns a model's load and minimum of replicas, or zeros for a
// model that is not in the settings.
func (p *planner) loadAndMinimum(model string) (load float64, minReplicas int) {
	for _, m := range p.in.Models {
		if m.Model == model {
			return m.Load, m.MinReplicas
		}
	}
	return 0, 0
}

// halted reports whether the roll-out of a target has been stopped.
func (p *planner) halted(t Target) bool {
	return slices.ContainsFunc(p.in.Halted, t.Equal)
}
