package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
)

// Table holds one host's beliefs. It is not safe for concurrent use.
type Table struct {
	self    record.Holder
	policy  Policy
	entries map[record.HostID]*entry
	// watchers maps each host to those that probe it.
	watchers map[record.HostID][]record.HostID
	targets  []record.HostID
	// order lists all hosts by ID.
	order []record.HostID
	queue reportQueue
	// seq numbers this host's reports, rising across its incarnations.
	seq         uint64
	transitions []Transition
}

// New returns a table that knows only this host.
func New(self record.Holder, host platform.Host, policy Policy) *Table {
	t := &Table{
		self:    self,
		policy:  policy,
		entries: make(map[record.HostID]*entry),
		seq:     uint64(self.Incarnation),
	}
	own := t.add(host)
	own.incarnation = self.Incarnation
	t.announce(false)
	t.assignWatchers()
	return t
}

func (t *Table) add(host platform.Host) *entry {
	e := &entry{
		host:    host,
		listed:  true,
		machine: chart.Start(),
		reports: make(map[record.HostID]Report),
	}
	t.entries[host.ID] = e
	return e
}

// SetList takes a new version of the platform's list. A host that is no longer
// listed stays until it also fails to answer, so that a wrong list removes none.
func (t *Table) SetList(hosts []platform.Host, now time.Time) {
	for _, e := range t.entries {
		e.listed = false
	}
	for _, h := range hosts {
		e, known := t.entries[h.ID]
		if !known {
			e = t.add(h)
		}
		e.listed = true
		if h.ID == t.self.Host {
			e.host.State = h.State // a host knows its own addresses best
			continue
		}
		e.host = h
	}
	t.assignWatchers()
	t.evaluateAll(now)
}

// assignWatchers is called when a host was added or removed.
func (t *Table) assignWatchers() {
	points := make([]point, 0, len(t.entries))
	for id, e := range t.entries {
		points = append(points, point{id: id, domain: e.host.FailureDomain})
	}
	slices.SortFunc(points, func(a, b point) int { return strings.Compare(string(a.id), string(b.id)) })
	t.watchers = watchersOf(points, t.policy.Watchers)
	t.targets = nil
	t.order = nil
	for _, p := range points {
		t.order = append(t.order, p.id)
		if slices.Contains(t.watchers[p.id], t.self.Host) {
			t.targets = append(t.targets, p.id)
		}
	}
}

// SelfStatus is what a host says of itself with each message.
type SelfStatus struct {
	Host        record.HostID
	Incarnation record.Incarnation
	Leaving     bool
	Version     record.Offset
}

// ReceiveStatus takes a host's own word. It does not clear suspicion, since a host that
// can be heard need not be reachable.
func (t *Table) ReceiveStatus(status SelfStatus, now time.Time) {
	e, known := t.entries[status.Host]
	if !known || status.Host == t.self.Host || status.Incarnation < e.incarnation {
		return
	}
	if status.Incarnation > e.incarnation {
		t.setIncarnation(status.Host, e, status.Incarnation)
	}
	e.leaving = status.Leaving
	e.version = max(e.version, status.Version)
	t.evaluate(status.Host, e, now)
}

// setIncarnation starts afresh with a host's next incarnation, and takes back this
// host's report on the one before. The first incarnation that is heard of a host
// is no restart.
func (t *Table) setIncarnation(id record.HostID, e *entry, incarnation record.Incarnation) {
	if e.incarnation == 0 {
		e.incarnation = incarnation
		return
	}
	last, reported := e.reports[t.self.Host]
	e.restart(incarnation)
	if reported && !last.Cleared {
		t.queueOwnReport(id, e, true)
	}
}

// CallAnswered takes the answer to a call by this host.
func (t *Table) CallAnswered(status SelfStatus, now time.Time) {
	t.ReceiveStatus(status, now)
	e, known := t.entries[status.Host]
	if !known || status.Incarnation < e.incarnation {
		return
	}
	if e.calls.recordAnswer(now, &t.policy) {
		t.queueOwnReport(status.Host, e, true)
	}
	t.evaluate(status.Host, e, now)
}

// CallFailed takes a call by this host that got no answer.
func (t *Table) CallFailed(id record.HostID, now time.Time) {
	e, known := t.entries[id]
	if !known || id == t.self.Host {
		return
	}
	if e.calls.recordFailure(now, t.policy.FlapExpiry) {
		t.queueOwnReport(id, e, false)
	}
	t.evaluate(id, e, now)
}

// queueOwnReport passes on this host's word if it is one of the watchers.
func (t *Table) queueOwnReport(id record.HostID, e *entry, cleared bool) {
	t.seq++
	r := Report{Host: id, Incarnation: e.incarnation, By: t.self.Host, Seq: t.seq, Cleared: cleared}
	if !t.watches(t.self.Host, id) {
		return
	}
	e.reports[t.self.Host] = r
	t.queue.add(r, t.policy.Transmits)
}

