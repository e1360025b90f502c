// Package statechart loads state charts from JSON with comments (HuJSON) and runs
// them.
//
// A chart declares its initial state, its final states and its transitions. A
// state maps each accepted event to the next state:
//
//	{
//	    "initial": "queued",
//	    "final": ["done"],
//	    "states": {
//	        "queued":  {"on": {"start": "running", "cancel": "done"}},
//	        "running": {"on": {"finish": "done"}},
//	        "done":    {},
//	    },
//	}
//
// Every state must be reachable from the initial state, and a final state must
// be reachable from every state. Final states have no transitions.
package statechart

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/looplab/fsm"
)

// State is the name of a state in a chart.
type State string

// Event is the name of an event in a chart.
type Event string

// Chart is a valid state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	initial State
	final   []State
	states  []State

	mu  sync.Mutex // guards fsm
	fsm *fsm.FSM   // interpreter shared by all machines, see nextState
}

// Name returns the name under which the chart was loaded.
func (c *Chart) Name() string { return c.name }

// States returns the states of the chart in the order of the file.
func (c *Chart) States() []State { return slices.Clone(c.states) }

// Final reports whether a state is final.
func (c *Chart) Final(s State) bool { return slices.Contains(c.final, s) }

// Start returns a new machine in the initial state.
func (c *Chart) Start() *Machine {
	return &Machine{chart: c, state: c.initial}
}

// nextState returns the state after an event, or false if the given state does not
// accept it. All machines of a chart share one interpreter, which is set to the
// machine's state for each event, because the tables of an interpreter take some
// kilobytes.
func (c *Chart) nextState(state State, event Event) (State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fsm.SetState(string(state))
	err := c.fsm.Event(context.Background(), string(event))
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return state, false
	}
	return State(c.fsm.Current()), true
}

func (c *Chart) can(state State, event Event) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fsm.SetState(string(state))
	return c.fsm.Can(string(event))
}

// Machine is one instance of a chart with a current state. It is safe for
// concurrent use.
type Machine struct {
	chart *Chart
	mu    sync.Mutex
	state State
}

// EventError is the error for an event that the current state does not accept.
type EventError struct {
	Chart string
	State State
	Event Event
}

// Error names the chart, the state and the event.
func (e *EventError) Error() string {
	return fmt.Sprintf("statechart %s: state %q does not accept event %q", e.Chart, e.State, e.Event)
}

// Fire makes the transition of an event. If the current state does not accept the
// event, Fire returns an [*EventError] and the state stays.
func (m *Machine) Fire(event Event) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, ok := m.chart.nextState(m.state, event)
	if !ok {
		return &EventError{Chart: m.chart.name, State: m.state, Event: event}
	}
	m.state = next
	return nil
}

// Can reports whether the current state accepts an event.
func (m *Machine) Can(event Event) bool { return m.chart.can(m.State(), event) }

// State returns the current state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Done reports whether the current state is final.
func (m *Machine) Done() bool { return m.chart.Final(m.State()) }
