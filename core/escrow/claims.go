// Package escrow divides prepaid budgets among hosts. Each host claims amounts by
// writing records under its own key in a keyed stream of the platform's log, and
// spends only what it has claimed. A claim counts even if it exceeds the budget; the
// host doesn't spend the part in excess and gives it back. The sum of all claims is
// therefore never less than what can be spent, in whatever order a reader sees them.
// Claims never expire.
package escrow

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// Claim is the amount that one host has claimed of one budget.
type Claim struct {
	Budget record.BudgetID
	Host   record.HostID
	// Epoch is the number of the host's run that wrote the claim, counted from 1
	// over the runs that have claimed.
	Epoch uint64
	// Total is the sum of all claims of the host, including those of earlier runs,
	// less the amounts it has given back. It may be negative, since a host may give
	// back tokens that it has borrowed from another host.
	Total record.Tokens
}

// claimValue is the encoded form of a claim.
type claimValue struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Total record.Tokens
}

// Key returns the key of the claim's record, budget/host.
func (c Claim) Key() string { return string(c.Budget) + "/" + string(c.Host) }

// Encode returns the value of the claim's record, in CBOR.
func (c Claim) Encode() ([]byte, error) {
	return cbor.Marshal(claimValue{Epoch: c.Epoch, Total: c.Total})
}

// Decode parses the key and value of a claim's record. It returns an error for a key
// without a host and for a value that is not a claim.
func Decode(key string, value []byte) (Claim, error) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return Claim{}, fmt.Errorf("escrow: decode claim: key %q has no host", key)
	}
	var v claimValue
	if err := cbor.Unmarshal(value, &v); err != nil {
		return Claim{}, fmt.Errorf("escrow: decode claim %q: %w", key, err)
	}
	return Claim{
		Budget: record.BudgetID(key[:at]), Host: record.HostID(key[at+1:]), Epoch: v.Epoch, Total: v.Total,
	}, nil
}

// ClaimTable has the newest claim of each host on each budget, and their sums.
type ClaimTable struct {
	budgets map[record.BudgetID]*budgetClaims
}

type budgetClaims struct {
	sum    record.Tokens
	byHost map[record.HostID]Claim
}

// NewClaimTable returns an empty table.
func NewClaimTable() *ClaimTable {
	return &ClaimTable{budgets: make(map[record.BudgetID]*budgetClaims)}
}

// Put replaces a host's claim on a budget by a newer one.
func (t *ClaimTable) Put(c Claim) {
	claims, ok := t.budgets[c.Budget]
	if !ok {
		claims = &budgetClaims{byHost: make(map[record.HostID]Claim)}
		t.budgets[c.Budget] = claims
	}
	claims.sum += c.Total - claims.byHost[c.Host].Total
	claims.byHost[c.Host] = c
}

// Claimed returns the sum of all claims on a budget.
func (t *ClaimTable) Claimed(budget record.BudgetID) record.Tokens {
	claims, ok := t.budgets[budget]
	if !ok {
		return 0
	}
	return claims.sum
}

// HostClaim returns the newest claim of a host on a budget. Without one, its epoch
// and total are zero.
func (t *ClaimTable) HostClaim(budget record.BudgetID, host record.HostID) Claim {
	if claims, ok := t.budgets[budget]; ok {
		if c, ok := claims.byHost[host]; ok {
			return c
		}
	}
	return Claim{Budget: budget, Host: host}
}

// Epoch returns the highest epoch of a host, zero if it has claimed nothing.
func (t *ClaimTable) Epoch(host record.HostID) uint64 {
	highest := uint64(0)
	for _, claims := range t.budgets {
		highest = max(highest, claims.byHost[host].Epoch)
	}
	return highest
}

// ClosingClaim returns the claim that a host's run writes last, after it has given
// back all of its allocations. Its budget is empty.
func ClosingClaim(host record.HostID, epoch uint64) Claim { return Claim{Host: host, Epoch: epoch} }

// Crashed reports whether the last run of a host has not written a [ClosingClaim]. It
// is true as well while that run goes on.
func (t *ClaimTable) Crashed(host record.HostID) bool {
	last := t.Epoch(host)
	return last > 0 && t.HostClaim("", host).Epoch < last
}

// Spendable returns how much of a newly claimed amount may be spent, once the claim
// has been put into the table. The rest exceeds the prepaid amount and must be given
// back.
func (t *ClaimTable) Spendable(budget record.BudgetID, amount, prepaid record.Tokens) record.Tokens {
	over := max(0, t.Claimed(budget)-prepaid)
	return max(0, amount-over)
}
