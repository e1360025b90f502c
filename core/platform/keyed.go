package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// ErrFenced reports that a newer epoch of the writer has written to the stream.
var ErrFenced = errors.New("platform: fenced by a newer epoch")

// SequenceError reports that a write does not follow the writer's last one.
type SequenceError struct {
	// Expected is the sequence number that the stream takes next.
	Expected uint64
}

// Error describes the gap.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("platform: out of sequence, %d is next", e.Expected)
}

// KeyedRecord is a record of a keyed stream. A nil value removes the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset record.Offset
}

// Writer numbers the writes of one process to a stream, so that a repeated
// write has no effect and a replaced process can't write any more. Epochs rise
// with each process of the same name, sequence numbers with each write.
type Writer struct {
	Name  string
	Epoch uint64
	Seq   uint64
}

// KeyedLog keeps the newest record of each key of a stream for ever. The errors
// of [Log] apply; besides, Put may return [ErrFenced] or a [*SequenceError],
// both without effect.
type KeyedLog interface {
	KeyedReader
	// Put writes records, all or none, and returns the offset after them. The
	// zero Writer leaves the write unnumbered.
	Put(ctx context.Context, stream string, w Writer, records []KeyedRecord) (record.Offset, error)
}

// KeyedReader is the part of a [KeyedLog] that followers of a stream need.
type KeyedReader interface {
	// Newest returns the newest record of each key and the offset after all of
	// them. Records that are written meanwhile may be missing.
	Newest(ctx context.Context, stream string) ([]KeyedRecord, record.Offset, error)
	// Follow returns the records from an offset on and the offset after them.
	// If there are none yet it waits up to wait.
	Follow(ctx context.Context, stream string, from record.Offset, wait time.Duration) ([]KeyedRecord, record.Offset, error)
}
