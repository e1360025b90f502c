package main

import (
	"github.com/hazelworks/hazelworks/core/balance"
)

// Placement is a method of choosing an engine.
type Placement int

// Placements. LeastCost is the method of core/balance; the others are baselines.
const (
	Random Placement = iota
	RoundRobin
	LeastRunning
	LeastCost
)

// Policy combines a placement with optional shedding.
type Policy struct {
	Name      string
	Placement Placement
	// Shed enables admission control: requests whose answers would start or end too
	// late are shed.
	Shed bool
	// UsualSpeeds makes LeastCost take all engines for equally fast.
	UsualSpeeds bool
}

// policies returns the baselines, then LeastCost without and with shedding.
func policies() []Policy {
	return []Policy{
		{Name: "random", Placement: Random},
		{Name: "round robin", Placement: RoundRobin},
		{Name: "least running", Placement: LeastRunning},
		{Name: "least cost", Placement: LeastCost},
		{Name: "least cost, gate", Placement: LeastCost, Shed: true},
	}
}

// choose selects an engine by what the request's host knows. Only LeastCost returns
// a choice that is not empty. It returns a negative index if no engine has memory for the request.
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
	choice, ok := s.hosts[r.host].Choose(&balance.Query{Work: &r.Work}, s.clock())
	if !ok {
		return -1, choice
	}
	for id := range s.engines {
		if upstreamID(id) == choice.Upstream.ID {
			return id, choice
		}
	}
	panic("overload: the chosen upstream is not an engine")
}
