package route

import (
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// RoleAny is the role of an upstream that answers whole requests.
const RoleAny = "any"

// defaultSlots stands in for the slots of an upstream that declares none.
const defaultSlots = 8

// Upstream describes an upstream as the settings or its own word have it.
type Upstream struct {
	ID string
	// Serves lists what is loaded, unless AnyModel is set.
	Serves   []Serving
	AnyModel bool
	// Role is RoleAny or empty for one that answers whole requests.
	Role  string
	Slots int
	// Leaving is true if it must get no new work.
	Leaving bool
}

func (u Upstream) equal(o Upstream) bool {
	return u.ID == o.ID && u.Role == o.Role && u.Slots == o.Slots && u.Leaving == o.Leaving && u.AnyModel == o.AnyModel &&
		slices.EqualFunc(u.Serves, o.Serves, Serving.equal)
}

// Serving is a model version that an upstream has loaded.
type Serving struct {
	Model    string
	Version  string
	Adapters []string
}

// Need is what a request needs of an upstream. Empty fields are not checked,
// but for Role, where empty means RoleAny.
type Need struct {
	Model   string
	Version string
	Adapter string
	Role    string
}

// Report is a load report of an upstream.
type Report struct {
	// Load is the number of requests that it runs or holds in its queue.
	Load int
	// Slots is the number of requests that it runs at once; zero if unknown.
	Slots int
}

// Worker is the state of one upstream in a [Pool]. The fields that each decision
// reads come first, so that they share cache lines.
type Worker struct {
	hash     uint64
	inFlight int
	limit    int
	// capacity is the number of slots that is assumed.
	capacity float64

	// othersLoad is the load by other hosts in the last report, taken at reportAt,
	// in nanoseconds since the Unix epoch.
	othersLoad float64
	reportAt   int64

	// Scratch values of the decision that is being made: the weight of the
	// report, and the slots and the load that are assumed.
	weight       float64
	assumedSlots float64
	assumedLoad  float64

	health health
	hints  hintSet
	up     Upstream
	// reportedSlots is the number of slots in the last report that named them.
	reportedSlots int
}

// ID returns the upstream's ID.
func (w *Worker) ID() string { return w.up.ID }

// InFlight returns the number of this host's requests at the upstream.
func (w *Worker) InFlight() int { return w.inFlight }

// State returns the health state.
func (w *Worker) State() State { return w.health.state }

// Leaving tells whether the upstream gets no new work.
func (w *Worker) Leaving() bool { return w.up.Leaving }

// Limit returns the number of requests that this host may have in flight there.
func (w *Worker) Limit() int { return w.limit }

func newWorker(up Upstream, now time.Time, slowStart bool) *Worker {
	w := &Worker{hash: rendezvous.KeyOf(up.ID), health: newHealth()}
	w.update(up)
	w.limit = int(w.capacity)
	if slowStart {
		w.health.rampStartedAt = now.UnixNano()
	}
	return w
}

func (w *Worker) update(up Upstream) {
	w.up = up
	w.capacity = defaultSlots
	switch {
	case up.Slots > 0:
		w.capacity = float64(up.Slots)
	case w.reportedSlots > 0:
		w.capacity = float64(w.reportedSlots)
	}
}

func (w *Worker) eligible(n Need) bool {
	role := w.up.Role
	if role == "" {
		role = RoleAny
	}
	want := n.Role
	if want == "" {
		want = RoleAny
	}
	if w.up.Leaving || role != want {
		return false
	}
	if n.Model == "" || w.up.AnyModel {
		return true
	}
	return slices.ContainsFunc(w.up.Serves, func(s Serving) bool { return s.meets(n) })
}

func (s Serving) equal(o Serving) bool {
	return s.Model == o.Model && s.Version == o.Version && slices.Equal(s.Adapters, o.Adapters)
}

func (s Serving) meets(n Need) bool {
	if s.Model != n.Model {
		return false
	}
	if n.Version != "" && s.Version != n.Version {
		return false
	}
	return n.Adapter == "" || slices.Contains(s.Adapters, n.Adapter)
}

// hasFreeSlot tells whether this host may send one more request. Ramp is the share of
// the limit that the slow start allows.
func (w *Worker) hasFreeSlot(ramp float64) bool {
	limit := w.limit
	if w.health.probing {
		limit = 1
	} else if ramp < 1 {
		limit = max(1, int(ramp*float64(limit)))
	}
	return w.inFlight < limit
}

// newReportWeight is the weight of a report when it arrives. Some of what it tells has
// passed by then, and other hosts have heard the same.
const newReportWeight = 0.5

// reportWeight returns how far the last report still counts, 0 to 1.
func (w *Worker) reportWeight(now, ttl int64) float64 {
	age := now - w.reportAt
	if w.reportAt == 0 || age >= ttl {
		return 0
	}
	return newReportWeight * (1 - float64(max(age, 0))/float64(ttl))
}
