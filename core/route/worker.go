package route

import (
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// RoleAny is the role of an upstream that answers whole requests.
const RoleAny = "any"

// slotsUnknown stands in for the slots of an upstream that declares none.
const slotsUnknown = 8

// Upstream describes an upstream as the settings or its own word have it.
type Upstream struct {
	ID string
	// Serves lists what is loaded. Empty means that it serves any model.
	Serves []Serving
	// Role is RoleAny or empty for one that answers whole requests.
	Role  string
	Slots int
	// Leaving is true if it must get no new work.
	Leaving bool
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

// Worker is the state of one upstream in a [Pool].
type Worker struct {
	up     Upstream
	hash   uint64
	health health
	hints  hintSet

	inFlight int
	limit    int

	// others is the load by other hosts in the last report, taken at reportAt.
	others   float64
	reportAt time.Time
	// reported is the number of slots in the last report that named them.
	reported int

	// delay is the moving mean of the time to the first byte, in seconds.
	delay float64
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

func newWorker(up Upstream, now time.Time, fresh bool) *Worker {
	w := &Worker{up: up, hash: rendezvous.KeyOf(up.ID), health: health{state: StateLive}}
	w.limit = w.slots()
	if fresh {
		w.health.rampFrom = now
	}
	return w
}

func (w *Worker) slots() int {
	switch {
	case w.up.Slots > 0:
		return w.up.Slots
	case w.reported > 0:
		return w.reported
	}
	return slotsUnknown
}

func (w *Worker) able(n Need) bool {
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
	if n.Model == "" || len(w.up.Serves) == 0 {
		return true
	}
	return slices.ContainsFunc(w.up.Serves, func(s Serving) bool { return s.meets(n) })
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

// free tells whether this host may send one more request.
func (w *Worker) free(now time.Time, slowStart time.Duration) bool {
	limit := w.limit
	if w.health.state == StateProbing {
		limit = 1
	} else if r := w.health.ramp(now, slowStart); r < 1 {
		limit = max(1, int(r*float64(limit)))
	}
	return w.inFlight < limit
}

// reportWeight returns how far the last report still counts, 0 to 1.
func (w *Worker) reportWeight(now time.Time, ttl time.Duration) float64 {
	if w.reportAt.IsZero() {
		return 0
	}
	age := now.Sub(w.reportAt)
	if age >= ttl {
		return 0
	}
	return 1 - float64(max(age, 0))/float64(ttl)
}
