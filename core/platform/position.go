package platform

import (
	"errors"

	"github.com/hazelworks/hazelworks/core/record"
)

// Era counts how often the log has come back from an older copy of itself. In a new era
// the records of the last seconds before it are gone, and their offsets and sequence
// numbers are given out again.
type Era uint64

// Position is a place in a stream. Offsets of different eras are not comparable.
type Position struct {
	Era    Era
	Offset record.Offset
}

// After reports whether a position is of a later era than another one, or later in the
// same era.
func (p Position) After(o Position) bool {
	return p.Era > o.Era || p.Era == o.Era && p.Offset > o.Offset
}

// ErrRewound means that the log is in a later era than the position of the read. The
// stream has to be read again from its newest records.
var ErrRewound = errors.New("platform: the log came back from an older copy")

// ErrStaleAnswer means that an answer of an era arrived after one of a later era. What it
// reports may be undone, so the effect of a write is unknown.
var ErrStaleAnswer = errors.New("platform: answer of an earlier era")
