// Package roster keeps what a host knows of the other hosts of the fleet: what
// they have written about themselves in the platform's log, and which of them it
// has heard lately.
package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Host is a host's own description of one of its runs.
type Host struct {
	ID            record.HostID  `json:"id"`
	Run           uint64         `json:"run"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	Caller        netip.AddrPort `json:"caller"`
	Peer          netip.AddrPort `json:"peer"`
	// Cores is the share of a processor core that the host has.
	Cores float64 `json:"cores"`
	// Leaving hosts take no new callers.
	Leaving bool `json:"leaving,omitempty"`
	// State is what the host said last to the others.
	State State `json:"-"`
}

// State is what a host tells the others of itself, some times a second.
type State struct {
	_       struct{} `cbor:",toarray"`
	Leaving bool
	// Isolated hosts don't reach the platform's log.
	Isolated bool
	// Active hosts have served requests lately.
	Active bool
}

// Silence after which a host is not given to callers: three heartbeats.
const (
	HeartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 3*HeartbeatInterval + HeartbeatInterval/2
)

// Table is what one host knows of all hosts. It takes the time from its callers.
type Table struct {
	self  Host
	hosts map[record.HostID]*entry
}

type entry struct {
	host    Host
	heardAt time.Time
}

// NewTable returns a table that knows only the host itself.
func NewTable(self Host) *Table {
	return &Table{self: self, hosts: make(map[record.HostID]*entry)}
}

// Self returns the host's own description.
func (t *Table) Self() Host { return t.self }

// SetIsolated notes whether this host reaches the platform's log.
func (t *Table) SetIsolated(isolated bool) { t.self.State.Isolated = isolated }

// SetLeaving notes that this host leaves.
func (t *Table) SetLeaving() { t.self.Leaving = true }

// Upsert takes in a host's description from the log. A run that was not known is
// given the benefit of the doubt until it should have been heard.
func (t *Table) Upsert(h Host, now time.Time) {
	if h.ID == t.self.ID {
		return
	}
	e, ok := t.hosts[h.ID]
	if !ok || e.host.Run != h.Run {
		t.hosts[h.ID] = &entry{host: h, heardAt: now}
		return
	}
	h.Leaving = h.Leaving || e.host.Leaving
	h.State = e.host.State
	e.host = h
}

// Remove drops a host whose description was removed.
func (t *Table) Remove(id record.HostID) { delete(t.hosts, id) }

// RecordHeartbeat notes a message of a host. It returns false if that run of the host is
// not known.
func (t *Table) RecordHeartbeat(id record.HostID, run uint64, state State, now time.Time) bool {
	e, ok := t.hosts[id]
	if !ok || e.host.Run != run {
		return false
	}
	e.heardAt = now
	e.host.State = state
	e.host.Leaving = state.Leaving
	return true
}

// Peers returns all other hosts that are known, by ID.
func (t *Table) Peers() []Host {
	out := make([]Host, 0, len(t.hosts))
	for _, e := range t.hosts {
		out = append(out, e.host)
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Alive returns the hosts that were heard lately, this one included, by ID.
func (t *Table) Alive(now time.Time) []Host {
	out := []Host{t.self}
	for _, e := range t.hosts {
		if now.Sub(e.heardAt) < heartbeatTimeout {
			out = append(out, e.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

const (
	// minAddresses is the least number of addresses in an answer, if there are as
	// many hosts: a caller whose first choice has just failed needs another.
	minAddresses = 2
	// maxAddresses bounds the addresses in an answer.
	maxAddresses = 64
	// smallHostShare is the part of the largest host's capacity below which a host is
	// not given to callers while larger ones are there. Callers choose evenly, and
	// some stay with their choice, so that a small host may get as much as a large
	// one.
	smallHostShare = 0.5
	// minConnectedShare is the part of the hosts that must reach the log for the others
	// not to be named: the load of a host grows fourfold at most, and usually hosts
	// use a tenth of what they have.
	minConnectedShare = 0.25
)

// Resolve returns the addresses for a caller in a failure domain: the large hosts
// of that domain, then those of others, then the small ones of its own. Hosts that
// don't reach the log can claim no money, so they are named only if there are not
// enough others.
func (t *Table) Resolve(domain string, now time.Time, shuffle func(n int, swap func(i, j int))) []netip.AddrPort {
	alive := slices.DeleteFunc(t.Alive(now), func(h Host) bool { return h.Leaving })
	shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	alive = preferConnected(alive)
	large := isLargeAmong(alive)
	near := func(h Host) bool { return h.FailureDomain == domain }
	out := addresses(alive, func(h Host) bool { return near(h) && large(h) })
	for _, match := range []func(Host) bool{
		func(h Host) bool { return !near(h) && large(h) },
		func(h Host) bool { return near(h) && !large(h) },
		func(h Host) bool { return !near(h) && !large(h) },
	} {
		more := addresses(alive, match)
		out = append(out, more[:max(0, min(len(more), minAddresses-len(out)))]...)
	}
	return out[:min(len(out), maxAddresses)]
}

// isLargeAmong returns what tells the large ones of some hosts from the small ones.
func isLargeAmong(hosts []Host) func(Host) bool {
	largest := 0.0
	for _, h := range hosts {
		largest = max(largest, h.Cores)
	}
	return func(h Host) bool { return h.Cores >= smallHostShare*largest }
}

// LargeHosts returns the large ones of some hosts.
func LargeHosts(hosts []Host) []Host {
	large := isLargeAmong(hosts)
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return !large(h) })
}

// RelayFor returns the large host that passes the news of a small one on to the others.
// A small host that serves a whole account would fill its link by telling each of
// dozens of hosts itself. The choice is stable, and spreads over the large hosts. It
// returns false if this host is large itself, or alone with small ones.
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

// preferConnected drops isolated hosts if enough others are there.
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
