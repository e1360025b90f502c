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

// evaluate moves a host's state as far as the evidence asks.
func (t *Table) evaluate(id record.HostID, e *entry, now time.Time) {
	for {
		event, reason := t.nextEvent(id, e, now)
		if event == "" {
			return
		}
		from := e.machine.State()
		if err := e.machine.Fire(event); err != nil {
			panic(err) // nextEvent asks only for transitions of the chart
		}
		t.transitions = append(t.transitions, Transition{id, from, e.machine.State(), reason})
	}
}

// nextEvent returns the event that the evidence asks for, or none.
func (t *Table) nextEvent(id record.HostID, e *entry, now time.Time) (statechart.Event, string) {
	state := e.machine.State()
	leaving := e.leaving || (e.listed && e.host.State == platform.HostLeaving)
	suspected, reason := t.suspected(id, e, now)
	switch {
	case id == t.self.Host && !leaving:
		return "", "" // a host doesn't doubt itself
	case state == StateGone:
		return "", ""
	case !e.listed && (suspected || state == StateLeaving) && id != t.self.Host:
		return eventRemove, "not listed, and " + goneReason(state, reason)
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

func goneReason(state statechart.State, reason string) string {
	if state == StateLeaving {
		return "leaving"
	}
	return reason
}

// suspected weighs the reports and this host's own evidence.
func (t *Table) suspected(id record.HostID, e *entry, now time.Time) (bool, string) {
	if e.own.persistent(now, t.policy.OwnPatience) {
		return true, "does not answer this host"
	}
	witnesses := 0
	for by, r := range e.reports {
		if by != id && !r.Cleared && t.counts(by) {
			witnesses++
		}
	}
	if witnesses == 0 || witnesses < t.needed(id) {
		return false, ""
	}
	return true, fmt.Sprintf("does not answer %d witnesses", witnesses)
}

// counts reports whether a witness is to be believed: one that is itself
// suspected may be the one that is cut off.
func (t *Table) counts(by record.HostID) bool {
	w, known := t.entries[by]
	return known && (by == t.self.Host || w.machine.State() != StateSuspected)
}

// needed returns the number of witnesses that make a host suspected: fewer than
// the policy's only if fewer watchers are left.
func (t *Table) needed(id record.HostID) int {
	left := 0
	for _, w := range t.watchers[id] {
		if t.counts(w) {
			left++
		}
	}
	return max(1, min(t.policy.Witnesses, left))
}
