// Package record defines the records that hosts and operators append to the
// platform's log, and their encoding. The records of a shard stream are [Batch]
// values, which the folds in core/ledger and core/claim apply in offset order.
package record

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Offset is the position of a record in a stream. The first record of a stream
// has offset 1, so that zero means "before the first record".
type Offset uint64

// HostID is a host's name in the settings.
type HostID string

// Incarnation identifies one run of a host. It is the start time of the process in
// nanoseconds since the Unix epoch.
type Incarnation uint64

// Holder is one incarnation of a host. Grants belong to holders, never to hosts.
type Holder struct {
	_           struct{} `cbor:",toarray"`
	Host        HostID
	Incarnation Incarnation
}

// String returns the form host/incarnation.
func (h Holder) String() string {
	return fmt.Sprintf("%s/%d", h.Host, h.Incarnation)
}

// Tokens is an amount of a budget. Prices convert tokens and calls to this unit.
type Tokens int64

// BudgetID identifies a prepaid budget.
type BudgetID string

// RequestKey is the hash of a client account and a request ID. It identifies a
// request in settlements and claims.
type RequestKey uint64

// Kind is the kind of an operation. Readers skip unknown kinds.
type Kind uint8

// Operation kinds. The numbers are part of the log format and never change.
const (
	KindEpoch   Kind = 1 // The writer takes over the shard; the record's offset is the new epoch.
	KindTopUp   Kind = 2 // Adds Amount to a budget's prepaid total; a negative amount reduces it.
	KindGrant   Kind = 3 // Moves Amount from a budget to a holder. Void under a stale epoch.
	KindReport  Kind = 4 // Lists a holder's settlements and returns; numbered in sequence.
	KindRelease Kind = 5 // An operator frees the grants of a holder known to have stopped.
	KindClaim   Kind = 6 // A holder asks for the right to run a request that must not run twice.
	KindOutcome Kind = 7 // Records the final outcome of a claimed request.
)

// Op is one operation. Which fields are set depends on Kind.
type Op struct {
	Kind   Kind     `cbor:"1,keyasint"`
	Budget BudgetID `cbor:"2,keyasint,omitempty"`
	// Holder is the grantee, reporter, claimant or released holder.
	Holder *Holder `cbor:"3,keyasint,omitempty"`
	Amount Tokens  `cbor:"4,keyasint,omitempty"`
	// ID makes a top-up, release or grant idempotent.
	ID     string     `cbor:"5,keyasint,omitempty"`
	Report *Report    `cbor:"6,keyasint,omitempty"`
	Key    RequestKey `cbor:"7,keyasint,omitempty"`
	// Attempt distinguishes repeated claims of one holder for the same request.
	Attempt uint32  `cbor:"8,keyasint,omitempty"`
	Outcome Outcome `cbor:"9,keyasint,omitempty"`
	// By is the operator's name, for a top-up or release.
	By string `cbor:"10,keyasint,omitempty"`
	// Detail is a short result of an outcome, returned to callers that repeat the
	// request.
	Detail []byte `cbor:"11,keyasint,omitempty"`
	// Seq is the number of a holder's grant request, from 1.
	Seq uint64 `cbor:"12,keyasint,omitempty"`
	// Need is the least grant that serves the requests waiting for it. The shard's
	// owner uses it to size grants; folds ignore it.
	Need Tokens `cbor:"13,keyasint,omitempty"`
}

// Outcome is the recorded result of a claimed request.
type Outcome uint8

// Outcomes of a claimed request. OutcomePending means claimed without an outcome yet.
const (
	OutcomePending  Outcome = 0
	OutcomeAnswered Outcome = 1
	OutcomeNotRun   Outcome = 2
	OutcomeUnknown  Outcome = 3
)

// String returns the outcome's name as callers see it.
func (o Outcome) String() string {
	switch o {
	case OutcomePending:
		return "pending"
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Report lists the amounts that a holder has spent and returns. Reports of one holder
// in one shard are numbered from 1. A fold applies only the next number, so repeated
// or late copies have no effect.
type Report struct {
	Seq         uint64
	Settlements []Settlement
	Returns     []Return
	// Closing is set on the last report of an incarnation.
	Closing bool
}

// Settlement bills one request.
type Settlement struct {
	Budget BudgetID
	Key    RequestKey
	Cost   Tokens
}

// Return moves an unspent amount of a holder's grant back to the budget.
type Return struct {
	Budget BudgetID
	Amount Tokens
}

// Batch is one record of a shard stream. Each operation takes effect independently: in
// a batch with a stale epoch, epoch-bound operations are void and the others apply.
type Batch struct {
	Writer Holder `cbor:"1,keyasint"`
	// Seq is the number of the batch among those of its writer. It is used for tracing
	// and to ignore copies of epoch operations, not for ordering.
	Seq uint64 `cbor:"2,keyasint"`
	// Epoch is the offset of the epoch record under which Writer owns the shard, or
	// zero if Writer doesn't own it.
	Epoch Offset `cbor:"3,keyasint,omitempty"`
	Ops   []Op   `cbor:"4,keyasint"`
	// OpensEpoch is set if the first operation of the batch takes over the shard and
	// the others belong to the epoch that it opens. A copy of the batch opens no
	// epoch, so its epoch-bound operations are void.
	OpensEpoch bool `cbor:"5,keyasint,omitempty"`
}

// Entry is a record read from a stream.
type Entry struct {
	Offset Offset
	// TimeMillis is the time at which the log appended the record, in Unix
	// milliseconds.
	TimeMillis int64
	Data       []byte
}

// MaxBatchBytes is the largest encoded size of a batch.
const MaxBatchBytes = 1 << 20

// ErrTooLarge is returned for a record above [MaxBatchBytes].
var ErrTooLarge = errors.New("record: batch is too large")

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 12,
		MaxNestedLevels:  16,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// EncodeBatch returns b in CBOR, as it is appended to the log. It returns
// [ErrTooLarge] above [MaxBatchBytes].
func EncodeBatch(b *Batch) ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("record: encode batch: %w", err)
	}
	if len(data) > MaxBatchBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	return data, nil
}

// DecodeBatch parses a batch encoded by [EncodeBatch] and skips unknown fields. It
// returns [ErrTooLarge] above [MaxBatchBytes].
func DecodeBatch(data []byte) (*Batch, error) {
	if len(data) > MaxBatchBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	var b Batch
	if err := decMode.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("record: decode batch: %w", err)
	}
	return &b, nil
}
