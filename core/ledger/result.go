package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// Reason tells why an operation had no effect, or less than it asked for.
type Reason uint8

// Reasons. The numbers are part of the peer protocol and never change.
const (
	ReasonNone          Reason = 0
	ReasonStaleEpoch    Reason = 1  // The batch was written under a superseded epoch.
	ReasonDuplicate     Reason = 2  // The operation was applied before.
	ReasonGap           Reason = 3  // An earlier report of the holder is missing.
	ReasonExhausted     Reason = 4  // The budget had less available than asked for.
	ReasonUnknownBudget Reason = 5  // The budget was never topped up.
	ReasonClosed        Reason = 6  // The holder has sent its closing report.
	ReasonReleased      Reason = 7  // An operator has released the holder.
	ReasonInvalid       Reason = 8  // A field is missing or out of range.
	ReasonUnknownKind   Reason = 9  // This version does not know the kind.
	ReasonTaken         Reason = 10 // Another claim of the request came first.
	ReasonNotWinner     Reason = 11 // An outcome from a holder that did not win the claim.
)

var reasonNames = [...]string{
	"none", "stale epoch", "duplicate", "gap", "exhausted", "unknown budget",
	"closed", "released", "invalid", "unknown kind", "taken", "not the winner",
}

// String returns the reason in words.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// Result is the fold's verdict on one operation.
type Result struct {
	Kind    record.Kind `cbor:"1,keyasint"`
	Applied bool        `cbor:"2,keyasint,omitempty"`
	Reason  Reason      `cbor:"3,keyasint,omitempty"`
	// Granted is the amount that a grant operation moved. A duplicate of the
	// holder's newest grant repeats the amount that was moved then.
	Granted record.Tokens `cbor:"4,keyasint,omitempty"`
	// Seq is the number of the operation's grant or report.
	Seq    uint64          `cbor:"5,keyasint,omitempty"`
	Budget record.BudgetID `cbor:"6,keyasint,omitempty"`
	Holder *record.Holder  `cbor:"7,keyasint,omitempty"`
	// Amount is what a top-up added or removed, or a release freed.
	Amount record.Tokens `cbor:"8,keyasint,omitempty"`
	// Outstanding is the holder's grant of Budget after the operation, with the
	// reports up to ReportSeq taken off.
	Outstanding record.Tokens `cbor:"9,keyasint,omitempty"`
	// Available is what Budget has left to grant after the operation.
	Available record.Tokens `cbor:"10,keyasint,omitempty"`
	// ReportSeq is the number of the holder's last applied report.
	ReportSeq uint64 `cbor:"11,keyasint,omitempty"`
	// Offset is the offset of the record that carried the operation.
	Offset record.Offset `cbor:"12,keyasint,omitempty"`
	// Lines sum up a report, one for each budget that it touched.
	Lines []ReportLine `cbor:"13,keyasint,omitempty"`
	// Winner is the holder with the right to run a claimed request.
	Winner *record.Holder `cbor:"14,keyasint,omitempty"`
	// Won is true if the claim operation itself holds that right.
	Won     bool           `cbor:"15,keyasint,omitempty"`
	Outcome record.Outcome `cbor:"16,keyasint,omitempty"`
	Detail  []byte         `cbor:"17,keyasint,omitempty"`
}

// ReportLine sums up what a report did to one budget.
type ReportLine struct {
	_      struct{} `cbor:",toarray"`
	Budget record.BudgetID
	// Billed was charged to the budget.
	Billed record.Tokens
	// Duplicate is the cost of settlements whose request was billed before. It
	// stays in the holder's grant.
	Duplicate record.Tokens
	// Unbilled is cost that no grant covered. It is recorded, never spent.
	Unbilled record.Tokens
	// Returned went back to the budget.
	Returned record.Tokens
	// Outstanding is the holder's grant after the report.
	Outstanding record.Tokens
}

// EncodeResult returns the wire form of r.
func EncodeResult(r Result) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode result: %w", err)
	}
	return data, nil
}

// DecodeResult parses the wire form of a result.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("ledger: decode result: %w", err)
	}
	return r, nil
}
