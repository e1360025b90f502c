package settings

import (
	"fmt"

	"github.com/hazelworks/hazelworks/core/record"
)

// Status is the fold's judgement on a change.
type Status uint8

// Statuses of a change. The numbers are part of the log format.
const (
	StatusAccepted Status = 1
	// StatusConflict means that an earlier change touched the same path.
	StatusConflict Status = 2
	// StatusInvalid means that the changed tree has faults.
	StatusInvalid Status = 3
	// StatusRepeated means that a change with this ID was judged before.
	StatusRepeated Status = 4
	// StatusSkipped means that the record is not a change known to this schema.
	StatusSkipped Status = 5
	// StatusUnsupported means that a newer program is needed from here on.
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

// Decision is a judged change as the history keeps it.
type Decision struct {
	Offset     record.Offset `cbor:"1,keyasint" json:"offset"`
	ID         string        `cbor:"2,keyasint" json:"id"`
	Status     Status        `cbor:"3,keyasint" json:"-"`
	Base       record.Offset `cbor:"4,keyasint" json:"base"`
	By         string        `cbor:"5,keyasint,omitempty" json:"by,omitempty"`
	Message    string        `cbor:"6,keyasint,omitempty" json:"message,omitempty"`
	TimeMillis int64         `cbor:"7,keyasint" json:"time_millis"`
	// Paths are those that the change edits; kept only if it was accepted.
	Paths []string `cbor:"8,keyasint,omitempty" json:"paths,omitempty"`
	// Findings are the first faults of an invalid change.
	Findings []string `cbor:"9,keyasint,omitempty" json:"findings,omitempty"`
	// Conflict is set if Status is StatusConflict.
	Conflict *Conflict `cbor:"10,keyasint,omitempty" json:"conflict,omitempty"`
}

// Conflict names the change that a refused one lost against.
type Conflict struct {
	// Path is the contested path as the winner edited it, or empty if Base is
	// older than the history that the fold keeps.
	Path   string        `cbor:"1,keyasint,omitempty" json:"path,omitempty"`
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

// Limits of the history. All hosts keep the same, so that they judge alike.
const (
	maxHistoryLen = 4096
	// maxHistoryBytes bounds the texts of all judgements, so that a snapshot
	// has room for the tree.
	maxHistoryBytes = 512 << 10
	// maxDecisionPaths bounds the paths of one change; more are cut to their common
	// parent, which makes conflicts likelier and never misses one.
	maxDecisionPaths    = 256
	maxDecisionFindings = 16
)

// size returns the bytes of the judgement's texts.
func (j *Decision) size() int {
	size := len(j.ID) + len(j.By) + len(j.Message)
	for _, p := range j.Paths {
		size += len(p)
	}
	for _, f := range j.Findings {
		size += len(f)
	}
	if j.Conflict != nil {
		size += len(j.Conflict.Path) + len(j.Conflict.ID) + len(j.Conflict.By)
	}
	return size
}

// history holds the newest judgements in offset order.
type history struct {
	decisions []*Decision
	byID      map[string]*Decision
	bytes     int
	// horizon is the offset of the newest accepted change that was dropped.
	horizon record.Offset
}

func newHistory(decisions []*Decision, horizon record.Offset) *history {
	h := &history{byID: make(map[string]*Decision), horizon: horizon}
	for _, j := range decisions {
		h.add(j)
	}
	return h
}

func (h *history) add(j *Decision) {
	h.decisions = append(h.decisions, j)
	h.byID[j.ID] = j
	h.bytes += j.size()
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

// findConflict returns the newest accepted change after base that touches one of
// the paths, or nil.
func (h *history) findConflict(base record.Offset, paths []string) *Conflict {
	if base < h.horizon {
		return &Conflict{Winner: h.horizon}
	}
	for i := len(h.decisions) - 1; i >= 0 && h.decisions[i].Offset > base; i-- {
		j := h.decisions[i]
		if j.Status != StatusAccepted {
			continue
		}
		if path, ok := firstOverlap(j.Paths, paths); ok {
			return &Conflict{Path: displayPath(path), Winner: j.Offset, ID: j.ID, By: j.By}
		}
	}
	return nil
}

// displayPath names the root of the tree by a slash.
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
