package main

import (
	"github.com/hazelworks/hazelworks/core/balance"
)

// Placement says how an engine is chosen.
type Placement int

// Placements. LeastCost is the product's own, the others are baselines.
const (
	Random Placement = iota
	RoundRobin
	LeastRunning
	LeastCost
)

// Policy is what is compared.
type Policy struct {
	Name      string
	Placement Placement
	// Gate turns requests away that would begin or end too late.
	Gate bool
}

// policies returns the baselines, the version without the gate, and the product.
func policies() []Policy {
	return []Policy{
		{Name: "random", Placement: Random},
		{Name: "round robin", Placement: RoundRobin},
		{Name: "least running", Placement: LeastRunning},
		{Name: "least cost", Placement: LeastCost},
		{Name: "least cost, gate", Placement: LeastCost, Gate: true},
	}
}

// choose returns the engine for a request, as its host sees them.
func (w *world) choose(r *Request) (int, balance.Choice) {
	switch w.x.Policy.Placement {
	case Random:
		return w.rng.IntN(len(w.engines)), balance.Choice{}
	case RoundRobin:
		w.turn++
		return w.turn % len(w.engines), balance.Choice{}
	case LeastRunning:
		best := w.rng.IntN(len(w.engines))
		for id, n := range w.sent[r.host] {
			if n < w.sent[r.host][best] {
				best = id
			}
		}
		return best, balance.Choice{}
	}
	choice, _ := w.hosts[r.host].Choose(&balance.Query{Work: &r.Work}, w.clock())
	for id := range w.engines {
		if upstreamID(id) == choice.Upstream.ID {
			return id, choice
		}
	}
	panic("overload: the chosen upstream is not an engine")
}
