// Package ledger folds the budget operations of one shard stream. The fold alone
// decides which holder has which part of a budget. It never grants more than is
// available, so holders may spend their grants without further coordination.
//
// The invariant, for each budget after every record:
//
//	prepaid = settled + sum of outstanding grants + available, none negative
//
// Grants do not expire. A grant ends with a report of its holder or an operator's
// release.
package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// Defaults of [Options].
const (
	DefaultWindow          = time.Hour
	DefaultHolderRetention = 7 * 24 * time.Hour
	DefaultMaxKeys         = 4 << 20
)

// segmentsPerWindow is the number of key segments in a deduplication window.
const segmentsPerWindow = 8

// Options set how long a fold keeps its state. All hosts of a fleet must use the same
// values.
type Options struct {
	// Window is the least time for which the key of a billed request is kept, in
	// log time. It must exceed twice the longest run of a request.
	Window time.Duration
	// HolderRetention is how long a closed or released holder is kept, in log time.
	HolderRetention time.Duration
	// MaxKeys is the number of keys of one budget above which keys older than the
	// window are dropped, although holders that have not reported since may still
	// report their requests.
	MaxKeys int
}

func (o Options) withDefaults() Options {
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.HolderRetention = cmp.Or(o.HolderRetention, DefaultHolderRetention)
	o.MaxKeys = cmp.Or(o.MaxKeys, DefaultMaxKeys)
	return o
}

// GapError reports an entry whose predecessors have not been folded. Want is the
// offset of the next entry that the fold accepts.
type GapError struct {
	Want record.Offset
	Got  record.Offset
}

// Error returns the offsets received and wanted.
func (e *GapError) Error() string {
	return fmt.Sprintf("ledger: entry %d follows a gap, want %d", e.Got, e.Want)
}

// Fold is the state of one shard at an offset. It is not safe for concurrent use.
type Fold struct {
	opts    Options
	offset  record.Offset
	epoch   record.Offset
	owner   record.Holder
	now     int64 // newest log time seen, in Unix milliseconds
	swept   int64 // log time of the last sweep
	budgets map[record.BudgetID]*budget
	holders map[record.Holder]*holder
}

// New returns an empty fold. Zero options mean the defaults.
func New(opts Options) *Fold {
	return &Fold{
		opts:    opts.withDefaults(),
		budgets: make(map[record.BudgetID]*budget),
		holders: make(map[record.Holder]*holder),
	}
}

// Apply folds the next entry and returns one result for each operation, in
// order. A nil batch means a record that cannot be decoded; it only advances the
// offset and the log time. An entry that was folded before returns no results; an
// entry after a gap returns a [GapError]. Neither changes the fold.
func (f *Fold) Apply(entry record.Entry, batch *record.Batch) ([]Result, error) {
	fresh, err := f.Begin(entry)
	if err != nil || !fresh || batch == nil {
		return nil, err
	}
	results := make([]Result, len(batch.Ops))
	for i := range batch.Ops {
		results[i] = f.ApplyOp(batch, &batch.Ops[i])
	}
	return results, nil
}

// Begin advances the fold to the next entry; ApplyOp then applies its operations.
// Begin returns false for an entry that was folded before, and a [GapError] for an
// entry after a gap.
func (f *Fold) Begin(entry record.Entry) (bool, error) {
	if entry.Offset <= f.offset {
		return false, nil
	}
	if entry.Offset != f.offset+1 {
		return false, &GapError{Want: f.offset + 1, Got: entry.Offset}
	}
	f.offset = entry.Offset
	f.now = max(f.now, entry.TimeMillis)
	f.sweep()
	return true, nil
}

// ApplyOp folds one operation of the current entry's batch.
func (f *Fold) ApplyOp(batch *record.Batch, op *record.Op) Result {
	res := Result{Kind: op.Kind, Budget: op.Budget, Holder: op.Holder, Offset: f.offset}
	switch op.Kind {
	case record.KindEpoch:
		f.applyEpoch(batch, &res)
	case record.KindTopUp:
		f.applyTopUp(op, &res)
	case record.KindGrant:
		f.applyGrant(batch, op, &res)
	case record.KindReport:
		f.applyReport(op, &res)
	case record.KindRelease:
		f.applyRelease(op, &res)
	default:
		res.Reason = ReasonUnknownKind
	}
	return res
}

