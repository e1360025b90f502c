package allocation

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

// write is a write to the log whose effect is not known yet. It is repeated with the
// same sequence number until its effect is known.
type write struct {
	seq     uint64
	records []platform.KeyedRecord
	// returns has the amount that the write gives back, by budget.
	returns map[record.BudgetID]record.Tokens
}

// acquireRound waits until no other round calls the log. The caller must call release
// at the end of its round.
func (w *Manager) acquireRound(ctx context.Context) (release func(), err error) {
	select {
	case w.roundSem <- struct{}{}:
		return func() { <-w.roundSem }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// round updates the claims from the log and writes new ones where they are due.
func (w *Manager) round(ctx context.Context) error {
	release, err := w.acquireRound(ctx)
	if err != nil {
		return err
	}
	defer release()
	return w.callLog(ctx)
}

func (w *Manager) callLog(ctx context.Context) error {
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

// load reads the newest claims of all hosts, unless they have been read.
func (w *Manager) load(ctx context.Context) error {
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
		// The previous run of this host has ended. How much of its claims it had
		// not spent is unknown, so all of it counts as spent.
		if w.claims.Crashed(w.opt.Host) {
			w.policy = w.policy.AfterCrash()
			w.log.Info("The run before has crashed; cover is kept small.", "cover", w.policy.OutageCover)
		}
		w.epoch = w.claims.Epoch(w.opt.Host) + 1
	}
	w.synced = true
	return nil
}

// applySnapshot applies the newest claims, those of this host last: the spendable part
// of its claims depends on the claims of all others.
func (w *Manager) applySnapshot(records []platform.KeyedRecord) {
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

// applyClaim puts a claim into the table. The part of a claim of this run that is
// within the budget becomes free; the rest is given back. The caller holds mu.
func (w *Manager) applyClaim(r platform.KeyedRecord) {
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

// serveWaiting makes the reservations of waiting requests in their order, as far as
// the free amount suffices. The caller holds mu.
func (w *Manager) serveWaiting(alloc *allocation) {
	for len(alloc.waiting) > 0 && alloc.Reserve(alloc.waiting[0].amount) {
		alloc.waiting[0].done <- nil
		alloc.waiting = alloc.waiting[1:]
	}
}

// stale reports whether the last read is so old that other hosts may have claimed much
// since.
func (w *Manager) stale() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.readAt) > maxReadAge
}

// catchUp reads the claims up to an offset; zero means one read of those available.
func (w *Manager) catchUp(ctx context.Context, until record.Offset) error {
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

// putClosing writes the closing claim: this run has given back all of its allocations.
func (w *Manager) putClosing(ctx context.Context) error {
	release, err := w.acquireRound(ctx)
	if err != nil {
		return err
	}
	defer release()
	if w.pendingWrite() != nil { // a request has ended since allReturned
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

func (w *Manager) pendingWrite() *write {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.write
}

// prepareWrite composes the next write from the claims and returns that are due. It
// returns false if there are none.
func (w *Manager) prepareWrite() bool {
	// Called without mu: Hosts may take a lock whose holder calls Isolated.
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

// returnExcess gives back the free amount that the spending rate doesn't justify, unless
// requests wait or are in flight. The caller holds mu.
func (w *Manager) returnExcess(alloc *allocation, hosts int) {
	if len(alloc.waiting) > 0 || alloc.Reserved > 0 {
		return
	}
	excess := alloc.Excess(w.policy, alloc.prepaid, hosts)
	alloc.Remove(excess)
	alloc.pendingReturn += excess
}

// need returns the sum of the amounts of the waiting requests.
func (a *allocation) need() record.Tokens {
	sum := record.Tokens(0)
	for _, each := range a.waiting {
		sum += each.amount
	}
	return sum
}

// mustRead reports whether the log must be read although nothing is to be written:
// requests wait that the budget can't cover, or the log was unreachable and may be
// reachable again.
func (w *Manager) mustRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logUnreachable || slices.ContainsFunc(w.all(), func(alloc *allocation) bool { return len(alloc.waiting) > 0 })
}

// cancelWrite drops the pending write, which was not sent or had no effect. Its
// returns become pending again.
func (w *Manager) cancelWrite() {
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

// sendWrite sends the pending write and returns the offset after it. On an error that
// leaves its effect unknown, the write stays pending and is sent again.
func (w *Manager) sendWrite(ctx context.Context) (record.Offset, error) {
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
		// An earlier attempt was written, but its answer was lost.
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
		return 0, err // effect unknown: the write is sent again
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq = pending.seq
	w.write = nil
	return end, nil
}

// handleFenced starts the next epoch. It first reads the claims, which show whether the
// pending write took effect: after the fencing it no longer can.
func (w *Manager) handleFenced(ctx context.Context, cause error) error {
	w.log.Error(cause, "Epoch is fenced.", "epoch", w.epoch)
	if err := w.catchUp(ctx, 0); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// If the write did not take effect, the amounts it gave back count as spent.
	w.write = nil
	w.epoch++
	w.seq = 0
	return cause
}

func (w *Manager) markReachable() {
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

func (w *Manager) all() []*allocation {
	out := make([]*allocation, 0, len(w.allocations))
	for _, alloc := range w.allocations {
		out = append(out, alloc)
	}
	return out
}
