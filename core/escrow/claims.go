// Package escrow divides prepaid budgets among hosts. Each host claims amounts by
// records in a keyed stream of the platform's log, under a key of its own, and
// spends only what it has claimed. A claim counts whether it fits the budget or
// not; one that doesn't fit is not spent and given back. So the sum of all claims
// is never less than what can be spent, in whatever order a reader learns of
// them, and nothing is ever freed by time.
package escrow

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// Claim is what one host has claimed of one budget.
type Claim struct {
	Budget record.BudgetID
	Host   record.HostID
	// Epoch numbers the runs of the host that have claimed.
	Epoch uint64
	// Total is the sum of all claims of the host, those of its earlier runs
	// included, less what it has given back. It may be negative: a host may give
	// back what another has lent to it.
	Total record.Tokens
}

// claimValue is the encoded form of a claim.
type claimValue struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Total record.Tokens
}

// Key returns the key of the claim's record.
func (c Claim) Key() string { return string(c.Budget) + "/" + string(c.Host) }

// Encode returns the value of the claim's record.
func (c Claim) Encode() ([]byte, error) {
	return cbor.Marshal(claimValue{Epoch: c.Epoch, Total: c.Total})
}

// Decode reads a claim's record.
func Decode(key string, value []byte) (Claim, error) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return Claim{}, fmt.Errorf("escrow: key %q names no host", key)
	}
	var v claimValue
	if err := cbor.Unmarshal(value, &v); err != nil {
		return Claim{}, fmt.Errorf("escrow: claim %q: %w", key, err)
	}
	return Claim{
		Budget: record.BudgetID(key[:at]), Host: record.HostID(key[at+1:]), Epoch: v.Epoch, Total: v.Total,
	}, nil
}

// ClaimTable sums up the claims of all hosts.
type ClaimTable struct {
	budgets map[record.BudgetID]*budgetClaims
}

type budgetClaims struct {
	sum    record.Tokens
	byHost map[record.HostID]Claim
}

// NewClaimTable returns an empty book.
func NewClaimTable() *ClaimTable {
	return &ClaimTable{budgets: make(map[record.BudgetID]*budgetClaims)}
}

// Put takes in the newest claim of a host.
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

// HostClaim returns the newest claim of a host on a budget.
func (t *ClaimTable) HostClaim(budget record.BudgetID, host record.HostID) Claim {
	if claims, ok := t.budgets[budget]; ok {
		if c, ok := claims.byHost[host]; ok {
			return c
		}
	}
	return Claim{Budget: budget, Host: host}
}

// Epoch returns the highest epoch of a host.
func (t *ClaimTable) Epoch(host record.HostID) uint64 {
	highest := uint64(0)
	for _, claims := range t.budgets {
		highest = max(highest, claims.byHost[host].Epoch)
	}
	return highest
}

// ClosingClaim returns the claim by which a run of a host says that it has given back all
// that it held and claims no more. It is of no budget.
func ClosingClaim(host record.HostID, epoch uint64) Claim { return Claim{Host: host, Epoch: epoch} }

// Crashed tells whether the last run of a host has ended, or goes on, without such a
// claim.
func (t *ClaimTable) Crashed(host record.HostID) bool {
	last := t.Epoch(host)
	return last > 0 && t.HostClaim("", host).Epoch < last
}

// Spendable returns how much of a claim by the given amount may be spent, after the
// claim has been put into the book: what is beyond the prepaid amount must be
// given back.
func (t *ClaimTable) Spendable(budget record.BudgetID, by, prepaid record.Tokens) record.Tokens {
	over := max(0, t.Claimed(budget)-prepaid)
	return max(0, by-over)
}
