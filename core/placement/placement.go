// Package placement decides which worker of a service serves which model,
// version and adapters. It also folds the service's placement stream, the log of
// orders to workers, into the current state. It does no I/O and reads no clock.
package placement

import (
	_ "embed" // for the state chart
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/statechart"
)

//go:embed order.hujson
var chartFile []byte

// OrderChart is the state chart of an order to a worker.
var OrderChart = statechart.MustLoad("order.hujson", chartFile)

// States of the chart in order.hujson.
const (
	OrderDraining  statechart.State = "draining"
	OrderAcquiring statechart.State = "acquiring"
	OrderLoading   statechart.State = "loading"
	OrderChecking  statechart.State = "checking"
	OrderDone      statechart.State = "done"
	OrderFailed    statechart.State = "failed"
)

// Events of the chart in order.hujson.
const (
	EventDrained  statechart.Event = "drained"
	EventAcquired statechart.Event = "acquired"
	EventReady    statechart.Event = "ready"
	EventPass     statechart.Event = "pass"
	EventFail     statechart.Event = "fail"
)

// Target is what a worker serves or is to serve.
type Target struct {
	Model    string   `cbor:"1,keyasint" json:"model"`
	Version  string   `cbor:"2,keyasint,omitempty" json:"version,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
	Role     string   `cbor:"4,keyasint,omitempty" json:"role,omitempty"`
}

// Equal reports whether two targets are the same.
func (t Target) Equal(o Target) bool {
	return t.Model == o.Model && t.Version == o.Version && t.Role == o.Role && slices.Equal(t.Adapters, o.Adapters)
}

// differsFrom reports whether a worker that serves t must be rolled out to the
// wanted target of the same model. A target without a version is never rolled out,
// since the worker does not report which version it serves.
func (t Target) differsFrom(wanted Target) bool {
	return t.Version != "" && !t.Equal(wanted)
}

// Model is a model that the service is to serve according to the settings.
type Model struct {
	Target
	// MinReplicas is the least number of workers that serve it.
	MinReplicas int
	// DeclaredReplicas is the number of workers that the settings declare for it.
	DeclaredReplicas int
	// Load is the measured mean number of requests that run or wait.
	Load float64
}

// Worker is the state of a worker as it was last read from it.
type Worker struct {
	ID    string
	Slots int
	// Serving is what the worker reports that it serves.
	Serving Target
	// Ready is false while the worker loads, cannot be reached or is leaving.
	Ready bool
	// SilentSince is when a worker that was ready stopped answering, or zero.
	SilentSince time.Time
	// Busy is true while an order to the worker is in progress.
	Busy bool
	// Drained is true if an order has asked the worker to drain.
	Drained bool
	// MovedAt is the time at which the worker last changed its model; zero if
	// unknown.
	MovedAt time.Time
	// RetryAt is the earliest time of the next order after a failed one.
	RetryAt time.Time
}

// Input is everything that a decision depends on.
type Input struct {
	Models  []Model
	Workers []Worker
	// Wanted is the target that each worker was last ordered to serve.
	Wanted map[string]Target
	// Halted lists targets whose roll-out has been stopped by an error.
	Halted []Target
	// LoadTime is how long a worker takes to load a model.
	LoadTime time.Duration
	// Dwell is how long a shift of load between models is expected to last; zero
	// if unknown. See [Dwell].
	Dwell time.Duration
	Now   time.Time
}

// Reason is the reason of an order.
type Reason string

// Reasons of an order.
const (
	ReasonRepair   Reason = "repair"   // The worker does not serve what was ordered, or is still drained.
	ReasonReplicas Reason = "replicas" // A model has too few workers.
	ReasonRollout  Reason = "rollout"  // The worker serves another version or other adapters than wanted.
	ReasonLoad     Reason = "load"     // Another model needs the worker more.
)

// Decision is an order that should be given to a worker.
type Decision struct {
	Worker string
	Target Target
	Reason Reason
	// Gain is the waiting that a move saves, and Cost the waiting that it causes,
	// both in request-seconds. They are set for ReasonLoad only.
	Gain float64
	Cost float64
}

// Config sets the limits of the plan.
type Config struct {
	// MaxOrders limits the orders of a service that are in progress at once.
	MaxOrders int
	// FloorShare is the least share of a service's workers that must stay ready.
	FloorShare float64
	// Horizon is the time over which the gain of a move is counted.
	Horizon time.Duration
	// Hysteresis is the ratio of gain to cost above which a move is made.
	Hysteresis float64
	// Residence is the least time between moves of a worker.
	Residence time.Duration
	// Utilisation is the share of its slots up to which a model can be used
	// without requests having to wait.
	Utilisation float64
}

// DefaultConfig returns the limits that the fleet uses.
func DefaultConfig() Config {
	return Config{
		MaxOrders:   1,
		FloorShare:  0.5,
		Horizon:     2 * time.Minute,
		Hysteresis:  1.5,
		Residence:   time.Minute,
		Utilisation: 0.85,
	}
}
