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
	res.Reason = h.checkReportSeq(r.Seq)
	if res.Reason == ReasonNone {
		f.report(h, r, res)
		res.Applied = true
	}
	res.ReportSeq = h.reportSeq
}

// checkReportSeq returns ReasonNone if seq is the number of the holder's next report,
// otherwise why that report is not applied.
func (h *holder) checkReportSeq(seq uint64) Reason {
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
		f.applyReturn(h, ret, res)
	}
	f.updateReportTime(h)
	if r.Closing {
		f.close(h)
	}
	for i := range res.Lines {
		line := &res.Lines[i]
		if g := f.budgets[line.Budget].findGrant(h); g != nil {
			line.Outstanding = g.outstanding
		}
	}
}

// reportLine returns the result's line for a budget and adds it if there is none.
func (r *Result) reportLine(id record.BudgetID) *ReportLine {
	i := slices.IndexFunc(r.Lines, func(l ReportLine) bool { return l.Budget == id })
	if i < 0 {
		i = len(r.Lines)
		r.Lines = append(r.Lines, ReportLine{Budget: id})
	}
	return &r.Lines[i]
}

// settle bills one request to the holder's grant. For a released holder, it bills the
// budget's available amount instead. Cost that this does not cover is recorded as
// unbilled.
func (f *Fold) settle(h *holder, s record.Settlement, res *Result) {
	if s.Cost < 0 || s.Budget == "" {
		return
	}
	b := f.budget(s.Budget)
	line := res.reportLine(s.Budget)
	if b.keys.has(s.Key) {
		b.duplicates = addCapped(b.duplicates, s.Cost)
		line.Duplicate = addCapped(line.Duplicate, s.Cost)
		return
	}
	billed := f.bill(b, b.findGrant(h), s.Cost)
	if billed > 0 || s.Cost == 0 {
		b.keys.add(s.Key, f.now, f.segmentSpan())
	}
	b.settled += billed
	b.unbilled = addCapped(b.unbilled, s.Cost-billed)
	line.Billed += billed
	line.Unbilled = addCapped(line.Unbilled, s.Cost-billed)
}

// bill deducts at most cost from the holder's grant, or from the budget's available
// amount for a released holder, and returns the amount deducted.
func (f *Fold) bill(b *budget, g *holderGrant, cost record.Tokens) record.Tokens {
	if g == nil || f.unverifiable(b, g) {
		return 0
	}
	source := &g.outstanding
	if g.released {
		source = &b.available
	}
	amount := min(cost, *source)
	*source -= amount
	return amount
}

// applyReturn returns part of the holder's grant to the budget.
func (f *Fold) applyReturn(h *holder, ret record.Return, res *Result) {
	b, ok := f.budgets[ret.Budget]
	if !ok || ret.Amount <= 0 {
		return
	}
	line := res.reportLine(ret.Budget)
	g := b.findGrant(h)
	if g == nil {
		return
	}
	amount := min(ret.Amount, g.outstanding)
	g.outstanding -= amount
	b.available += amount
	line.Returned += amount
}

// close marks the holder as closed and frees all its grants.
func (f *Fold) close(h *holder) {
	h.closed = true
	h.closedAt = f.now
	for _, b := range f.budgets {
		if g := b.findGrant(h); g != nil {
			b.freeGrant(g)
		}
	}
}
