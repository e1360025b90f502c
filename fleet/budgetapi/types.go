// Package budgetapi serves the operators' endpoints of budgets: their state,
// their holders, top-ups and the release of grants whose holder is gone.
package budgetapi

import "github.com/hazelworks/hazelworks/core/record"

// Budget is the state of a budget. Amounts are in budget tokens.
//
//	prepaid = settled + reserved + free + unreported + stranded + available
type Budget struct {
	ID      record.BudgetID `json:"id"`
	Prepaid record.Tokens   `json:"prepaid"`
	Settled record.Tokens   `json:"settled"`
	// Reserved is set aside for requests in flight on hosts that answer.
	Reserved record.Tokens `json:"reserved"`
	// Free is granted to hosts that answer and not reserved.
	Free record.Tokens `json:"free"`
	// Unreported is spent or returned by hosts that answer, and not read back
	// from the log yet.
	Unreported record.Tokens `json:"unreported"`
	// Stranded is granted to holders that don't answer.
	Stranded  record.Tokens `json:"stranded"`
	Available record.Tokens `json:"available"`
	// Unbilled is cost that no grant covered. It is recorded, never spent.
	Unbilled record.Tokens `json:"unbilled"`
	// Duplicates is the cost of settlements of requests billed before.
	Duplicates record.Tokens `json:"duplicates"`
	// Difference is prepaid less all parts. It must be zero.
	Difference record.Tokens `json:"difference"`
}

// HolderState tells whether a holder of a grant answers.
type HolderState string

// Holder states.
const (
	HolderReachable HolderState = "reachable"
	HolderStranded  HolderState = "stranded"
	HolderReleased  HolderState = "released"
	HolderClosed    HolderState = "closed"
)

// Holder is an incarnation's part in a budget.
type Holder struct {
	Host        record.HostID      `json:"host"`
	Incarnation record.Incarnation `json:"incarnation"`
	State       HolderState        `json:"state"`
	Outstanding record.Tokens      `json:"outstanding"`
	Reserved    record.Tokens      `json:"reserved"`
	Free        record.Tokens      `json:"free"`
	// LastReportMillis is when the log took its last report, Unix milliseconds.
	LastReportMillis int64 `json:"last_report_ms"`
}

// Holders lists the holders of a budget, largest first.
type Holders struct {
	Budget  record.BudgetID `json:"budget"`
	Holders []Holder        `json:"holders"`
}

// TopUp asks to raise, or with a negative amount to lower, the prepaid total.
type TopUp struct {
	// ID makes the top-up idempotent; it is required.
	ID     string        `json:"id"`
	Amount record.Tokens `json:"amount"`
	By     string        `json:"by"`
}

// Release asks to free the grants of a holder known to be gone.
type Release struct {
	// ID makes the release idempotent; it is required.
	ID          string             `json:"id"`
	Host        record.HostID      `json:"host"`
	Incarnation record.Incarnation `json:"incarnation"`
	By          string             `json:"by"`
	// Confirm must repeat the holder as host/incarnation.
	Confirm string `json:"confirm"`
}

// Applied is the answer to a top-up or release.
type Applied struct {
	// Amount is what was added, removed or freed. It is less than asked for if
	// a reduction met the part that is granted or spent.
	Amount record.Tokens `json:"amount"`
	// Repeated is true if the same ID had taken effect before.
	Repeated bool `json:"repeated"`
	// Offset is the position of the record in the shard's stream.
	Offset record.Offset `json:"offset"`
}
