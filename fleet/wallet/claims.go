package wallet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// write is a write to the log whose effect is not known yet. It is repeated under
// its number until it is.
type write struct {
	seq     uint64
	records []platform.KeyedRecord
	// returns holds what each budget gets back with it.
	returns map[record.BudgetID]record.Tokens
}

// acquireRound waits until no other round calls the log. It returns what ends this one's turn.
func (w *Wallet) acquireRound(ctx context.Context) (release func(), err error) {
	select {
	case w.roundSem <- struct{}{}:
		return func() { <-w.roundSem }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// round brings the claims up to date and writes what the purses want.
func (w *Wallet) round(ctx context.Context) error {
	release, err := w.acquireRound(ctx)
	if err != nil {
		return err
	}
	defer release()
	return w.callLog(ctx)
}

func (w *Wallet) callLog(ctx context.Context) error {
	if err := w.load(ctx); err != nil {
		return err
	}
	if w.pendingWrite() == nil {
		wanted := w.prepareWrite()
		if !wanted && !w.mustRead() {
			return nil
		}
		if w.stale() {
			w.cancelWrite()
			if err := w.catchUp(ctx, 0); err != nil {
				return err
			}
			wanted = w.prepareWrite()
		}
		if !wanted {
			w.markReachable()
			return nil
		}
	}
	end, err := w.sendWrite(ctx)
	if err != nil {
		return err
	}
	if err := w.catchUp(ctx, end); err != nil {
		return err
	}
	w.markReachable()
	return nil
}

// load reads all claims once.
func (w *Wallet) load(ctx context.Context) error {
	w.mu.Lock()
	synced := w.synced
	w.mu.Unlock()
	if synced {
		return nil
	}
	records, next, err := w.opt.Log.Newest(ctx, w.opt.Stream)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applySnapshot(records)
	w.nextOffset = next
	w.readAt = time.Now()
	if w.epoch == 0 {
		// A new run of the host proves that the one before has ended. What that
		// had claimed and not spent can't be known, so it counts as spent.
		if w.claims.Crashed(w.opt.Host) {
			w.policy = w.policy.AfterCrash()
			w.log.Info("The run before has crashed; cover is kept small.", "cover", w.policy.OutageCover)
		}
		w.epoch = w.claims.Epoch(w.opt.Host) + 1
	}
	w.synced = true
	return nil
}

// applySnapshot takes in the newest claims, those of this host last: what fits depends
// on all others.
func (w *Wallet) applySnapshot(records []platform.KeyedRecord) {
	var own []platform.KeyedRecord
	for _, r := range records {
		if strings.HasSuffix(r.Key, "/"+string(w.opt.Host)) {
			own = append(own, r)
			continue
		}
		w.applyClaim(r)
	}
	for _, r := range own {
		w.applyClaim(r)
	}
}

// applyClaim puts a claim into the book. A claim of this run is spent from then on, as
// far as it fits. The caller holds mu.
func (w *Wallet) applyClaim(r platform.KeyedRecord) {
	if r.Value == nil {
		return
	}
	c, err := escrow.Decode(r.Key, r.Value)
	if err != nil {
		w.log.Error(err, "Claim could not be read.", "key", r.Key, "offset", r.Offset)
		return
	}
	before := w.claims.HostClaim(c.Budget, c.Host).Total
	w.claims.Put(c)
	if c.Host != w.opt.Host || c.Epoch != w.epoch {
		return
	}
	increase := c.Total - before
	if increase <= 0 {
		return
	}
	alloc := w.allocation(c.Budget)
	spendable := w.claims.Spendable(c.Budget, increase, alloc.prepaid)
	alloc.Add(spendable)
	alloc.pendingReturn += increase - spendable
	w.meters.claimed.Inc(int64(spendable))
	w.log.Info("Claim in force.", "budget", c.Budget, "by", increase, "fits", spendable, "free", alloc.Free,
		"claimed_by_all", w.claims.Claimed(c.Budget), "prepaid", alloc.prepaid, "offset", r.Offset)
	w.serveWaiting(alloc)
}

// serveWaiting gives waiting requests what they wait for, in their order. The
// caller holds mu.
func (w *Wallet) serveWaiting(alloc *allocation) {
	for len(alloc.waiting) > 0 && alloc.Reserve(alloc.waiting[0].amount) {
		alloc.waiting[0].done <- nil
		alloc.waiting = alloc.waiting[1:]
	}
}

// stale tells whether other hosts may have claimed much since the last read.
func (w *Wallet) stale() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.readAt) > maxReadAge
}

// catchUp reads the claims up to an offset, or all that are there.
func (w *Wallet) catchUp(ctx context.Context, until record.Offset) error {
	for {
		w.mu.Lock()
		from := w.nextOffset
		w.mu.Unlock()
		records, next, err := w.opt.Log.Follow(ctx, w.opt.Stream, from, 0)
		if errors.Is(err, platform.ErrTrimmed) {
			w.mu.Lock()
			w.synced = false
			w.mu.Unlock()
			return w.load(ctx)
		}
		if err != nil {
			return err
		}
		w.mu.Lock()
		for _, r := range records {
			w.applyClaim(r)
		}
		w.nextOffset = next
		w.readAt = time.Now()
		w.mu.Unlock()
		if next >= until {
			return nil
		}
	}
}

// putClosing writes that this run has given back all that it held.
func (w *Wallet) putClosing(ctx context.Context) error {
	release, err := w.acquireRound(ctx)
	if err != nil {
		return err
	}
	defer release()
	if w.pendingWrite() != nil { // a request has ended meanwhile
		if _, err := w.sendWrite(ctx); err != nil {
			return err
		}
	}
	c := escrow.ClosingClaim(w.opt.Host, w.epoch)
	value, err := c.Encode()
	if err != nil {
		return fmt.Errorf("wallet: encode the closing claim: %w", err)
	}
	w.mu.Lock()
	w.write = &write{seq: w.seq + 1, records: []platform.KeyedRecord{{Key: c.Key(), Value: value}}}
	w.mu.Unlock()
	_, err = w.sendWrite(ctx)
	return err
}

