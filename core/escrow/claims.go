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

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// Claim is the amount that one host has claimed of one budget.
type Claim struct {
	Budget record.BudgetID
	Host   record.HostID
	// Epoch is the number of the host's run that wrote the claim, counted from 1
	// over the runs that have claimed and the eras of the log in which they did.
	Epoch uint64
	// Seq is the number of the write in its epoch. Epoch and Seq order the records of a
	// claim: after the log came back from an older copy, offsets do not.
	Seq uint64
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
	Seq   uint64
}

// formerValue is the form of claims and closing records before they had sequence numbers
// and eras. A fleet that is upgraded finds them in the log.
type formerValue struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Total record.Tokens
}

// hostValue is the encoded form of a host record.
type hostValue struct {
	_      struct{} `cbor:",toarray"`
	Epoch  uint64
	Seq    uint64
	Closed bool
	Era    platform.Era
	Missed uint64
}

// Key returns the key of the claim's record, budget/host.
func (c Claim) Key() string { return string(c.Budget) + "/" + string(c.Host) }

// Encode returns the value of the claim's record, in CBOR.
func (c Claim) Encode() ([]byte, error) {
	return cbor.Marshal(claimValue{Epoch: c.Epoch, Total: c.Total, Seq: c.Seq})
}

// Key returns the key of the record, /host. No budget has an empty name.
func (h HostRecord) Key() string { return "/" + string(h.Host) }

// Encode returns the value of the record, in CBOR.
func (h HostRecord) Encode() ([]byte, error) {
	return cbor.Marshal(hostValue{Epoch: h.Epoch, Seq: h.Seq, Closed: h.Closed, Era: h.Era, Missed: h.Missed})
}

// Decode parses the key and value of a record. It returns the claim or, if the key names
// no budget, the host record. A key without a host and a value of another form are errors. A total
// that no run can have reached counts as more than any budget.
func Decode(key string, value []byte) (*Claim, *HostRecord, error) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return nil, nil, fmt.Errorf("escrow: decode claim: key %q has no host", key)
	}
	budget, host := record.BudgetID(key[:at]), record.HostID(key[at+1:])
	var former formerValue
	isFormer := cbor.Unmarshal(value, &former) == nil
	switch {
	case isFormer && budget == "":
		return nil, &HostRecord{Host: host, Epoch: former.Epoch, Closed: true}, nil
	case isFormer:
		return &Claim{Budget: budget, Host: host, Epoch: former.Epoch, Total: validTotal(former.Total)}, nil, nil
	case budget == "":
		var v hostValue
		if err := cbor.Unmarshal(value, &v); err != nil {
			return nil, nil, fmt.Errorf("escrow: decode host record %q: %w", key, err)
		}
		return nil, &HostRecord{Host: host, Epoch: v.Epoch, Seq: v.Seq, Closed: v.Closed, Era: v.Era, Missed: v.Missed}, nil
	}
	var v claimValue
	if err := cbor.Unmarshal(value, &v); err != nil {
		return nil, nil, fmt.Errorf("escrow: decode claim %q: %w", key, err)
	}
	return &Claim{Budget: budget, Host: host, Epoch: v.Epoch, Seq: v.Seq, Total: validTotal(v.Total)}, nil, nil
}

// validTotal returns a total, or the largest amount in place of one that is out of range: how much
// of it was spent is unknown.
func validTotal(total record.Tokens) record.Tokens {
	if total != total.Limited() {
		return record.MaxTokens
	}
	return total
}

// ClaimTable has the newest claim of each host on each budget, their sums, and the newest
// host records. What it has seen of a host it never replaces by an older record.
type ClaimTable struct {
	budgets map[record.BudgetID]*budgetClaims
	hosts   map[record.HostID]HostRecord
	// unreadable has the budgets of the claims that can't be read, by key.
	unreadable map[string]record.BudgetID
	era        platform.Era
}

type budgetClaims struct {
	sum    record.Tokens
	byHost map[record.HostID]Claim
}

