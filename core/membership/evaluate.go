package membership

import (
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
)

func (t *Table) evaluateAll(now time.Time) {
	for _, id := range t.order {
		t.evaluate(id, t.entries[id], now)
	}
	t.dropGone()
}

func (t *Table) dropGone() {
	dropped := false
	for id, e := range t.entries {
		if e.machine.State() == StateGone {
			delete(t.entries, id)
			dropped = true
		}
	}
	if dropped {
		t.assignWatchers()
	}
}

// evaluate applies transitions to a host's state until none is due.
func (t *Table) evaluate(id record.HostID, e *entry, now time.Time) {
	for {
		event, reason := t.nextEvent(id, e, now)
		if event == "" {
			return
		}
		from := e.machine.State()
		if err := e.machine.Fire(event); err != nil {
			panic(err) // nextEvent returns only events that the chart accepts.
		}
		t.transitions = append(t.transitions, Transition{id, from, e.machine.State(), reason})
	}
}

// nextEvent returns the event that is due for a host and its reason. The event
// is empty if none is due.
func (t *Table) nextEvent(id record.HostID, e *entry, now time.Time) (statechart.Event, string) {
	state := e.machine.State()
	leaving := e.leaving || (e.listed && e.host.State == platform.HostLeaving)
	suspected, reason := t.suspected(id, e, now)
	switch {
	case id == t.self.Host && !leaving:
		return "", "" // A host never suspects itself.
	case state == StateGone:
		return "", ""
	case !e.listed && (suspected || state == StateLeaving) && id != t.self.Host:
		return eventRemove, "not listed, and " + removeReason(state, reason)
	case leaving && state != StateLeaving:
		return eventLeave, leaveReason(e)
	case !leaving && state == StateLeaving:
		return eventReturn, "no longer leaving"
	case suspected && state == StateLive:
		return eventSuspect, reason
	case !suspected && state == StateSuspected:
		return eventClear, "answers again"
	default:
		return "", ""
	}
}

func leaveReason(e *entry) string {
	if e.leaving {
		return "by its own word"
	}
	return "by the platform's list"
}

func removeReason(state statechart.State, reason string) string {
	if state == StateLeaving {
		return "leaving"
	}
	return reason
}

// suspected reports whether a host is to be suspected, and the reason: it fails
// this host's own calls for long enough, or enough witnesses report it.
func (t *Table) suspected(id record.HostID, e *entry, now time.Time) (bool, string) {
	if e.calls.failingFor(now, t.policy.OwnFailureTimeout) {
		return true, "does not answer this host"
	}
	witnesses := 0
	for by, r := range e.reports {
		if by != id && !r.Cleared && t.trusted(by) {
			witnesses++
		}
	}
	if witnesses == 0 || witnesses < t.requiredWitnesses(id) {
		return false, ""
	}
	return true, fmt.Sprintf("does not answer %d witnesses", witnesses)
}

// trusted reports whether reports of a witness count. They do not if the witness
// is itself suspected, since the witness may be the host that is cut off.
func (t *Table) trusted(by record.HostID) bool {
	w, known := t.entries[by]
	return known && (by == t.self.Host || w.machine.State() != StateSuspected)
}

// requiredWitnesses returns the number of witnesses that must report a host
// before it is suspected: Policy.MinWitnesses, or all trusted watchers if there
// are fewer, but at least 1.
func (t *Table) requiredWitnesses(id record.HostID) int {
	trustedWatchers := 0
	for _, w := range t.watchers[id] {
		if t.trusted(w) {
			trustedWatchers++
		}
	}
	return max(1, min(t.policy.MinWitnesses, trustedWatchers))
}