func (w *Wallet) pendingWrite() *write {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.write
}

// prepareWrite makes the next write from what the purses want. It returns false if
// they want nothing.
func (w *Wallet) prepareWrite() bool {
	// Not under the lock: who counts the hosts may hold one and ask the wallet.
	hosts := max(1, w.opt.Hosts())
	w.mu.Lock()
	defer w.mu.Unlock()
	policy := w.policy.ForFleet(len(w.allocations), hosts)
	next := &write{seq: w.seq + 1, returns: make(map[record.BudgetID]record.Tokens)}
	for id, alloc := range w.allocations {
		w.returnExcess(alloc, hosts)
		change := -alloc.pendingReturn
		if alloc.pendingReturn == 0 && !w.closing {
			change = alloc.ClaimAmount(policy, alloc.prepaid, w.unclaimed(id, alloc), alloc.need(), hosts)
		}
		if change == 0 {
			continue
		}
		c := w.claims.HostClaim(id, w.opt.Host)
		c.Epoch = w.epoch
		c.Total += change
		value, err := c.Encode()
		if err != nil {
			w.log.Error(err, "Claim could not be encoded.", "budget", id)
			continue
		}
		next.records = append(next.records, platform.KeyedRecord{Key: c.Key(), Value: value})
		if alloc.pendingReturn != 0 {
			next.returns[id] = alloc.pendingReturn
			alloc.pendingReturn = 0
		}
	}
	if len(next.records) == 0 {
		return false
	}
	slices.SortFunc(next.records, func(a, b platform.KeyedRecord) int { return strings.Compare(a.Key, b.Key) })
	w.write = next
	return true
}

// returnExcess returns what a purse holds beyond what its spending justifies.
// The caller holds mu.
func (w *Wallet) returnExcess(alloc *allocation, hosts int) {
	if len(alloc.waiting) > 0 || alloc.Reserved > 0 {
		return
	}
	excess := alloc.Excess(w.policy, alloc.prepaid, hosts)
	alloc.Remove(excess)
	alloc.pendingReturn += excess
}

// need returns what the requests that wait for the purse need in all.
func (a *allocation) need() record.Tokens {
	sum := record.Tokens(0)
	for _, each := range a.waiting {
		sum += each.amount
	}
	return sum
}

// mustRead tells whether the log has to be looked at although no purse wants
// more: requests wait that it can't cover, or the end of an outage is not known.
func (w *Wallet) mustRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logUnreachable || slices.ContainsFunc(w.all(), func(alloc *allocation) bool { return len(alloc.waiting) > 0 })
}

// cancelWrite drops a write that was not sent, or that had no effect.
func (w *Wallet) cancelWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.write == nil {
		return
	}
	for id, amount := range w.write.returns {
		w.allocation(id).pendingReturn += amount
	}
	w.write = nil
}

// sendWrite sends the pending write. It returns the offset after it once it is known to
// be in the log.
func (w *Wallet) sendWrite(ctx context.Context) (record.Offset, error) {
	w.mu.Lock()
	pending, epoch := w.write, w.epoch
	w.mu.Unlock()
	w.meters.writes.Inc(1)
	writer := platform.Writer{Name: string(w.opt.Host), Epoch: epoch, Seq: pending.seq}
	end, err := w.opt.Log.Put(ctx, w.opt.Stream, writer, pending.records)
	var sequence *platform.SequenceError
	switch {
	case err == nil:
	case errors.As(err, &sequence) && sequence.Expected > pending.seq:
		// It was done, and its answer lost.
	case errors.As(err, &sequence):
		w.log.Error(err, "Writes out of sequence.", "seq", pending.seq)
		w.mu.Lock()
		w.seq = sequence.Expected - 1
		w.mu.Unlock()
		w.cancelWrite()
		return 0, err
	case errors.Is(err, platform.ErrFenced):
		return 0, w.handleFenced(ctx, err)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled):
		w.cancelWrite()
		return 0, err
	default:
		return 0, err // unknown: it is repeated
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq = pending.seq
	w.write = nil
	return end, nil
}

// handleFenced takes the next epoch, after a read that shows whether the pending write
// was done: it can't be done any more.
func (w *Wallet) handleFenced(ctx context.Context, cause error) error {
	w.log.Error(cause, "Epoch is fenced.", "epoch", w.epoch)
	if err := w.catchUp(ctx, 0); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// What the write gave back is lost if it was not done: it counts as spent.
	w.write = nil
	w.epoch++
	w.seq = 0
	return cause
}

func (w *Wallet) markReachable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.logUnreachable {
		w.log.Info("Log regained.")
		for _, alloc := range w.allocations {
			alloc.LowerCover()
		}
	}
	w.logUnreachable = false
	for id, alloc := range w.allocations {
		w.serveWaiting(alloc)
		if len(alloc.waiting) > 0 && (w.closing || w.unclaimed(id, alloc) < alloc.waiting[0].amount-alloc.Free) {
			w.refuseWaiting(id, alloc, false)
		}
	}
	if slices.ContainsFunc(w.all(), func(alloc *allocation) bool { return len(alloc.waiting) > 0 || alloc.pendingReturn != 0 }) {
		w.wakeRun()
	}
}

func (w *Wallet) all() []*allocation {
	out := make([]*allocation, 0, len(w.allocations))
	for _, alloc := range w.allocations {
		out = append(out, alloc)
	}
	return out
}
