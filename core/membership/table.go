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
	news  news
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

// Word is what a host says of itself with each message.
type Word struct {
	Host        record.HostID
	Incarnation record.Incarnation
	Leaving     bool
	Version     record.Offset
}

// Heard takes a host's own word. It does not clear suspicion, since a host that
// can be heard need not be reachable.
func (t *Table) Heard(w Word, now time.Time) {
	e, known := t.entries[w.Host]
	if !known || w.Host == t.self.Host || w.Incarnation < e.incarnation {
		return
	}
	if w.Incarnation > e.incarnation {
		t.restarted(w.Host, e, w.Incarnation)
	}
	e.leaving = w.Leaving
	e.version = max(e.version, w.Version)
	t.evaluate(w.Host, e, now)
}

// restarted starts afresh with a host's next incarnation, and takes back this
// host's report on the one before. The first incarnation that is heard of a host
// is no restart.
func (t *Table) restarted(id record.HostID, e *entry, incarnation record.Incarnation) {
	if e.incarnation == 0 {
		e.incarnation = incarnation
		return
	}
	last, reported := e.reports[t.self.Host]
	e.restart(incarnation)
	if reported && !last.Cleared {
		t.reportOwn(id, e, true)
	}
}

// Answered takes the answer to a call by this host.
func (t *Table) Answered(w Word, now time.Time) {
	t.Heard(w, now)
	e, known := t.entries[w.Host]
	if !known || w.Incarnation < e.incarnation {
		return
	}
	if e.own.answer(now, &t.policy) {
		t.reportOwn(w.Host, e, true)
	}
	t.evaluate(w.Host, e, now)
}

// Failed takes a call by this host that got no answer.
func (t *Table) Failed(id record.HostID, now time.Time) {
	e, known := t.entries[id]
	if !known || id == t.self.Host {
		return
	}
	if e.own.fail(now, t.policy.FlapMemory) {
		t.reportOwn(id, e, false)
	}
	t.evaluate(id, e, now)
}

// reportOwn passes on this host's word if it is one of the watchers.
func (t *Table) reportOwn(id record.HostID, e *entry, cleared bool) {
	t.seq++
	r := Report{Host: id, Incarnation: e.incarnation, By: t.self.Host, Seq: t.seq, Cleared: cleared}
	if !t.watches(t.self.Host, id) {
		return
	}
	e.reports[t.self.Host] = r
	t.news.add(r, t.policy.Repeats)
}

func (t *Table) watches(watcher, target record.HostID) bool {
	return slices.Contains(t.watchers[target], watcher)
}

// Receive takes reports that another host passed on. It returns the hosts that
// this host should probe at once to confirm or deny a new report, and whether
// any report was news.
func (t *Table) Receive(reports []Report, now time.Time) (doubted []record.HostID, fresh bool) {
	for _, r := range reports {
		if !t.accept(r) {
			continue
		}
		fresh = true
		e := t.entries[r.Host]
		if !r.Cleared && !e.own.failing && t.watches(t.self.Host, r.Host) {
			doubted = append(doubted, r.Host)
		}
		t.evaluate(r.Host, e, now)
	}
	return doubted, fresh
}

// accept keeps a report if it is newer than what is known.
func (t *Table) accept(r Report) bool {
	e, known := t.entries[r.Host]
	if !known || r.Host == t.self.Host || r.By == t.self.Host || r.Incarnation < e.incarnation {
		return false
	}
	if old, ok := e.reports[r.By]; ok && r.Seq <= old.Seq {
		return false
	}
	if r.Incarnation > e.incarnation {
		t.restarted(r.Host, e, r.Incarnation)
	}
	e.reports[r.By] = r
	if r.By == r.Host {
		e.leaving = !r.Cleared
	}
	t.news.add(r, t.policy.Repeats)
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
	t.news.add(r, t.policy.Repeats)
}

// Targets returns the hosts that this host probes: those assigned to it, and
// some that fail its own calls and that no witnesses suspect.
func (t *Table) Targets() []record.HostID {
	targets := slices.Clone(t.targets)
	extra := 0
	for _, id := range t.order {
		e := t.entries[id]
		if extra < maxExtraTargets && e.own.failing && !slices.Contains(targets, id) {
			targets = append(targets, id)
			extra++
		}
	}
	return targets
}

// Word returns what this host says of itself; the caller adds its version.
func (t *Table) Word() Word {
	return Word{Host: t.self.Host, Incarnation: t.self.Incarnation, Leaving: t.entries[t.self.Host].leaving}
}

// Watchers returns the hosts that probe a host.
func (t *Table) Watchers(id record.HostID) []record.HostID {
	return slices.Clone(t.watchers[id])
}

// News returns reports to send with a message, at most limit.
func (t *Table) News(limit int) []Report {
	return t.news.take(limit)
}

// Peek returns the reports that News would, without counting them as sent.
func (t *Table) Peek(limit int) []Report {
	return t.news.peek(limit)
}

// Transitions returns the changes of belief since the last call.
func (t *Table) Transitions() []Transition {
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
