package route

import (
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// RoleAny is the role of an upstream that answers whole requests.
const RoleAny = "any"

// defaultSlots is the assumed number of slots of an upstream that declares none and has
// reported none.
const defaultSlots = 8

// Upstream describes an upstream, as declared by the settings or by the upstream itself.
type Upstream struct {
	ID string
	// Serves lists the loaded models. It is not used if AnyModel is set.
	Serves   []Serving
	AnyModel bool
	// Role is RoleAny or empty for an upstream that answers whole requests.
	Role string
	// Slots is the number of requests that it runs at once, or zero if unknown.
	Slots int
	// Leaving is true if the upstream must get no new work.
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

// Need is what a request requires of an upstream. Empty fields match anything, except
// Role, where empty means RoleAny.
type Need struct {
	Model   string
	Version string
	Adapter string
	Role    string
}

// Report is a load report of an upstream.
type Report struct {
	// Load is the number of requests that run or wait at the upstream.
	Load int
	// Slots is the number of requests that it runs at once; zero if unknown.
	Slots int
}

// UpstreamState is the state of one upstream in a [Pool]. The fields that each decision
// reads come first, so that they share cache lines.
type UpstreamState struct {
	hash     uint64
	inFlight int
	limit    int
	// capacity is the assumed number of slots.
	capacity float64

	// othersLoad is the load by other hosts by the last report. reportAt is when that
	// arrived, in nanoseconds since the Unix epoch, or zero if there was none.
	othersLoad float64
	reportAt   int64

	// Scratch values of the current decision: the weight of the last report, and the
	// assumed slots and load.
	weight       float64
	assumedSlots float64
	assumedLoad  float64

	health health
	hints  hintSet
	up     Upstream
	// reportedSlots is the number of slots in the last report that had one.
	reportedSlots int
}

// ID returns the upstream's ID.
func (u *UpstreamState) ID() string { return u.up.ID }

// InFlight returns the number of this host's requests at the upstream.
func (u *UpstreamState) InFlight() int { return u.inFlight }

// State returns the health state.
func (u *UpstreamState) State() State { return u.health.state }

// Leaving reports whether the upstream gets no new work.
func (u *UpstreamState) Leaving() bool { return u.up.Leaving }

// Limit returns the number of requests that this host may have in flight at the upstream.
func (u *UpstreamState) Limit() int { return u.limit }

func newUpstreamState(up Upstream, now time.Time, slowStart bool) *UpstreamState {
	u := &UpstreamState{hash: rendezvous.KeyOf(up.ID), health: newHealth()}
	u.update(up)
	u.limit = int(u.capacity)
	if slowStart {
		u.health.rampStartedAt = now.UnixNano()
	}
	return u
}

func (u *UpstreamState) update(up Upstream) {
	u.up = up
	u.capacity = defaultSlots
	switch {
	case up.Slots > 0:
		u.capacity = float64(up.Slots)
	case u.reportedSlots > 0:
		u.capacity = float64(u.reportedSlots)
	}
}

func (u *UpstreamState) eligible(n Need) bool {
	role := u.up.Role
	if role == "" {
		role = RoleAny
	}
	want := n.Role
	if want == "" {
		want = RoleAny
	}
	if u.up.Leaving || role != want {
		return false
	}
	if n.Model == "" || u.up.AnyModel {
		return true
	}
	return slices.ContainsFunc(u.up.Serves, func(s Serving) bool { return s.meets(n) })
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

// hasFreeSlot reports whether this host may send one more request. ramp is the share of the
// limit that the slow start allows. An upstream in the probing state gets one request at
// a time.
func (u *UpstreamState) hasFreeSlot(ramp float64) bool {
	limit := u.limit
	if u.health.probing {
		limit = 1
	} else if ramp < 1 {
		limit = max(1, int(ramp*float64(limit)))
	}
	return u.inFlight < limit
}

// newReportWeight is the weight of a report when it arrives. It is below 1 because part of
// the report is outdated by then, and other hosts have received the same report.
const newReportWeight = 0.5

// reportWeight returns the weight of the last report, from 0 to newReportWeight. It falls
// linearly with age. now and ttl are in nanoseconds.
func (u *UpstreamState) reportWeight(now, ttl int64) float64 {
	age := now - u.reportAt
	if u.reportAt == 0 || age >= ttl {
		return 0
	}
	return newReportWeight * (1 - float64(max(age, 0))/float64(ttl))
}