func (f *Fold) applyEpoch(batch *record.Batch, res *Result) {
	h := f.holder(batch.Writer)
	if batch.Seq != 0 && batch.Seq <= h.epochSeq {
		res.Reason = ReasonDuplicate
		return
	}
	h.epochSeq = batch.Seq
	f.epoch = f.offset
	f.owner = batch.Writer
	res.Applied = true
}

// FromOwner reports whether a batch was written by the shard's owner under the
// current epoch.
func (f *Fold) FromOwner(batch *record.Batch) bool {
	if f.epoch == 0 || batch.Writer != f.owner {
		return false
	}
	return batch.Epoch == f.epoch || (batch.OpensEpoch && f.epoch == f.offset)
}

func (f *Fold) applyTopUp(op *record.Op, res *Result) {
	if op.ID == "" || op.Budget == "" || op.Amount == 0 {
		res.Reason = ReasonInvalid
		return
	}
	b := f.budget(op.Budget)
	defer func() { res.Available = b.available }()
	if op.Amount > MaxTokens-b.prepaid {
		res.Reason = ReasonInvalid
		return
	}
	if !b.addTopUp(xxhash.Sum64String(op.ID)) {
		res.Reason = ReasonDuplicate
		return
	}
	amount := op.Amount
	if amount < -b.available {
		amount = -b.available
		res.Reason = ReasonExhausted
	}
	b.toppedUp = true
	b.prepaid += amount
	b.available += amount
	res.Amount = amount
	res.Applied = true
}

func (f *Fold) applyGrant(batch *record.Batch, op *record.Op, res *Result) {
	res.Seq = op.Seq
	if op.Holder == nil || op.Budget == "" || op.Amount <= 0 || op.Seq == 0 {
		res.Reason = ReasonInvalid
		return
	}
	h, known := f.holders[*op.Holder]
	b := f.budgets[op.Budget]
	defer func() { f.fillState(res, b, f.holders[*op.Holder]) }()
	if known && op.Seq <= h.grantSeq {
		res.Reason = ReasonDuplicate
		if op.Seq == h.grantSeq {
			res.Granted = h.lastGrant
		}
		return
	}
	if !f.FromOwner(batch) {
		res.Reason = ReasonStaleEpoch
		return
	}
	h = f.holder(*op.Holder)
	if h.closed {
		res.Reason = ReasonClosed
		return
	}
	if h.released || (b != nil && b.isReleased(h)) {
		res.Reason = ReasonReleased
		return
	}
	h.grantSeq = op.Seq
	h.lastGrant = 0
	res.Applied = true
	if b == nil || !b.toppedUp {
		res.Reason = ReasonUnknownBudget
		return
	}
	h.lastGrant = f.grant(b, h, op.Amount)
	res.Granted = h.lastGrant
	if res.Granted < op.Amount {
		res.Reason = ReasonExhausted
	}
}

// grant moves at most amount from the budget to the holder and returns the amount
// moved.
func (f *Fold) grant(b *budget, h *holder, amount record.Tokens) record.Tokens {
	amount = min(amount, b.available)
	if amount == 0 {
		return 0
	}
	g := b.grantOf(h)
	if g.outstanding == 0 {
		g.outstandingSince = f.now
	}
	b.available -= amount
	g.outstanding += amount
	return amount
}

func (b *budget) isReleased(h *holder) bool {
	g := b.findGrant(h)
	return g != nil && g.released
}

// fillState sets the result's state of the budget and the holder after an operation.
// Both may be nil.
func (f *Fold) fillState(res *Result, b *budget, h *holder) {
	if h != nil {
		res.ReportSeq = h.reportSeq
	}
	if b == nil {
		return
	}
	res.Available = b.available
	if h == nil {
		return
	}
	if g := b.findGrant(h); g != nil {
		res.Outstanding = g.outstanding
	}
}

func (f *Fold) applyRelease(op *record.Op, res *Result) {
	if op.Holder == nil || op.ID == "" {
		res.Reason = ReasonInvalid
		return
	}
	h := f.holder(*op.Holder)
	if op.Budget == "" {
		f.releaseAll(h, res)
		return
	}
	b, ok := f.budgets[op.Budget]
	if !ok {
		res.Reason = ReasonUnknownBudget
		return
	}
	g := b.grantOf(h)
	if g.released {
		res.Reason = ReasonDuplicate
	} else {
		res.Amount = f.release(b, g)
		res.Applied = true
	}
	f.fillState(res, b, h)
}

