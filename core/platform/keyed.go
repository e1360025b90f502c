package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// ErrFenced means that a newer epoch of the writer has written to the stream. The
// write had no effect.
var ErrFenced = errors.New("platform: fenced by a newer epoch")

// SequenceError means that the sequence number of a write does not follow the
// writer's last one. The write had no effect.
type SequenceError struct {
	// Expected is the next sequence number that the stream accepts.
	Expected uint64
}

// Error names the expected sequence number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("platform: out of sequence, %d is next", e.Expected)
}

// KeyedRecord is a record of a keyed stream. A nil value removes the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset record.Offset
}

// Writer identifies one write of a process to a stream. It makes writes idempotent,
// so that a repeated one has no effect, and it fences a process that was replaced.
type Writer struct {
	Name string
	// Epoch is the fencing token. It rises with each process of the same name.
	Epoch uint64
	// Seq is the sequence number. It rises with each write.
	Seq uint64
}

// KeyedLog is a log that keeps the newest record of each key of a stream without a
// time limit. It returns the errors of [Log]. Put may also return [ErrFenced] or a
// [*SequenceError], both without effect.
type KeyedLog interface {
	KeyedReader
	// Put writes the records atomically and returns the position after them. With the
	// zero Writer the write is neither idempotent nor fenced.
	Put(ctx context.Context, stream string, w Writer, records []KeyedRecord) (Position, error)
	// Era returns the latest era that an answer has named.
	Era() Era
}

// KeyedReader is the read side of a [KeyedLog].
type KeyedReader interface {
	// Newest returns the newest record of each key and the position after these
	// records. Records that are written during the call may be missing.
	Newest(ctx context.Context, stream string) ([]KeyedRecord, Position, error)
	// Follow returns the records from a position on, and the position after them. If
	// there are none yet, it waits for one, at most as long as wait. It returns
	// [ErrRewound] if the position is of an earlier era than the log.
	Follow(ctx context.Context, stream string, from Position, wait time.Duration) ([]KeyedRecord, Position, error)
}
