package settings

import (
	"fmt"

	"github.com/hazelworks/hazelworks/core/record"
)

// Status is the result of a change, as decided by the fold.
type Status uint8

// Statuses of a change. The numbers are part of the log format.
const (
	StatusAccepted Status = 1
	// StatusConflict means that another change edited an overlapping path after
	// the base version, or that the base is older than the history.
	StatusConflict Status = 2
	// StatusInvalid means that the change or the changed tree has findings.
	StatusInvalid Status = 3
	// StatusRepeated means that a change with this ID was decided before.
	StatusRepeated Status = 4
	// StatusSkipped means that the entry was not applied: it is no change known to
	// this schema, was applied before, or follows a gap.
	StatusSkipped Status = 5
	// StatusUnsupported means that this and all later entries need a newer program.
	StatusUnsupported Status = 6
)

// String returns the status in lower case.
func (s Status) String() string {
	names := [...]string{"unknown", "accepted", "conflict", "invalid", "repeated", "skipped", "unsupported"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Decision is the fold's decision on a change, as kept in the history.
type Decision struct {
	// Offset is the log offset of the change.
	Offset     record.Offset `cbor:"1,keyasint" json:"offset"`
	ID         string        `cbor:"2,keyasint" json:"id"`
	Status     Status        `cbor:"3,keyasint" json:"-"`
	Base       record.Offset `cbor:"4,keyasint" json:"base"`
	By         string        `cbor:"5,keyasint,omitempty" json:"by,omitempty"`
	Message    string        `cbor:"6,keyasint,omitempty" json:"message,omitempty"`
	TimeMillis int64         `cbor:"7,keyasint" json:"time_millis"`
	// Paths are the paths that the change edits; kept only if it was accepted.
	Paths []string `cbor:"8,keyasint,omitempty" json:"paths,omitempty"`
	// Findings are the first findings of an invalid change.
	Findings []string `cbor:"9,keyasint,omitempty" json:"findings,omitempty"`
	// Conflict is set if Status is StatusConflict.
	Conflict *Conflict `cbor:"10,keyasint,omitempty" json:"conflict,omitempty"`
}

// Conflict identifies the earlier change because of which a change was rejected.
type Conflict struct {
	// Path is the overlapping path as the earlier change edited it. It is empty if
	// the base is older than the history that the fold keeps.
	Path string `cbor:"1,keyasint,omitempty" json:"path,omitempty"`
	// Winner is the offset of the earlier change, or the history's horizon if
	// Path is empty.
	Winner record.Offset `cbor:"2,keyasint" json:"winner"`
	ID     string        `cbor:"3,keyasint,omitempty" json:"id,omitempty"`
	By     string        `cbor:"4,keyasint,omitempty" json:"by,omitempty"`
}

// String describes the conflict.
func (c *Conflict) String() string {
	if c.Path == "" {
		return fmt.Sprintf("the base version is older than version %d, where the history begins", c.Winner)
	}
	return fmt.Sprintf("change %s by %s, version %d, edited %s first", c.ID, c.By, c.Winner, c.Path)
}

// Limits of the history. They must be the same on all hosts, because the history
// determines which changes conflict or are repeated.
const (
	maxHistoryLen = 4096
	// maxHistoryBytes bounds the texts of all decisions, so that a snapshot has
	// room for the tree.
	maxHistoryBytes = 512 << 10
	// maxDecisionPaths bounds the paths kept for one change. More are replaced by
	// their common parent: this can cause extra conflicts but misses none.
	maxDecisionPaths    = 256
	maxDecisionFindings = 16
)

// size returns the total size of the decision's texts in bytes.
func (d *Decision) size() int {
	size := len(d.ID) + len(d.By) + len(d.Message)
	for _, p := range d.Paths {
		size += len(p)
	}
	for _, f := range d.Findings {
		size += len(f)
	}
	if d.Conflict != nil {
		size += len(d.Conflict.Path) + len(d.Conflict.ID) + len(d.Conflict.By)
	}
	return size
}

// history holds the newest decisions in offset order, within the limits above.
type history struct {
	decisions []*Decision
	byID      map[string]*Decision
	bytes     int
	// horizon is the offset of the newest accepted change that was dropped. A
	// change with an older base cannot be checked and conflicts.
	horizon record.Offset
}

func newHistory(decisions []*Decision, horizon record.Offset) *history {
	h := &history{byID: make(map[string]*Decision), horizon: horizon}
	for _, d := range decisions {
		h.add(d)
	}
	return h
}

func (h *history) add(d *Decision) {
	h.decisions = append(h.decisions, d)
	h.byID[d.ID] = d
	h.bytes += d.size()
	for len(h.decisions) > maxHistoryLen || h.bytes > maxHistoryBytes {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	oldest := h.decisions[0]
	h.decisions[0] = nil
	h.decisions = h.decisions[1:]
	h.bytes -= oldest.size()
	delete(h.byID, oldest.ID)
	if oldest.Status == StatusAccepted {
		h.horizon = oldest.Offset
	}
}

// findConflict returns the newest accepted change after base that edits a path
// overlapping one of paths, or nil.
func (h *history) findConflict(base record.Offset, paths []string) *Conflict {
	if base < h.horizon {
		return &Conflict{Winner: h.horizon}
	}
	for i := len(h.decisions) - 1; i >= 0 && h.decisions[i].Offset > base; i-- {
		d := h.decisions[i]
		if d.Status != StatusAccepted {
			continue
		}
		if path, ok := firstOverlap(d.Paths, paths); ok {
			return &Conflict{Path: displayPath(path), Winner: d.Offset, ID: d.ID, By: d.By}
		}
	}
	return nil
}

// displayPath returns path, or a slash for the root of the tree.
func displayPath(path string) string {
	if path == "" {
		return "/"
	}
	return path
}

func firstOverlap(accepted, edited []string) (string, bool) {
	for _, w := range accepted {
		for _, l := range edited {
			if PathsOverlap(w, l) {
				return w, true
			}
		}
	}
	return "", false
}