func (t *Table) watches(watcher, target record.HostID) bool {
	return slices.Contains(t.watchers[target], watcher)
}

// ReceiveReports takes reports that another host passed on. It returns the hosts that
// this host should probe at once to confirm or deny a new report, and whether
// any report was news.
func (t *Table) ReceiveReports(reports []Report, now time.Time) (toProbe []record.HostID, anyNew bool) {
	for _, r := range reports {
		if !t.storeIfNewer(r) {
			continue
		}
		anyNew = true
		e := t.entries[r.Host]
		if !r.Cleared && !e.calls.failing && t.watches(t.self.Host, r.Host) {
			toProbe = append(toProbe, r.Host)
		}
		t.evaluate(r.Host, e, now)
	}
	return toProbe, anyNew
}

// storeIfNewer keeps a report if it is newer than what is known.
func (t *Table) storeIfNewer(r Report) bool {
	e, known := t.entries[r.Host]
	if !known || r.Host == t.self.Host || r.By == t.self.Host || r.Incarnation < e.incarnation {
		return false
	}
	if old, ok := e.reports[r.By]; ok && r.Seq <= old.Seq {
		return false
	}
	if r.Incarnation > e.incarnation {
		t.setIncarnation(r.Host, e, r.Incarnation)
	}
	e.reports[r.By] = r
	if r.By == r.Host {
		e.leaving = !r.Cleared
	}
	t.queue.add(r, t.policy.Transmits)
	return true
}

// Tick re-evaluates beliefs that depend on time.
func (t *Table) Tick(now time.Time) {
	t.evaluateAll(now)
}

// SetLeaving notes that this host leaves the fleet.
func (t *Table) SetLeaving(now time.Time) {
	own := t.entries[t.self.Host]
	own.leaving = true
	t.announce(true)
	t.evaluate(t.self.Host, own, now)
}

// maxExtraTargets bounds the hosts that are probed besides the assigned ones.
const maxExtraTargets = 4

// announce passes on that this incarnation has started or leaves, for hosts that
// do not hear this one directly.
func (t *Table) announce(leaving bool) {
	t.seq++
	r := Report{Host: t.self.Host, Incarnation: t.self.Incarnation, By: t.self.Host, Seq: t.seq, Cleared: !leaving}
	t.queue.add(r, t.policy.Transmits)
}

// Targets returns the hosts that this host probes: those assigned to it, and
// some that fail its own calls and that no witnesses suspect.
func (t *Table) Targets() []record.HostID {
	targets := slices.Clone(t.targets)
	extra := 0
	for _, id := range t.order {
		e := t.entries[id]
		if extra < maxExtraTargets && e.calls.failing && !slices.Contains(targets, id) {
			targets = append(targets, id)
			extra++
		}
	}
	return targets
}

// SelfStatus returns what this host says of itself; the caller adds its version.
func (t *Table) SelfStatus() SelfStatus {
	return SelfStatus{Host: t.self.Host, Incarnation: t.self.Incarnation, Leaving: t.entries[t.self.Host].leaving}
}

// Watchers returns the hosts that probe a host.
func (t *Table) Watchers(id record.HostID) []record.HostID {
	return slices.Clone(t.watchers[id])
}

// TakeReports returns reports to send with a message, at most limit.
func (t *Table) TakeReports(limit int) []Report {
	return t.queue.take(limit)
}

// PeekReports returns the reports that News would, without counting them as sent.
func (t *Table) PeekReports(limit int) []Report {
	return t.queue.peek(limit)
}

// TakeTransitions returns the changes of belief since the last call.
func (t *Table) TakeTransitions() []Transition {
	taken := t.transitions
	t.transitions = nil
	return taken
}

// Host is a host as this host believes it to be.
type Host struct {
	platform.Host
	Incarnation record.Incarnation
	State       statechart.State
	Version     record.Offset
}

// State returns the belief about a host, or false if it is gone or not known.
func (t *Table) State(id record.HostID) (statechart.State, bool) {
	e, known := t.entries[id]
	if !known || e.machine.State() == StateGone {
		return "", false
	}
	return e.machine.State(), true
}

// Hosts returns all hosts that are not gone, by ID.
func (t *Table) Hosts() []Host {
	hosts := make([]Host, 0, len(t.entries))
	for _, id := range t.order {
		e := t.entries[id]
		if state := e.machine.State(); state != StateGone {
			hosts = append(hosts, Host{e.host, e.incarnation, state, e.version})
		}
	}
	return hosts
}
