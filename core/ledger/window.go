package ledger

import "slices"

// The window rules. A billed key may be forgotten once no holder can report a
// second run of its request:
//
//   - A holder with a grant may still report what it ran up to half a window
//     before its last report, however long it has been silent. Its keys are
//     kept from a whole window before that report on.
//   - A holder that reports after a long silence may need several reports to
//     catch up. Its old position counts until it has reported without another
//     long silence for one more window.
//   - A holder that was released counts for one window after the release.
//   - Past Options.MaxKeys, keys older than the window are dropped all the same.
//
// A holder that falls behind what was dropped is not billed: its settlements
// are recorded as unbilled, since a double bill can no longer be ruled out.

func (f *Fold) window() int64 { return f.opts.Window.Milliseconds() }

// span is the log time that one key segment covers, in milliseconds.
func (f *Fold) span() int64 { return max(1, f.window()/spansPerWindow) }

// noteReport moves the holder's position to the current log time.
func (f *Fold) noteReport(h *holder) {
	silent := h.lastReport > 0 && f.now-h.lastReport > f.window()/4
	switch {
	case silent && h.heldPin == 0:
		h.heldPin = h.lastReport
		h.heldUntil = f.now + f.window()
	case silent:
		h.heldUntil = f.now + f.window()
	case f.now > h.heldUntil:
		h.heldPin = 0
	}
	h.lastReport = f.now
}

// position is the log time up to which the holder of l has reported its runs.
func (f *Fold) position(l *line) int64 {
	reported := l.holder.lastReport
	if l.holder.heldPin > 0 {
		reported = l.holder.heldPin
	}
	return max(reported, l.since)
}

// pins reports whether l's holder may still report runs that can be billed.
func (f *Fold) pins(l *line) bool {
	if l.released {
		return f.now <= l.releasedAt+f.window()
	}
	return l.outstanding > 0
}

// unverifiable reports whether keys were dropped that the holder of l may
// report again.
func (f *Fold) unverifiable(b *budget, l *line) bool {
	return b.keys.forgotten > 0 && b.keys.forgotten > f.position(l)-f.window()/2
}

// sweep drops old keys and holders once for each key segment's time span.
func (f *Fold) sweep() {
	if f.now-f.swept < f.span() {
		return
	}
	f.swept = f.now
	for _, b := range f.budgets {
		f.sweepKeys(b)
		f.sweepLines(b)
	}
	f.sweepHolders()
}

func (f *Fold) sweepKeys(b *budget) {
	if len(b.keys.active) > 0 && f.now-b.keys.activeFrom >= f.span() {
		b.keys.seal(f.now)
	}
	oldest := f.now
	for _, l := range b.lines {
		if f.pins(l) {
			oldest = min(oldest, f.position(l))
		}
	}
	b.keys.dropBefore(oldest - f.window())
	for b.keys.count > f.opts.MaxKeys && len(b.keys.sealed) > 0 && b.keys.sealed[0].to < f.now-f.window() {
		b.keys.dropOldest()
	}
}

// sweepLines drops lines that no longer say anything.
func (f *Fold) sweepLines(b *budget) {
	b.lines = slices.DeleteFunc(b.lines, func(l *line) bool {
		if l.released {
			return f.expired(l.releasedAt)
		}
		return l.outstanding == 0 && (l.holder.closed || f.now-l.holder.lastReport > f.window())
	})
}

func (f *Fold) expired(at int64) bool {
	return f.now-at > f.opts.HolderRetention.Milliseconds()
}

// sweepHolders forgets holders that ended long ago. A late copy of one of their
// records then finds no grant and bills nothing.
func (f *Fold) sweepHolders() {
	for _, h := range f.holders {
		ended := h.closed || h.released
		endedAt := max(h.closedAt, h.releasedAt)
		if ended && f.expired(endedAt) && h.id != f.owner {
			f.forget(h)
		}
	}
}

func (f *Fold) forget(h *holder) {
	delete(f.holders, h.id)
	for _, b := range f.budgets {
		b.lines = slices.DeleteFunc(b.lines, func(l *line) bool { return l.holder == h })
	}
}
