// Package placement decides which worker of a service serves which model,
// version and adapters, and folds the service's placement stream. It does no
// I/O and reads no clock.
package placement

import (
	_ "embed" // for the state chart
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/statechart"
)

//go:embed order.hujson
var chartFile []byte

// OrderChart is the life of an order to a worker.
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

// Equal tells whether two targets are the same.
func (t Target) Equal(o Target) bool {
	return t.Model == o.Model && t.Version == o.Version && t.Role == o.Role && slices.Equal(t.Adapters, o.Adapters)
}

// differsFrom tells whether t is an older state of the same model than wanted.
// Workers that do not say which version they serve are left alone.
func (t Target) differsFrom(wanted Target) bool {
	return t.Version != "" && !t.Equal(wanted)
}

// Model is a model that the settings want served.
type Model struct {
	Target
	// MinReplicas is the least number of workers that serve it.
	MinReplicas int
	// Declared is the number of workers that the settings declare for it.
	Declared int
	// Load is the measured number of requests that run or wait, as a mean.
	Load float64
}

// Worker is a worker as it was read back.
type Worker struct {
	ID    string
	Slots int
	// Serving is what it says that it serves.
	Serving Target
	// Ready is false while it loads, cannot be reached or is leaving.
	Ready bool
	// Busy is true while an order to it is under way.
	Busy bool
	// Drained is true if an order has asked it to drain.
	Drained bool
	// MovedAt is when it last changed its model; zero if unknown.
	MovedAt time.Time
	// RetryAt is when an order may be given again after one has failed.
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
	// Dwell is how long a shift of load is expected to last; zero if unknown.
	Dwell time.Duration
	Now   time.Time
}

// Reason tells why an order is given.
type Reason string

// Reasons of an order.
const (
	ReasonRepair   Reason = "repair"   // It serves something else than ordered.
	ReasonReplicas Reason = "replicas" // A model has too few workers.
	ReasonRollout  Reason = "rollout"  // It serves an old version.
	ReasonLoad     Reason = "load"     // Another model needs it more.
)

// Decision is an order to be given.
type Decision struct {
	Worker string
	Target Target
	Reason Reason
	// Gain and Cost are in seconds of requests, for ReasonLoad.
	Gain float64
	Cost float64
}

// Config tunes decisions.
type Config struct {
	// MaxOrders bounds the orders of a service that are under way at once.
	MaxOrders int
	// FloorShare is the share of a service's workers that stays ready.
	FloorShare float64
	// Horizon is the time over which the gain of a move is counted.
	Horizon time.Duration
	// Hysteresis is the ratio of gain to cost above which a move is made.
	Hysteresis float64
	// Residence is the least time between moves of a worker.
	Residence time.Duration
	// Utilisation is the share of its slots up to which a model may be used
	// without requests that wait.
	Utilisation float64
}

// DefaultConfig returns the values used by the fleet.
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
