package ledger

import (
	"fmt"
	"slices"

	"github.com/hazelworks/hazelworks/core/record"
)

// MaxTokens is the largest prepaid total of a budget, in tokens. With it, sums cannot
// overflow.
const MaxTokens record.Tokens = 1 << 60

// budget is the state of one budget. At all times
// prepaid = settled + sum of outstanding + available.
type budget struct {
	id         record.BudgetID
	prepaid    record.Tokens
	settled    record.Tokens
	available  record.Tokens
	unbilled   record.Tokens
	duplicates record.Tokens
	// toppedUp is true once a top-up has been applied.
	toppedUp bool
	// topUps has the hashes of the applied top-up IDs, sorted.
	topUps []uint64
	grants []*holderGrant
	keys   billedKeys
}

// holderGrant is the state of one holder's grants of one budget.
type holderGrant struct {
	holder      *holder
	outstanding record.Tokens
	// outstandingSince is the log time at which outstanding last rose from zero.
	outstandingSince int64
	// released is true after an operator's release, at log time releasedAt.
	released   bool
	releasedAt int64
}

// holder is the state of one incarnation of a host in this shard.
type holder struct {
	id        record.Holder
	grantSeq  uint64
	reportSeq uint64
	// lastGrant is the amount moved by the grant numbered grantSeq.
	lastGrant record.Tokens
	// lastReport is the log time of the newest report.
	lastReport int64
	// pinnedReport is the log time of the last report before a long silence, zero
	// if there was none. It replaces lastReport until a report arrives after
	// pinnedUntil.
	pinnedReport int64
	pinnedUntil  int64
	closed       bool
	closedAt     int64
	// released is true after a release of the whole holder.
	released   bool
	releasedAt int64
	// epochSeq is the batch number of the holder's newest epoch operation.
	epochSeq uint64
}

// BudgetState describes a budget. All amounts are in tokens.
// Prepaid = Settled + Granted + Available.
type BudgetState struct {
	ID      record.BudgetID
	Prepaid record.Tokens
	Settled record.Tokens
	// Granted is the sum of the holders' outstanding grants.
	Granted   record.Tokens
	Available record.Tokens
	// Unbilled is the reported cost that no grant covered.
	Unbilled record.Tokens
	// Duplicates is the cost of settlements dropped because the request was
	// billed before.
	Duplicates record.Tokens
}

// HolderState describes a holder's grants of a budget.
type HolderState struct {
	Holder      record.Holder
	Outstanding record.Tokens
	Released    bool
	Closed      bool
	ReportSeq   uint64
	// LastReportMillis is the log time of the holder's newest report in the
	// shard, zero if there is none.
	LastReportMillis int64
}

// findGrant returns the holder's grants of the budget, or nil.
func (b *budget) findGrant(h *holder) *holderGrant {
	for _, g := range b.grants {
		if g.holder == h {
			return g
		}
	}
	return nil
}

// grantOf returns the holder's grants of the budget and adds an empty entry if there
// is none.
func (b *budget) grantOf(h *holder) *holderGrant {
	if g := b.findGrant(h); g != nil {
		return g
	}
	g := &holderGrant{holder: h, released: h.released, releasedAt: h.releasedAt}
	b.grants = append(b.grants, g)
	return g
}

func (b *budget) granted() record.Tokens {
	var sum record.Tokens
	for _, g := range b.grants {
		sum += g.outstanding
	}
	return sum
}

func (b *budget) state() BudgetState {
	return BudgetState{
		ID: b.id, Prepaid: b.prepaid, Settled: b.settled, Granted: b.granted(),
		Available: b.available, Unbilled: b.unbilled, Duplicates: b.duplicates,
	}
}

// freeGrant moves the whole outstanding amount of g back to the budget and returns
// that amount.
func (b *budget) freeGrant(g *holderGrant) record.Tokens {
	amount := g.outstanding
	g.outstanding = 0
	b.available += amount
	return amount
}

// addTopUp records the hash of a top-up's ID. It returns false if the hash was
// recorded before.
func (b *budget) addTopUp(hash uint64) bool {
	i, found := slices.BinarySearch(b.topUps, hash)
	if found {
		return false
	}
	b.topUps = slices.Insert(b.topUps, i, hash)
	return true
}

// check returns an error if the budget's amounts do not add up.
func (b *budget) check() error {
	var granted record.Tokens
	for _, g := range b.grants {
		if !inRange(g.outstanding) {
			return fmt.Errorf("ledger: budget %s: holder %s has %d outstanding", b.id, g.holder.id, g.outstanding)
		}
		granted = addCapped(granted, g.outstanding)
	}
	if !inRange(b.prepaid) || !inRange(b.settled) || !inRange(b.available) || !inRange(b.unbilled) {
		return fmt.Errorf("ledger: budget %s: amount out of range in %+v", b.id, b.state())
	}
	if sum := b.settled + granted + b.available; sum != b.prepaid {
		return fmt.Errorf("ledger: budget %s: prepaid %d, but settled + granted + available = %d", b.id, b.prepaid, sum)
	}
	return nil
}

func inRange(amount record.Tokens) bool {
	return amount >= 0 && amount <= MaxTokens
}

// addCapped adds two non-negative amounts and stops at MaxTokens.
func addCapped(a, b record.Tokens) record.Tokens {
	if b > MaxTokens-a {
		return MaxTokens
	}
	return a + b
}
