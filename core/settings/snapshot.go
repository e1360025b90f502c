package settings

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// Snapshot is the state of a fold at an offset. It replaces all log entries up to
// that offset once the log has dropped them.
type Snapshot struct {
	// Covers is the offset of the last entry applied.
	Covers record.Offset `cbor:"1,keyasint"`
	// Version is the offset of the newest accepted change, or zero.
	Version record.Offset `cbor:"2,keyasint"`
	// Tree is the declared tree as JSON.
	Tree []byte `cbor:"3,keyasint"`
	// History holds the newest decisions in offset order.
	History []*Decision `cbor:"4,keyasint"`
	// Horizon is the offset of the newest accepted change that History has dropped.
	Horizon record.Offset `cbor:"5,keyasint"`
}

// ErrSnapshot is returned for a snapshot that cannot be used.
var ErrSnapshot = errors.New("settings: bad snapshot")

// EncodeSnapshot encodes s for the log. It fails if the record is too large.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("settings: encode snapshot: %w", err)
	}
	return packRecord(data)
}

// DecodeSnapshot decodes a snapshot from the log. Unknown fields are skipped. The
// error is [ErrFormat] for an unknown format, and [ErrSnapshot] for content that is
// not a snapshot.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	plain, err := unpack(data)
	if err != nil {
		return nil, err
	}
	var s Snapshot
	if err := decMode.Unmarshal(plain, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return &s, nil
}

// Snapshot returns the current state of the fold.
func (f *Fold) Snapshot() *Snapshot {
	return &Snapshot{
		Covers:  f.position,
		Version: f.Version(),
		Tree:    f.tree.AppendJSON(nil),
		History: slices.Clone(f.history.decisions),
		Horizon: f.history.horizon,
	}
}

// NewSnapshot returns a snapshot of a declared tree that replaces all entries up
// to the offset covers. It recovers settings that no host and no log has any more.
// A tree with findings is refused with a [*findings.Error].
func NewSnapshot(tree *jsontree.Node, covers record.Offset) (*Snapshot, error) {
	if _, err := Resolve(tree, covers); err != nil {
		return nil, err
	}
	return &Snapshot{
		Covers:  covers,
		Version: covers,
		Tree:    tree.AppendJSON(nil),
		Horizon: covers,
	}, nil
}

// Restore replaces the fold's state by a snapshot that covers more entries than
// the fold has applied, and reports whether it did. An older snapshot has no
// effect. The error is [ErrUnsupported] for a newer schema and [ErrSnapshot] for a
// tree that does not parse or resolve.
func (f *Fold) Restore(s *Snapshot) (bool, error) {
	if s.Covers <= f.position {
		return false, nil
	}
	var list findings.List
	tree := jsontree.ParsePlain(s.Tree, &list)
	if err := list.Err(); err != nil {
		return false, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if schemaOf(tree) > SupportedSchema {
		return false, ErrUnsupported
	}
	var resolved *Resolved
	if s.Version > 0 {
		var err error
		if resolved, err = Resolve(tree, s.Version); err != nil {
			return false, fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
	}
	f.position, f.tree, f.resolved, f.frozen = s.Covers, tree, resolved, false
	f.history = newHistory(s.History, s.Horizon)
	return true, nil
}