// NewClaimTable returns an empty table.
func NewClaimTable() *ClaimTable {
	return &ClaimTable{budgets: make(map[record.BudgetID]*budgetClaims), hosts: make(map[record.HostID]HostRecord), unreadable: make(map[string]record.BudgetID)}
}

// PutHost replaces a host record by a newer one. An older one has no effect.
func (t *ClaimTable) PutHost(h HostRecord) {
	if known, ok := t.hosts[h.Host]; ok && older(h.Epoch, h.Seq, known.Epoch, known.Seq) {
		return
	}
	t.hosts[h.Host] = h
}

// HostRecord returns the newest record of a host, and a zero one if there is none.
func (t *ClaimTable) HostRecord(host record.HostID) HostRecord {
	if h, ok := t.hosts[host]; ok {
		return h
	}
	return HostRecord{Host: host}
}

// older reports whether a record with an epoch and a sequence number is older than another
// one of the same key.
func older(epoch, seq, otherEpoch, otherSeq uint64) bool {
	return epoch < otherEpoch || epoch == otherEpoch && seq < otherSeq
}

// claim returns the newest claim of a host on a budget.
func (t *ClaimTable) claim(budget record.BudgetID, host record.HostID) (Claim, bool) {
	claims, ok := t.budgets[budget]
	if !ok {
		return Claim{}, false
	}
	c, ok := claims.byHost[host]
	return c, ok
}

// HostClaims returns the newest claims of a host on all budgets, in no particular order.
func (t *ClaimTable) HostClaims(host record.HostID) []Claim {
	var out []Claim
	for _, claims := range t.budgets {
		if c, ok := claims.byHost[host]; ok {
			out = append(out, c)
		}
	}
	return out
}

// Put replaces a host's claim on a budget by a newer one. It reports whether the claim took
// effect: an older one does not.
func (t *ClaimTable) Put(c Claim) bool {
	if known, ok := t.claim(c.Budget, c.Host); ok && older(c.Epoch, c.Seq, known.Epoch, known.Seq) {
		return false
	}
	claims, ok := t.budgets[c.Budget]
	if !ok {
		claims = &budgetClaims{byHost: make(map[record.HostID]Claim)}
		t.budgets[c.Budget] = claims
	}
	claims.sum += c.Total - claims.byHost[c.Host].Total
	claims.byHost[c.Host] = c
	delete(t.unreadable, c.Key())
	return true
}

// PutUnreadable records that the newest claim at a key is in a form that this build can't read.
// Its amount is unknown, so nothing more of the budget is spendable until a claim that can be read
// replaces it. Records of hosts have no amount.
func (t *ClaimTable) PutUnreadable(key string) {
	if at := strings.LastIndexByte(key, '/'); at > 0 {
		t.unreadable[key] = record.BudgetID(key[:at])
	}
}

func (t *ClaimTable) hasUnreadable(budget record.BudgetID) bool {
	for _, b := range t.unreadable {
		if b == budget {
			return true
		}
	}
	return false
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
	if c, ok := t.claim(budget, host); ok {
		return c
	}
	return Claim{Budget: budget, Host: host}
}

// Epoch returns the highest epoch of a host, zero if it has claimed nothing.
func (t *ClaimTable) Epoch(host record.HostID) uint64 {
	highest := t.hosts[host].Epoch
	for _, claims := range t.budgets {
		highest = max(highest, claims.byHost[host].Epoch)
	}
	return highest
}

// Crashed reports whether the last run of a host has not closed. It is true as well while
// that run goes on.
func (t *ClaimTable) Crashed(host record.HostID) bool {
	last, h := t.Epoch(host), t.hosts[host]
	return last > 0 && (h.Epoch < last || !h.Closed)
}

// Spendable returns how much of a newly claimed amount may be spent, once the claim
// has been put into the table. The rest exceeds the prepaid amount and must be given
// back.
func (t *ClaimTable) Spendable(budget record.BudgetID, amount, prepaid record.Tokens) record.Tokens {
	if t.hasUnreadable(budget) {
		return 0
	}
	over := max(0, t.Claimed(budget)+t.Unconfirmed(prepaid)-prepaid)
	return max(0, amount-over)
}
