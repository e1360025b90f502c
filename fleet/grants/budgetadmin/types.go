package budgetadmin

import "github.com/hazelworks/hazelworks/core/record"

// Budget is the state of a budget for operators, in budget tokens. Always
// Prepaid = Settled + Reserved + Free + Stranded + Available + Difference,
// where Difference must be zero.
type Budget struct {
	ID    record.BudgetID `json:"id"`
	Firm  string          `json:"firm,omitempty"`
	Shard record.ShardID  `json:"shard"`
	// Prepaid is the sum of all top-ups and reductions.
	Prepaid record.Tokens `json:"prepaid"`
	// Settled is the amount billed.
	Settled record.Tokens `json:"settled"`
	// Reserved is the amount reserved for running requests.
	Reserved record.Tokens `json:"reserved"`
	// Free is the amount granted to hosts that answer and not reserved.
	Free record.Tokens `json:"free"`
	// Stranded is the amount granted to holders that do not answer.
	Stranded record.Tokens `json:"stranded"`
	// Available is the amount that can still be granted.
	Available record.Tokens `json:"available"`
	// Difference is the error of the equation above; it must be zero.
	Difference record.Tokens `json:"difference"`
	// Unbilled is the cost that no grant covered, such as after the release of a
	// holder that was still running.
	Unbilled record.Tokens `json:"unbilled"`
	// Duplicates is the cost of repeated settlements that were not billed.
	Duplicates record.Tokens `json:"duplicates"`
	Holders    int           `json:"holders"`
	// Offset is the offset in the shard's stream up to which the amounts are applied.
	Offset record.Offset `json:"offset"`
	// Fresh is false if the log could not be read recently.
	Fresh bool `json:"fresh"`
}

// BudgetList is the answer to a list request. Errors lists the shards that could
// not be read; their budgets are missing.
type BudgetList struct {
	Budgets []Budget `json:"budgets"`
	Errors  []string `json:"errors,omitempty"`
}

// HolderState is the state of a holder.
type HolderState string

// States of a holder.
const (
	HolderLive        HolderState = "live"
	HolderUnreachable HolderState = "unreachable"
	HolderReplaced    HolderState = "gone" // the host runs another incarnation
	HolderClosed      HolderState = "closed"
	HolderReleased    HolderState = "released"
)

// Holder is one incarnation of a host that has, or had, a grant.
type Holder struct {
	// Holder has the form host/incarnation.
	Holder   string        `json:"holder"`
	State    HolderState   `json:"state"`
	Granted  record.Tokens `json:"granted"`
	Reserved record.Tokens `json:"reserved"`
	Free     record.Tokens `json:"free"`
	// LastReportMillis is the log time of its last report, in Unix milliseconds.
	LastReportMillis int64 `json:"last_report_ms,omitempty"`
}

// HolderList is the answer to a request for a budget's holders.
type HolderList struct {
	Budget  record.BudgetID `json:"budget"`
	Holders []Holder        `json:"holders"`
}

// TopUpRequest adds to a budget, or takes from it if Amount is negative. ID
// makes it idempotent: the same ID counts once.
type TopUpRequest struct {
	ID     string        `json:"id"`
	Amount record.Tokens `json:"amount"`
	By     string        `json:"by"`
}

// ReleaseRequest releases the grant of a holder that is known to have stopped.
// Confirm must repeat Holder. Force is required for a holder that still answers.
type ReleaseRequest struct {
	ID      string `json:"id"`
	Holder  string `json:"holder"`
	By      string `json:"by"`
	Confirm string `json:"confirm"`
	Force   bool   `json:"force,omitempty"`
}

// Change is the answer to a top-up or release, read back from the log.
type Change struct {
	Applied bool   `json:"applied"`
	Reason  string `json:"reason,omitempty"`
	// Amount is the amount added, removed or released.
	Amount    record.Tokens `json:"amount"`
	Available record.Tokens `json:"available"`
	Offset    record.Offset `json:"offset"`
}
