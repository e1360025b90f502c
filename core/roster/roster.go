// Package roster tracks the other hosts of the fleet: the descriptions that they
// have written to the platform's log, and the heartbeats received from them. It
// chooses the hosts for callers, the readers of the log and the receivers of gossip
// messages.
package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Host describes one run of a host. The host writes the description itself.
type Host struct {
	ID record.HostID `json:"id"`
	// Run identifies the process; a restarted host has another one.
	Run           uint64         `json:"run"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	Caller        netip.AddrPort `json:"caller"`
	Peer          netip.AddrPort `json:"peer"`
	// Cores is the number of processor cores that the host may use; it may be a
	// fraction.
	Cores float64 `json:"cores"`
	// Repetition is how often this run has written its description again because that of another run,
	// which had ended, was written after it.
	Repetition int `json:"repetition,omitempty"`
	// Leaving hosts accept no new callers.
	Leaving bool `json:"leaving,omitempty"`
	// Build is zero if the host's build states none.
	Build build.Info `json:"build,omitzero"`
	// State is the content of the host's newest heartbeat.
	State State `json:"-"`
}

// State is the state of a host that its heartbeats carry, see
// [HeartbeatInterval].
type State struct {
	_       struct{} `cbor:",toarray"`
	Leaving bool
	// Isolated hosts can't reach the platform's log.
	Isolated bool
	// Active hosts have served requests recently.
	Active bool
}

const (
	// HeartbeatInterval is the interval at which hosts send heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// directTimeout is the time without a message of a host that sends this host its
	// heartbeats after which it no longer counts as alive: three heartbeats are
	// missing, and half an interval is left for delay.
	directTimeout = 3*HeartbeatInterval + HeartbeatInterval/2
)

// Table is one host's view of the fleet. Callers pass the current time. It is
// not safe for concurrent use.
type Table struct {
	self  Host
	hosts map[record.HostID]*entry
	// ended holds the runs that newer ones have replaced, with the last repetition of their
	// descriptions. An older description of a host may arrive again.
	ended map[uint64]int
	// answered holds, by other runs of this host, how often it has answered them.
	answered map[uint64]int
	// byRun has the same entries by [runHash].
	byRun map[uint32]*entry
	// selfFull is true while this host is full.
	selfFull bool
}

type entry struct {
	host Host
	// score orders the hosts of a failure domain as candidates for observers.
	score uint64
	// heardAt is the time of the newest sign of life: a message of the host itself,
	// which is of directAt, or a digest entry. firsthandAt is the newest one that this
	// host may report to others.
	heardAt     time.Time
	directAt    time.Time
	firsthandAt time.Time
	// watchAt is when the host last asked for digests. watchedSince is when this host
	// began to ask it for digests.
	watchAt      time.Time
	watchedSince time.Time
	// fullUntil is when the host counts as full no more, see [Table.SetFull].
	fullUntil time.Time
}

// NewTable returns a table that knows only the host itself.
func NewTable(self Host) *Table {
	return &Table{self: self, hosts: make(map[record.HostID]*entry), ended: make(map[uint64]int), answered: make(map[uint64]int), byRun: make(map[uint32]*entry)}
}

// Self returns the description of this host.
func (t *Table) Self() Host { return t.self }

// SetIsolated sets whether this host is cut off from the platform's log.
func (t *Table) SetIsolated(isolated bool) { t.self.State.Isolated = isolated }

// SetLeaving marks this host as leaving.
func (t *Table) SetLeaving() { t.self.Leaving = true }

// maxRepetitions bounds how often this host answers one other run of itself. If both were alive, each
// would answer the other one.
const maxRepetitions = 3

// ReplacedBy applies a description of this host by another run, which the log has after this run's own.
// It reports whether this host's description has to be written again, as [Table.Self] returns it then.
// A run that leaves doesn't answer.
func (t *Table) ReplacedBy(h Host) bool {
	if h.ID != t.self.ID || h.Run == t.self.Run || t.self.Leaving || t.answered[h.Run] >= maxRepetitions {
		return false
	}
	t.answered[h.Run]++
	t.self.Repetition++
	return true
}

// Upsert adds or updates a host by its description from the log. A new run counts
// as alive until a heartbeat of it is overdue. The description of a run that another one
// has replaced has no effect, unless it was written again since. The description of a known run changes
// neither its state nor a leaving mark from a heartbeat. It reports whether the run is new.
func (t *Table) Upsert(h Host, now time.Time) (newRun bool) {
	if h.ID == t.self.ID {
		return false
	}
	e, ok := t.hosts[h.ID]
	if last, ended := t.ended[h.Run]; ended && h.Repetition <= last {
		return false
	}
	delete(t.ended, h.Run)
	if !ok || e.host.Run != h.Run {
		if ok {
			t.ended[e.host.Run] = e.host.Repetition
		}
		t.Remove(h.ID)
		e = &entry{host: h, heardAt: now, score: rendezvous.KeyOf(string(h.ID))}
		t.hosts[h.ID], t.byRun[runHash(h)] = e, e
		return true
	}
	h.Leaving = h.Leaving || e.host.Leaving
	h.State = e.host.State
	e.host = h
	return false
}

// Remove removes a host whose description was removed from the log.
func (t *Table) Remove(id record.HostID) {
	if e, ok := t.hosts[id]; ok {
		delete(t.byRun, runHash(e.host))
		delete(t.hosts, id)
	}
}

// Len returns the number of known hosts, including this one.
func (t *Table) Len() int { return 1 + len(t.hosts) }

// RecordHeartbeat applies a message of a host. It returns false, without effect,
// if that run of the host is not known.
func (t *Table) RecordHeartbeat(id record.HostID, run uint64, state State, now time.Time) bool {
	e, ok := t.hosts[id]
	if !ok || e.host.Run != run {
		return false
	}
	e.heardAt, e.directAt, e.firsthandAt = now, now, now
	e.host.State = state
	e.host.Leaving = state.Leaving
	return true
}

// Peers returns all other known hosts, ordered by ID.
func (t *Table) Peers() []Host {
	out := make([]Host, 0, len(t.hosts))
	for _, e := range t.hosts {
		out = append(out, e.host)
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Alive returns this host and all hosts without an overdue heartbeat, ordered by
// ID.
func (t *Table) Alive(now time.Time) []Host {
	out := []Host{t.self}
	for _, e := range t.hosts {
		if now.Sub(e.heardAt) < t.heartbeatTimeout() {
			out = append(out, e.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

const (
	// minAddresses is the least number of addresses in an answer if there are
	// enough hosts: a caller whose first choice has just failed needs another.
	minAddresses = 2
	// maxAddresses limits the addresses in an answer.
	maxAddresses = 64
	// smallHostShare is the share of the largest host's cores below which a host
	// counts as small. Callers get small hosts only if there are too few large
	// ones: callers choose evenly among the addresses, and some keep their
	// choice, so a small host could get as much load as a large one.
	smallHostShare = 0.5
	// minConnectedShare is the least share of the hosts that must reach the log
	// for isolated hosts to be left out. The load of the remaining hosts then
	// grows at most fourfold; hosts usually use a tenth of their capacity.
	minConnectedShare = 0.25
)

// Resolve returns the addresses for a caller in a failure domain: all large hosts
// of that domain, and if these are fewer than minAddresses, then large hosts of
// other domains, small ones of the same domain and other small ones. Leaving hosts
// are left out. Isolated hosts can't claim amounts of budgets, so they are left out
// too if enough others remain. The place of a full host is taken by another one, see
// [Table.replaceFull]. shuffle has the signature of rand.Shuffle.
func (t *Table) Resolve(domain string, now time.Time, shuffle func(n int, swap func(i, j int))) []netip.AddrPort {
	alive := slices.DeleteFunc(t.Alive(now), func(h Host) bool { return h.Leaving })
	shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	alive = preferConnected(alive)
	large := isLargeAmong(alive)
	near := func(h Host) bool { return h.FailureDomain == domain }
	out := t.replaceFull(alive, near, large, now)
	for _, match := range []func(Host) bool{
		func(h Host) bool { return !near(h) && large(h) },
		func(h Host) bool { return near(h) && !large(h) },
		func(h Host) bool { return !near(h) && !large(h) },
	} {
		more := slices.DeleteFunc(addresses(alive, match), func(a netip.AddrPort) bool { return slices.Contains(out, a) })
		out = append(out, more[:max(0, min(len(more), minAddresses-len(out)))]...)
	}
	return out[:min(len(out), maxAddresses)]
}

// isLargeAmong returns a function that reports whether a host is large in
// comparison with the given hosts, see smallHostShare.
func isLargeAmong(hosts []Host) func(Host) bool {
	largest := 0.0
	for _, h := range hosts {
		largest = max(largest, h.Cores)
	}
	return func(h Host) bool { return h.Cores >= smallHostShare*largest }
}

// Serving returns the number of hosts to which callers are directed while all known hosts
// are alive, and whether this host is one of them.
func (t *Table) Serving() (hosts int, included bool) {
	staying := make([]Host, 0, 1+len(t.hosts))
	if !t.self.Leaving {
		staying = append(staying, t.self)
	}
	for _, e := range t.hosts {
		if !e.host.Leaving {
			staying = append(staying, e.host)
		}
	}
	large := isLargeAmong(staying)
	for _, h := range staying {
		if large(h) {
			hosts++
			included = included || h.ID == t.self.ID
		}
	}
	return hosts, included
}

// LargeHosts returns the hosts that are large among the given ones.
func LargeHosts(hosts []Host) []Host {
	large := isLargeAmong(hosts)
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return !large(h) })
}

// RelayFor returns the large host that forwards the gossip messages of a small one
// to the others. A small host that serves a whole account would saturate its link
// if it sent them to dozens of hosts itself. The choice is stable and spreads small
// hosts over the large ones. It returns false if this host is large itself or there
// is no large host that stays.
func RelayFor(self Host, others []Host) (Host, bool) {
	large := isLargeAmong(append([]Host{self}, others...))
	if large(self) {
		return Host{}, false
	}
	relays := slices.DeleteFunc(slices.Clone(others), func(h Host) bool { return !large(h) || h.Leaving })
	if len(relays) == 0 {
		return Host{}, false
	}
	return slices.MinFunc(relays, byScore(string(self.ID))), true
}

// preferConnected leaves out isolated hosts if enough others remain, see
// minConnectedShare.
func preferConnected(hosts []Host) []Host {
	connected := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		if !h.State.Isolated {
			connected = append(connected, h)
		}
	}
	if len(connected) < minAddresses || float64(len(connected)) < minConnectedShare*float64(len(hosts)) {
		return hosts
	}
	return connected
}

func addresses(hosts []Host, match func(Host) bool) []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range hosts {
		if match(h) {
			out = append(out, h.Caller)
		}
	}
	return out
}
