package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// Reason is why an operation had no effect, or less than it asked for.
type Reason uint8

// The numbers of the reasons are part of the peer protocol and never change.
const (
	ReasonNone          Reason = 0
	ReasonStaleEpoch    Reason = 1  // The batch was written under a superseded epoch.
	ReasonDuplicate     Reason = 2  // The operation was applied before.
	ReasonGap           Reason = 3  // An earlier report of the holder is missing.
	ReasonExhausted     Reason = 4  // The budget had less available than requested.
	ReasonUnknownBudget Reason = 5  // The budget was never topped up.
	ReasonClosed        Reason = 6  // The holder has sent its closing report.
	ReasonReleased      Reason = 7  // An operator has released the holder.
	ReasonInvalid       Reason = 8  // A field is missing or out of range.
	ReasonUnknownKind   Reason = 9  // This version does not know the operation kind.
	ReasonTaken         Reason = 10 // Another claim of the request came first.
	ReasonNotWinner     Reason = 11 // The outcome is from an attempt that did not win the claim.
)

var reasonNames = [...]string{
	"none", "stale epoch", "duplicate", "gap", "exhausted", "unknown budget",
	"closed", "released", "invalid", "unknown kind", "taken", "not the winner",
}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// Result is the effect of one operation on the fold.
type Result struct {
	Kind    record.Kind `cbor:"1,keyasint"`
	Applied bool        `cbor:"2,keyasint,omitempty"`
	Reason  Reason      `cbor:"3,keyasint,omitempty"`
	// Granted is the amount moved by a grant operation. A duplicate of the holder's
	// newest grant returns the amount moved by the original.
	Granted record.Tokens `cbor:"4,keyasint,omitempty"`
	// Seq is the number of the operation's grant or report.
	Seq    uint64          `cbor:"5,keyasint,omitempty"`
	Budget record.BudgetID `cbor:"6,keyasint,omitempty"`
	Holder *record.Holder  `cbor:"7,keyasint,omitempty"`
	// Amount is the amount added by a top-up, negative if it reduced the budget, or
	// freed by a release.
	Amount record.Tokens `cbor:"8,keyasint,omitempty"`
	// Outstanding is the holder's outstanding grant of Budget after the operation,
	// less the amounts of its reports up to ReportSeq.
	Outstanding record.Tokens `cbor:"9,keyasint,omitempty"`
	// Available is the amount of Budget that can still be granted after the
	// operation.
	Available record.Tokens `cbor:"10,keyasint,omitempty"`
	// ReportSeq is the number of the holder's last applied report.
	ReportSeq uint64 `cbor:"11,keyasint,omitempty"`
	// Offset is the offset of the operation's record.
	Offset record.Offset `cbor:"12,keyasint,omitempty"`
	// Lines summarise a report, with one line for each budget it affects.
	Lines []ReportLine `cbor:"13,keyasint,omitempty"`
	// Winner is the holder whose claim on the request won.
	Winner *record.Holder `cbor:"14,keyasint,omitempty"`
	// Won is true if this claim operation won.
	Won     bool           `cbor:"15,keyasint,omitempty"`
	Outcome record.Outcome `cbor:"16,keyasint,omitempty"`
	Detail  []byte         `cbor:"17,keyasint,omitempty"`
}

// ReportLine summarises the effect of a report on one budget.
type ReportLine struct {
	_      struct{} `cbor:",toarray"`
	Budget record.BudgetID
	// Billed is the amount charged to the budget.
	Billed record.Tokens
	// Duplicate is the cost of settlements whose request was billed before. It is not
	// deducted from the holder's grant.
	Duplicate record.Tokens
	// Unbilled is the cost that no grant covered. It is recorded but not charged.
	Unbilled record.Tokens
	// Returned is the amount returned to the budget.
	Returned record.Tokens
	// Outstanding is the holder's outstanding grant after the report.
	Outstanding record.Tokens
}

// EncodeResult returns r in CBOR, as it is sent between hosts.
func EncodeResult(r Result) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode result: %w", err)
	}
	return data, nil
}

// DecodeResult parses a result encoded by [EncodeResult].
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("ledger: decode result: %w", err)
	}
	return r, nil
}
