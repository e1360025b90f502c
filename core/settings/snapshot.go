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

// Snapshot is the state of a fold after an offset. It stands for all entries up
// to there, once the log no longer keeps them.
type Snapshot struct {
	// Covers is the offset of the last entry in it.
	Covers record.Offset `cbor:"1,keyasint"`
	// Version is the offset of the newest accepted change in it.
	Version record.Offset `cbor:"2,keyasint"`
	// Tree is JSON.
	Tree    []byte        `cbor:"3,keyasint"`
	History []*Decision   `cbor:"4,keyasint"`
	Horizon record.Offset `cbor:"5,keyasint"`
}

// ErrSnapshot is returned for a snapshot that cannot be used.
var ErrSnapshot = errors.New("settings: bad snapshot")

// EncodeSnapshot returns the log form of s.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("settings: encode snapshot: %w", err)
	}
	return packRecord(data)
}

// DecodeSnapshot parses the log form of a snapshot. Unknown fields are skipped.
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

// Snapshot returns the state of the fold.
func (f *Fold) Snapshot() *Snapshot {
	return &Snapshot{
		Covers:  f.position,
		Version: f.Version(),
		Tree:    f.tree.AppendJSON(nil),
		History: slices.Clone(f.history.decisions),
		Horizon: f.history.horizon,
	}
}

// NewSnapshot returns a snapshot of a declared tree in place of all entries up to
// an offset. It is for the recovery of settings that no host and no log holds.
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

// Restore takes the state of a snapshot that covers more than the fold has
// applied, and reports whether it did. A late snapshot has no effect.
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
