package placement

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// Kind is the kind of a record of a placement stream. Readers skip unknown kinds.
type Kind uint8

// Kinds of records. The numbers are part of the log format and never change.
const (
	KindEpoch  Kind = 1 // Makes Writer the current writer; the record's offset is the epoch.
	KindOrder  Kind = 2 // Orders a worker to serve a target. Ignored under a stale epoch.
	KindHalt   Kind = 3 // Stops the roll-out of a target. Ignored under a stale epoch.
	KindResume Kind = 4 // Lifts all halts of a service, by order of an operator.
)

// Record is a record of a service's placement stream.
type Record struct {
	Kind   Kind          `cbor:"1,keyasint"`
	Writer record.Holder `cbor:"2,keyasint"`
	// Epoch is the offset of the epoch record under which Writer writes. It is the
	// fencing token of orders and halts.
	Epoch  record.Offset `cbor:"3,keyasint,omitempty"`
	Worker string        `cbor:"4,keyasint,omitempty"`
	Target *Target       `cbor:"5,keyasint,omitempty"`
	Reason Reason        `cbor:"6,keyasint,omitempty"`
	// Nonce distinguishes the epoch records of one writer.
	Nonce uint64 `cbor:"7,keyasint,omitempty"`
}

// maxRecordBytes limits the size of an encoded record, in bytes.
const maxRecordBytes = 64 << 10

// Encode encodes a record for the log.
func Encode(r *Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("placement: encode record: %w", err)
	}
	return data, nil
}

// Decode decodes a record from the log. Unknown fields are skipped. It returns an
// error for malformed records and for those larger than maxRecordBytes.
func Decode(data []byte) (*Record, error) {
	if len(data) > maxRecordBytes {
		return nil, fmt.Errorf("placement: record of %d bytes is too large", len(data))
	}
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("placement: decode record: %w", err)
	}
	return &r, nil
}

// Fold is the state of a placement stream. All readers of the same prefix of the
// stream derive the same state.
type Fold struct {
	// Offset is the offset of the newest applied record.
	Offset record.Offset
	// Epoch is the offset of the newest epoch record. Writer and Nonce are the
	// fields of that record.
	Epoch  record.Offset
	Writer record.Holder
	Nonce  uint64
	// Wanted is the target last ordered for each worker.
	Wanted map[string]Target
	// Halted lists the targets that are not rolled out further.
	Halted []Target
}

// NewFold returns the state of an empty stream.
func NewFold() *Fold {
	return &Fold{Wanted: make(map[string]Target)}
}

// Apply applies the record at an offset and reports whether it had an effect.
// Records at or below the newest applied offset are ignored, so that a replay is
// idempotent. Orders and halts of a stale epoch or another writer have no effect.
func (f *Fold) Apply(offset record.Offset, r *Record) bool {
	if offset <= f.Offset {
		return false
	}
	f.Offset = offset
	switch r.Kind {
	case KindEpoch:
		f.Epoch, f.Writer, f.Nonce = offset, r.Writer, r.Nonce
		return true
	case KindResume:
		f.Halted = nil
		return true
	}
	if r.Epoch == 0 || r.Epoch != f.Epoch || r.Writer != f.Writer || r.Target == nil {
		return false
	}
	switch r.Kind {
	case KindOrder:
		f.Wanted[r.Worker] = *r.Target
	case KindHalt:
		f.Halted = append(f.Halted, *r.Target)
	default:
		return false
	}
	return true
}

// IsWriter reports whether a writer is the current writer and the given epoch is
// the current one.
func (f *Fold) IsWriter(writer record.Holder, epoch record.Offset) bool {
	return epoch != 0 && f.Epoch == epoch && f.Writer == writer
}