func (f *Fold) release(b *budget, g *holderGrant) record.Tokens {
	if g.released {
		return 0
	}
	g.released = true
	g.releasedAt = f.now
	return b.freeGrant(g)
}

// releaseAll releases the holder's grants of every budget in the shard.
func (f *Fold) releaseAll(h *holder, res *Result) {
	if h.released {
		res.Reason = ReasonDuplicate
		return
	}
	h.released = true
	h.releasedAt = f.now
	for _, b := range f.budgets {
		if g := b.findGrant(h); g != nil {
			res.Amount += f.release(b, g)
		}
	}
	res.Applied = true
	res.ReportSeq = h.reportSeq
}

func (f *Fold) budget(id record.BudgetID) *budget {
	b, ok := f.budgets[id]
	if !ok {
		b = &budget{id: id}
		f.budgets[id] = b
	}
	return b
}

func (f *Fold) holder(id record.Holder) *holder {
	h, ok := f.holders[id]
	if !ok {
		h = &holder{id: id}
		f.holders[id] = h
	}
	return h
}

// Offset returns the offset of the last entry folded.
func (f *Fold) Offset() record.Offset { return f.offset }

// Epoch returns the offset of the current epoch's record, zero if there is none.
func (f *Fold) Epoch() record.Offset { return f.epoch }

// Owner returns the holder that owns the shard under the current epoch.
func (f *Fold) Owner() record.Holder { return f.owner }

// Budget returns the state of a budget. It returns false if the shard has none of
// that ID.
func (f *Fold) Budget(id record.BudgetID) (BudgetState, bool) {
	b, ok := f.budgets[id]
	if !ok {
		return BudgetState{}, false
	}
	return b.state(), true
}

// Budgets returns the states of all budgets, by ID.
func (f *Fold) Budgets() []BudgetState {
	states := make([]BudgetState, 0, len(f.budgets))
	for _, b := range f.budgets {
		states = append(states, b.state())
	}
	slices.SortFunc(states, func(a, b BudgetState) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

// Holders returns the holders that have or recently had a grant of a budget, sorted by
// descending outstanding amount.
func (f *Fold) Holders(id record.BudgetID) []HolderState {
	b, ok := f.budgets[id]
	if !ok {
		return nil
	}
	states := make([]HolderState, 0, len(b.grants))
	for _, g := range b.grants {
		h := g.holder
		states = append(states, HolderState{
			Holder: h.id, Outstanding: g.outstanding, Released: g.released,
			Closed: h.closed, ReportSeq: h.reportSeq, LastReportMillis: h.lastReport,
		})
	}
	slices.SortFunc(states, func(a, b HolderState) int {
		return cmp.Or(cmp.Compare(b.Outstanding, a.Outstanding), compareHolders(a.Holder, b.Holder))
	})
	return states
}

func compareHolders(a, b record.Holder) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

// ReportSeq returns the number of the holder's last applied report, zero if there is
// none.
func (f *Fold) ReportSeq(id record.Holder) uint64 {
	if h, ok := f.holders[id]; ok {
		return h.reportSeq
	}
	return 0
}

// GrantSeq returns the number of the holder's last applied grant, zero if there is
// none.
func (f *Fold) GrantSeq(id record.Holder) uint64 {
	if h, ok := f.holders[id]; ok {
		return h.grantSeq
	}
	return 0
}

// Ended reports whether a holder has sent its closing report or was released in
// the whole shard or in any of its budgets.
func (f *Fold) Ended(id record.Holder) bool {
	h, ok := f.holders[id]
	if !ok {
		return false
	}
	if h.closed || h.released {
		return true
	}
	for _, b := range f.budgets {
		if b.isReleased(h) {
			return true
		}
	}
	return false
}

// Check returns an error if the amounts of any budget are out of range or do not add
// up to its prepaid total.
func (f *Fold) Check() error {
	for _, b := range f.budgets {
		if err := b.check(); err != nil {
			return err
		}
	}
	return nil
}
