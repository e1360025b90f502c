package ledger

import (
	"slices"

	"github.com/hazelworks/hazelworks/core/record"
)

func (f *Fold) applyReport(op *record.Op, res *Result) {
	if op.Holder == nil || op.Report == nil || op.Report.Seq == 0 {
		res.Reason = ReasonInvalid
		return
	}
	r := op.Report
	h := f.holder(*op.Holder)
	res.Seq = r.Seq
	res.Reason = h.judge(r.Seq)
	if res.Reason == ReasonNone {
		f.report(h, r, res)
		res.Applied = true
	}
	res.ReportSeq = h.reportSeq
}

// judge tells whether the report numbered seq is the holder's next one.
func (h *holder) judge(seq uint64) Reason {
	switch {
	case seq <= h.reportSeq:
		return ReasonDuplicate
	case h.closed:
		return ReasonClosed
	case seq > h.reportSeq+1:
		return ReasonGap
	default:
		return ReasonNone
	}
}

func (f *Fold) report(h *holder, r *record.Report, res *Result) {
	h.reportSeq = r.Seq
	for _, s := range r.Settlements {
		f.settle(h, s, res)
	}
	for _, ret := range r.Returns {
		f.giveBack(h, ret, res)
	}
	f.noteReport(h)
	if r.Closing {
		f.close(h)
	}
	for i := range res.Lines {
		rl := &res.Lines[i]
		if l := f.budgets[rl.Budget].find(h); l != nil {
			rl.Outstanding = l.outstanding
		}
	}
}

// lineOf returns the report's line for a budget.
func (r *Result) lineOf(id record.BudgetID) *ReportLine {
	i := slices.IndexFunc(r.Lines, func(l ReportLine) bool { return l.Budget == id })
	if i < 0 {
		i = len(r.Lines)
		r.Lines = append(r.Lines, ReportLine{Budget: id})
	}
	return &r.Lines[i]
}

// settle bills one request to the holder's grant. A holder that was released is
// billed up to what the budget has available. What neither covers is recorded
// as unbilled.
func (f *Fold) settle(h *holder, s record.Settlement, res *Result) {
	if s.Cost < 0 || s.Budget == "" {
		return
	}
	b := f.budget(s.Budget)
	sum := res.lineOf(s.Budget)
	if b.keys.has(s.Key) {
		b.duplicates = addCapped(b.duplicates, s.Cost)
		sum.Duplicate = addCapped(sum.Duplicate, s.Cost)
		return
	}
	billed := f.bill(b, b.find(h), s.Cost)
	if billed > 0 || s.Cost == 0 {
		b.keys.add(s.Key, f.now, f.span())
	}
	b.settled += billed
	b.unbilled = addCapped(b.unbilled, s.Cost-billed)
	sum.Billed += billed
	sum.Unbilled = addCapped(sum.Unbilled, s.Cost-billed)
}

// bill takes at most cost from the holder's grant, or from the budget for a
// released holder, and returns what it took.
func (f *Fold) bill(b *budget, l *line, cost record.Tokens) record.Tokens {
	if l == nil || f.unverifiable(b, l) {
		return 0
	}
	source := &l.outstanding
	if l.released {
		source = &b.available
	}
	amount := min(cost, *source)
	*source -= amount
	return amount
}

// giveBack returns part of the holder's grant to the budget.
func (f *Fold) giveBack(h *holder, ret record.Return, res *Result) {
	b, ok := f.budgets[ret.Budget]
	if !ok || ret.Amount <= 0 {
		return
	}
	sum := res.lineOf(ret.Budget)
	l := b.find(h)
	if l == nil {
		return
	}
	amount := min(ret.Amount, l.outstanding)
	l.outstanding -= amount
	b.available += amount
	sum.Returned += amount
}

// close frees all grants of the holder and ends it.
func (f *Fold) close(h *holder) {
	h.closed = true
	h.closedAt = f.now
	for _, b := range f.budgets {
		if l := b.find(h); l != nil {
			b.free(l)
		}
	}
}
