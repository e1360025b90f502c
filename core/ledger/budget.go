package ledger

import (
	"fmt"
	"slices"

	"github.com/hazelworks/hazelworks/core/record"
)

// MaxTokens bounds the prepaid total of a budget, so that sums cannot overflow.
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
	// known is true once a top-up has been applied.
	known bool
	// topUps holds the sorted hashes of the applied top-up IDs.
	topUps []uint64
	lines  []*line
	keys   keyLog
}

// line is what one holder has of one budget.
type line struct {
	holder      *holder
	outstanding record.Tokens
	// since is the log time at which outstanding last rose from zero.
	since int64
	// released is true after an operator's release, at log time releasedAt.
	released   bool
	releasedAt int64
}

// holder is the state of one incarnation of a host in this shard.
type holder struct {
	id        record.Holder
	grantSeq  uint64
	reportSeq uint64
	// lastGrant is the amount of the grant numbered grantSeq.
	lastGrant record.Tokens
	// lastReport is the log time of the newest report.
	lastReport int64
	// heldPin is the log time of the report before a long silence, zero if
	// there was none. It counts instead of lastReport until a report after
	// heldUntil.
	heldPin   int64
	heldUntil int64
	closed    bool
	closedAt  int64
	// released is true after a release of the whole holder.
	released   bool
	releasedAt int64
	// epochSeq is the batch number of the holder's newest epoch operation.
	epochSeq uint64
}

// BudgetState describes a budget. Prepaid = Settled + Granted + Available.
type BudgetState struct {
	ID      record.BudgetID
	Prepaid record.Tokens
	Settled record.Tokens
	// Granted is the sum of the holders' outstanding grants.
	Granted   record.Tokens
	Available record.Tokens
	// Unbilled is cost that was reported and that no grant covered.
	Unbilled record.Tokens
	// Duplicates is the cost of settlements dropped because the request was
	// billed before.
	Duplicates record.Tokens
}

// HolderState describes a holder's part in a budget.
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

func (b *budget) find(h *holder) *line {
	for _, l := range b.lines {
		if l.holder == h {
			return l
		}
	}
	return nil
}

func (b *budget) line(h *holder) *line {
	if l := b.find(h); l != nil {
		return l
	}
	l := &line{holder: h, released: h.released, releasedAt: h.releasedAt}
	b.lines = append(b.lines, l)
	return l
}

func (b *budget) granted() record.Tokens {
	var sum record.Tokens
	for _, l := range b.lines {
		sum += l.outstanding
	}
	return sum
}

func (b *budget) state() BudgetState {
	return BudgetState{
		ID: b.id, Prepaid: b.prepaid, Settled: b.settled, Granted: b.granted(),
		Available: b.available, Unbilled: b.unbilled, Duplicates: b.duplicates,
	}
}

// free moves the whole outstanding amount of l back to the budget.
func (b *budget) free(l *line) record.Tokens {
	amount := l.outstanding
	l.outstanding = 0
	b.available += amount
	return amount
}

// rememberTopUp records the hash of a top-up's ID; it is false if it was there.
func (b *budget) rememberTopUp(hash uint64) bool {
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
	for _, l := range b.lines {
		if !inRange(l.outstanding) {
			return fmt.Errorf("ledger: budget %s: holder %s has %d outstanding", b.id, l.holder.id, l.outstanding)
		}
		granted = addCapped(granted, l.outstanding)
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
