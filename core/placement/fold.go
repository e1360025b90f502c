package placement

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// Kind tells the records of a placement stream apart. Readers skip kinds that
// they don't know.
type Kind uint8

// Kinds of records. The numbers are part of the log format and never change.
const (
	KindEpoch  Kind = 1 // Writer takes office; the record's offset is the epoch.
	KindOrder  Kind = 2 // A worker is to serve a target. Void under a stale epoch.
	KindHalt   Kind = 3 // A target is not rolled out further. Void under a stale epoch.
	KindResume Kind = 4 // An operator lifts the halts of a service.
)

// Record is a record of a service's placement stream.
type Record struct {
	Kind   Kind          `cbor:"1,keyasint"`
	Writer record.Holder `cbor:"2,keyasint"`
	// Epoch is the offset of the epoch record under which Writer writes.
	Epoch  record.Offset `cbor:"3,keyasint,omitempty"`
	Worker string        `cbor:"4,keyasint,omitempty"`
	Target *Target       `cbor:"5,keyasint,omitempty"`
	Reason Reason        `cbor:"6,keyasint,omitempty"`
	// Nonce tells a writer's epoch records apart.
	Nonce uint64 `cbor:"7,keyasint,omitempty"`
}

// maxRecordBytes bounds a record.
const maxRecordBytes = 64 << 10

// Encode returns the log form of r.
func Encode(r *Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("placement: encode record: %w", err)
	}
	return data, nil
}

// Decode parses the log form of a record. Unknown fields are skipped.
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

// Fold is the state of a placement stream. Every reader of the same prefix
// reaches the same state.
type Fold struct {
	// Offset is that of the newest record applied.
	Offset record.Offset
	// Epoch is the offset of the newest epoch record, and Writer who wrote it.
	Epoch  record.Offset
	Writer record.Holder
	Nonce  uint64
	// Wanted is the target last ordered for each worker.
	Wanted map[string]Target
	Halted []Target
}

// NewFold returns the state of an empty stream.
func NewFold() *Fold {
	return &Fold{Wanted: make(map[string]Target)}
}

// Apply takes in the record at an offset and tells whether it had effect.
// Records at or below the newest offset were applied before.
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

// IsWriter tells whether a writer is in office under an epoch.
func (f *Fold) IsWriter(writer record.Holder, epoch record.Offset) bool {
	return epoch != 0 && f.Epoch == epoch && f.Writer == writer
}
