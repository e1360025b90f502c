package ledger

import "slices"

// Rules of the deduplication window. A billed key may be dropped once no holder can
// report a second run of its request:
//
//   - A holder with an outstanding grant may still report requests that it ran up to
//     half a window before its last report, however long it has been silent. Keys
//     are kept from one whole window before that report on.
//   - A holder that reports after a long silence may need several reports to catch
//     up. The time of its last report before the silence counts until it has
//     reported for one more window without another long silence.
//   - A released holder counts for one window after the release.
//   - Above Options.MaxKeys, keys older than the window are dropped in any case.
//
// A holder whose last report is too old for the keys still kept is not billed: its
// settlements are recorded as unbilled, since a double bill can't be ruled out.

func (f *Fold) window() int64 { return f.opts.Window.Milliseconds() }

// segmentSpan is the log time that one key segment covers, in milliseconds.
func (f *Fold) segmentSpan() int64 { return max(1, f.window()/segmentsPerWindow) }

// updateReportTime sets the holder's last report to the current log time. After a
// silence of more than a quarter of the window, it pins the previous report's time.
func (f *Fold) updateReportTime(h *holder) {
	silent := h.lastReport > 0 && f.now-h.lastReport > f.window()/4
	switch {
	case silent && h.pinnedReport == 0:
		h.pinnedReport = h.lastReport
		h.pinnedUntil = f.now + f.window()
	case silent:
		h.pinnedUntil = f.now + f.window()
	case f.now > h.pinnedUntil:
		h.pinnedReport = 0
	}
	h.lastReport = f.now
}

// reportedUntil returns the log time up to which the holder of g has reported its
// runs.
func (f *Fold) reportedUntil(g *holderGrant) int64 {
	reported := g.holder.lastReport
	if g.holder.pinnedReport > 0 {
		reported = g.holder.pinnedReport
	}
	return max(reported, g.outstandingSince)
}

// canStillBill reports whether g's holder may still report runs that can be billed.
func (f *Fold) canStillBill(g *holderGrant) bool {
	if g.released {
		return f.now <= g.releasedAt+f.window()
	}
	return g.outstanding > 0
}

// unverifiable reports whether keys were dropped that the holder of g may report
// again.
func (f *Fold) unverifiable(b *budget, g *holderGrant) bool {
	return b.keys.droppedUntil > 0 && b.keys.droppedUntil > f.reportedUntil(g)-f.window()/2
}

// sweep drops old keys, grants and holders, once per segmentSpan of log time.
func (f *Fold) sweep() {
	if f.now-f.swept < f.segmentSpan() {
		return
	}
	f.swept = f.now
	for _, b := range f.budgets {
		f.sweepKeys(b)
		f.sweepGrants(b)
	}
	f.sweepHolders()
}

func (f *Fold) sweepKeys(b *budget) {
	if len(b.keys.active) > 0 && f.now-b.keys.activeFrom >= f.segmentSpan() {
		b.keys.seal(f.now)
	}
	oldest := f.now
	for _, g := range b.grants {
		if f.canStillBill(g) {
			oldest = min(oldest, f.reportedUntil(g))
		}
	}
	b.keys.dropBefore(oldest - f.window())
	for b.keys.count > f.opts.MaxKeys && len(b.keys.sealed) > 0 && b.keys.sealed[0].to < f.now-f.window() {
		b.keys.dropOldest()
	}
}

// sweepGrants drops the grants of released holders after their retention, and empty
// grants of holders that have closed or been silent for a window.
func (f *Fold) sweepGrants(b *budget) {
	b.grants = slices.DeleteFunc(b.grants, func(g *holderGrant) bool {
		if g.released {
			return f.expired(g.releasedAt)
		}
		return g.outstanding == 0 && (g.holder.closed || f.now-g.holder.lastReport > f.window())
	})
}

func (f *Fold) expired(at int64) bool {
	return f.now-at > f.opts.HolderRetention.Milliseconds()
}

// sweepHolders drops closed and released holders after their retention. A late copy
// of one of their records then finds no grant and bills nothing.
func (f *Fold) sweepHolders() {
	for _, h := range f.holders {
		ended := h.closed || h.released
		endedAt := max(h.closedAt, h.releasedAt)
		if ended && f.expired(endedAt) && h.id != f.owner {
			f.deleteHolder(h)
		}
	}
}

func (f *Fold) deleteHolder(h *holder) {
	delete(f.holders, h.id)
	for _, b := range f.budgets {
		b.grants = slices.DeleteFunc(b.grants, func(g *holderGrant) bool { return g.holder == h })
	}
}
