package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
)

// Table is one host's view of the fleet. It is not safe for concurrent use.
type Table struct {
	self    record.Holder
	policy  Policy
	entries map[record.HostID]*entry
	// watchers lists the hosts that probe each host.
	watchers map[record.HostID][]record.HostID
	// targets lists the hosts that this host probes as a watcher.
	targets []record.HostID
	// order lists all hosts by ID.
	order []record.HostID
	queue reportQueue
	// seq numbers this host's reports. It starts at the incarnation, so that
	// it also rises across restarts.
	seq         uint64
	transitions []Transition
}

// New returns a table that knows only this host. It queues a report that this
// incarnation has started.
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

// SetList applies a new version of the platform's list. A host that is no
// longer listed stays in the table until it also fails to answer or leaves, so
// that a wrong list alone removes no host that works.
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
			e.host.State = h.State // The list lags, so this host's own addresses stay.
			continue
		}
		e.host = h
	}
	t.assignWatchers()
	t.evaluateAll(now)
}

// assignWatchers computes the watchers of all hosts and this host's targets. It
// must be called whenever hosts were added, changed or removed.
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

// SelfStatus is what a host reports about itself with each message.
type SelfStatus struct {
	Host        record.HostID
	Incarnation record.Incarnation
	Leaving     bool
	// Version is the position in the settings that the host has applied.
	Version record.Offset
}

// ReceiveStatus applies what a host reports about itself. It does not clear
// suspicion, because a host whose messages arrive need not be reachable.
// Messages of earlier incarnations and of unknown hosts are ignored.
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

// setIncarnation adopts a newer incarnation of a host: it drops the state of the
// earlier one and clears this host's own report on it. The first incarnation
// known of a host is not a restart and drops nothing.
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

// CallAnswered records that a host answered a call by this host, and applies
// the status in the answer.
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

// CallFailed records that a host did not answer a call by this host.
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

// queueOwnReport stores and queues this host's report on another host. If this
// host is not one of the watchers, only the sequence number rises.
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

// ReceiveReports applies reports that another host passed on. It returns the
// hosts that this host should probe at once to confirm or refute a new failure
// report, and whether any report was new.
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

// storeIfNewer stores and queues a report if it is newer than the stored one of
// the same witness. It reports whether it did. Reports on this host and reports
// by this host are ignored.
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

// Tick re-evaluates the states that depend on time.
func (t *Table) Tick(now time.Time) {
	t.evaluateAll(now)
}

// SetLeaving marks this host as leaving the fleet and queues a report of it.
func (t *Table) SetLeaving(now time.Time) {
	own := t.entries[t.self.Host]
	own.leaving = true
	t.announce(true)
	t.evaluate(t.self.Host, own, now)
}

// maxExtraTargets limits the hosts that are probed besides the assigned ones.
const maxExtraTargets = 4

// announce queues a report that this incarnation has started or leaves. It
// reaches hosts that get no messages from this one directly.
func (t *Table) announce(leaving bool) {
	t.seq++
	r := Report{Host: t.self.Host, Incarnation: t.self.Incarnation, By: t.self.Host, Seq: t.seq, Cleared: !leaving}
	t.queue.add(r, t.policy.Transmits)
}

// Targets returns the hosts that this host probes: those assigned to it, and at
// most maxExtraTargets others that fail its own calls. Without probes nothing
// might show that those answer again.
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

// SelfStatus returns what this host reports about itself. The caller sets
// Version.
func (t *Table) SelfStatus() SelfStatus {
	return SelfStatus{Host: t.self.Host, Incarnation: t.self.Incarnation, Leaving: t.entries[t.self.Host].leaving}
}

// Watchers returns the hosts that probe a host.
func (t *Table) Watchers(id record.HostID) []record.HostID {
	return slices.Clone(t.watchers[id])
}

// TakeReports returns the newest queued reports, at most limit, to be sent with
// one message. Each report is returned Policy.Transmits times.
func (t *Table) TakeReports(limit int) []Report {
	return t.queue.take(limit)
}

// PeekReports returns the reports that TakeReports would, without counting them
// as sent.
func (t *Table) PeekReports(limit int) []Report {
	return t.queue.peek(limit)
}

// TakeTransitions returns the changes of state since the last call.
func (t *Table) TakeTransitions() []Transition {
	taken := t.transitions
	t.transitions = nil
	return taken
}

// Host is a host with the state that this host derived for it.
type Host struct {
	platform.Host
	Incarnation record.Incarnation
	State       statechart.State
	Version     record.Offset
}

// State returns the state of a host, or false if it is gone or not known.
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
