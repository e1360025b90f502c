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
	// Shed turns requests shed that would begin or end too late.
	Shed bool
}

// policies returns the baselines, the version without the gate, and the product.
func policies() []Policy {
	return []Policy{
		{Name: "random", Placement: Random},
		{Name: "round robin", Placement: RoundRobin},
		{Name: "least running", Placement: LeastRunning},
		{Name: "least cost", Placement: LeastCost},
		{Name: "least cost, gate", Placement: LeastCost, Shed: true},
	}
}

// choose returns the engine for a request, as its host sees them.
func (s *simulation) choose(r *Request) (int, balance.Choice) {
	switch s.experiment.Policy.Placement {
	case Random:
		return s.rng.IntN(len(s.engines)), balance.Choice{}
	case RoundRobin:
		s.roundRobin++
		return s.roundRobin % len(s.engines), balance.Choice{}
	case LeastRunning:
		best := s.rng.IntN(len(s.engines))
		for id, n := range s.inFlight[r.host] {
			if n < s.inFlight[r.host][best] {
				best = id
			}
		}
		return best, balance.Choice{}
	}
	choice, _ := s.hosts[r.host].Choose(&balance.Query{Work: &r.Work}, s.clock())
	for id := range s.engines {
		if upstreamID(id) == choice.Upstream.ID {
			return id, choice
		}
	}
	panic("overload: the chosen upstream is not an engine")
}
