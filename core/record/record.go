// Package record defines the records that hosts and operators append to the
// platform's log, and their encoding. A shard stream carries [Batch] values;
// the folds in core/ledger and core/claim interpret them in offset order.
package record

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Offset is the position of a record in a stream. The first record of a stream
// has offset 1, so that zero means "before the first record".
type Offset uint64

// HostID names a host as its settings do.
type HostID string

// Incarnation tells one run of a host from an earlier one. It is the start time
// of the process in nanoseconds since the Unix epoch.
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

// Tokens is an amount of budget. Prices convert tokens and calls to this unit.
type Tokens int64

// BudgetID names a prepaid budget.
type BudgetID string

// RequestKey is the hash of a client account and a request ID. It identifies a
// request in settlements and claims.
type RequestKey uint64

// Kind tells the kinds of operation apart. Readers skip kinds they don't know.
type Kind uint8

// Operation kinds. The numbers are part of the log format and never change.
const (
	KindEpoch   Kind = 1 // Owner takes over a shard; the record's offset is the epoch.
	KindTopUp   Kind = 2 // Amount is added to a budget's prepaid total; negative reduces it.
	KindGrant   Kind = 3 // Amount moves from a budget to a holder. Void under a stale epoch.
	KindReport  Kind = 4 // A holder's settlements and returns, in sequence.
	KindRelease Kind = 5 // An operator frees the grants of a holder known to be gone.
	KindClaim   Kind = 6 // A holder asks for the right to run a request that must not repeat.
	KindOutcome Kind = 7 // The final outcome of a claimed request.
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
	// By names the operator of a top-up or release.
	By string `cbor:"10,keyasint,omitempty"`
	// Detail is a short result that a later caller is told, for outcomes.
	Detail []byte `cbor:"11,keyasint,omitempty"`
	// Seq numbers grant requests of a holder, from 1.
	Seq uint64 `cbor:"12,keyasint,omitempty"`
	// Need is the least grant that serves the requests that wait for it. It
	// guides the shard's owner; folds ignore it.
	Need Tokens `cbor:"13,keyasint,omitempty"`
}

// Outcome is the recorded end of a claimed request.
type Outcome uint8

// Outcomes of a claimed request. OutcomePending means claimed but not ended.
const (
	OutcomePending  Outcome = 0
	OutcomeAnswered Outcome = 1
	OutcomeNotRun   Outcome = 2
	OutcomeUnknown  Outcome = 3
)

// String returns the outcome in the words used towards callers.
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

// Report lists what a holder has spent and gives back. Reports of one holder in
// one shard are numbered from 1; a fold applies only the next number, so that a
// repeated or late copy has no effect.
type Report struct {
	Seq         uint64
	Settlements []Settlement
	Returns     []Return
	// Closing is set on the last report of an incarnation that stops.
	Closing bool
}

// Settlement bills one request.
type Settlement struct {
	Budget BudgetID
	Key    RequestKey
	Cost   Tokens
}

// Return moves the unspent part of a holder's grant back to the budget.
type Return struct {
	Budget BudgetID
	Amount Tokens
}

// Batch is one record of a shard stream. Every operation is judged on its own:
// epoch-bound operations of a batch with a stale epoch are void, the others hold.
type Batch struct {
	Writer Holder `cbor:"1,keyasint"`
	// Seq numbers the batches of a writer; it serves tracing, not ordering.
	Seq uint64 `cbor:"2,keyasint"`
	// Epoch is the offset of the epoch record under which Writer owns the
	// shard, or zero if it writes without owning it.
	Epoch Offset `cbor:"3,keyasint,omitempty"`
	Ops   []Op   `cbor:"4,keyasint"`
	// OpensEpoch is set if the batch's first operation takes the shard over and the
	// others belong to the epoch that it opens. A copy of the batch opens no
	// epoch, so that its epoch-bound operations are void.
	OpensEpoch bool `cbor:"5,keyasint,omitempty"`
}

// Entry is a record as read from a stream.
type Entry struct {
	Offset Offset
	// TimeMillis is the log's own append time in Unix milliseconds.
	TimeMillis int64
	Data       []byte
}

// MaxBatchBytes bounds the encoded size of a batch.
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

// EncodeBatch returns the log form of b.
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

// DecodeBatch parses the log form of a batch. Unknown fields are skipped.
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
