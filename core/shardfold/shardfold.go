// Package shardfold folds a whole shard stream: the budgets of core/ledger and the
// claims of core/claim, with one offset and one snapshot for both.
package shardfold

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/claim"
	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

// snapshotVersion is the format version written. Restore rejects any other.
const snapshotVersion = 1

// ErrSnapshotInvalid is returned by [Restore] and [Covers] for data that is not a valid
// snapshot of a shard.
var ErrSnapshotInvalid = errors.New("shardfold: snapshot is not valid")

// Options are the options of both folds. All hosts of a fleet must use the same values.
type Options struct {
	Ledger ledger.Options
	Claims claim.Options
}

// Results are the results of a record's operations, in order.
type Results []ledger.Result

// Fold is the state of a shard at an offset. It is not safe for concurrent use.
type Fold struct {
	ledger  *ledger.Fold
	claims  *claim.Fold
	skipped uint64
}

// New returns an empty fold. Zero options mean the defaults.
func New(opts Options) *Fold {
	return &Fold{ledger: ledger.New(opts.Ledger), claims: claim.New(opts.Claims)}
}

// Apply folds the next entry and returns the results of its operations. An entry that
// was folded before has no effect and no results. An entry after a gap returns a
// [ledger.GapError]. A record that cannot be decoded is counted and skipped, in the
// same way on all hosts.
func (f *Fold) Apply(entry record.Entry) (Results, error) {
	_, results, err := f.ApplyBatch(entry)
	return results, err
}

// ApplyBatch is like Apply and also returns the decoded batch, or nil for an entry that
// was skipped or folded before.
func (f *Fold) ApplyBatch(entry record.Entry) (*record.Batch, Results, error) {
	fresh, err := f.ledger.Begin(entry)
	if err != nil || !fresh {
		return nil, nil, err
	}
	f.claims.Advance(entry.TimeMillis, f.ledger.Ended)
	batch, err := record.DecodeBatch(entry.Data)
	if err != nil {
		f.skipped++
		return nil, nil, nil
	}
	results := make(Results, len(batch.Ops))
	for i := range batch.Ops {
		results[i] = f.applyOp(batch, &batch.Ops[i])
	}
	return batch, results, nil
}

func (f *Fold) applyOp(batch *record.Batch, op *record.Op) ledger.Result {
	switch op.Kind {
	case record.KindClaim, record.KindOutcome:
		res := f.claims.Apply(op, f.ledger.FromOwner(batch))
		res.Offset = f.ledger.Offset()
		return res
	default:
		return f.ledger.ApplyOp(batch, op)
	}
}

// Ledger returns the fold of the budgets.
func (f *Fold) Ledger() *ledger.Fold { return f.ledger }

// Claims returns the fold of the claims.
func (f *Fold) Claims() *claim.Fold { return f.claims }

// Offset returns the offset of the last entry folded.
func (f *Fold) Offset() record.Offset { return f.ledger.Offset() }

// Epoch returns the offset of the current epoch's record, zero if there is none.
func (f *Fold) Epoch() record.Offset { return f.ledger.Epoch() }

// Owner returns the holder that owns the shard under the current epoch.
func (f *Fold) Owner() record.Holder { return f.ledger.Owner() }

// Skipped returns the number of records that could not be decoded.
func (f *Fold) Skipped() uint64 { return f.skipped }

// Check returns an error if the amounts of any budget are out of range or do not add
// up to its prepaid total.
func (f *Fold) Check() error { return f.ledger.Check() }

type snapshot struct {
	Version uint32        `cbor:"1,keyasint"`
	Covers  record.Offset `cbor:"2,keyasint"`
	Ledger  []byte        `cbor:"3,keyasint"`
	Claims  []byte        `cbor:"4,keyasint"`
	Skipped uint64        `cbor:"5,keyasint,omitempty"`
}

// Snapshot returns the fold in CBOR. It covers the entries up to Offset. The time now
// is informative only.
func (f *Fold) Snapshot(now time.Time) ([]byte, error) {
	s := snapshot{Version: snapshotVersion, Covers: f.Offset(), Skipped: f.skipped}
	var err error
	if s.Ledger, err = f.ledger.Snapshot(now); err != nil {
		return nil, err
	}
	if s.Claims, err = f.claims.Snapshot(); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("shardfold: encode snapshot: %w", err)
	}
	return data, nil
}

// Covers returns the offset up to which a snapshot covers the stream. It returns
// [ErrSnapshotInvalid] for data that is not a snapshot.
func Covers(data []byte) (record.Offset, error) {
	s, err := decode(data)
	if err != nil {
		return 0, err
	}
	return s.Covers, nil
}

func decode(data []byte) (snapshot, error) {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrSnapshotInvalid, err)
	}
	if s.Version != snapshotVersion {
		return s, fmt.Errorf("%w: format version %d", ErrSnapshotInvalid, s.Version)
	}
	return s, nil
}

// Restore returns the fold encoded in a snapshot. It returns [ErrSnapshotInvalid] for
// data that is not valid, joined with the errors of both folds.
func Restore(data []byte) (*Fold, error) {
	s, err := decode(data)
	if err != nil {
		return nil, err
	}
	l, errLedger := ledger.Restore(s.Ledger)
	c, errClaims := claim.Restore(s.Claims)
	if err := errors.Join(errLedger, errClaims); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotInvalid, err)
	}
	if l.Offset() != s.Covers {
		return nil, fmt.Errorf("%w: covers offset %d, but its ledger covers offset %d", ErrSnapshotInvalid, s.Covers, l.Offset())
	}
	return &Fold{ledger: l, claims: c, skipped: s.Skipped}, nil
}
