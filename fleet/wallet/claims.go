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

// begin waits until no other round calls the log. It returns what ends this one's turn.
func (w *Wallet) begin(ctx context.Context) (end func(), err error) {
	select {
	case w.calling <- struct{}{}:
		return func() { <-w.calling }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// round brings the claims up to date and writes what the purses want.
func (w *Wallet) round(ctx context.Context) error {
	end, err := w.begin(ctx)
	if err != nil {
		return err
	}
	defer end()
	return w.callLog(ctx)
}

func (w *Wallet) callLog(ctx context.Context) error {
	if err := w.load(ctx); err != nil {
		return err
	}
	if w.pendingWrite() == nil {
		wanted := w.prepare()
		if !wanted && !w.owesAnswer() {
			return nil
		}
		if w.stale() {
			w.cancel()
			if err := w.catchUp(ctx, 0); err != nil {
				return err
			}
			wanted = w.prepare()
		}
		if !wanted {
			w.worked()
			return nil
		}
	}
	end, err := w.put(ctx)
	if err != nil {
		return err
	}
	if err := w.catchUp(ctx, end); err != nil {
		return err
	}
	w.worked()
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
	w.snapshot(records)
	w.next = next
	w.readAt = time.Now()
	if w.epoch == 0 {
		// A new run of the host proves that the one before has ended. What that
		// had claimed and not spent can't be known, so it counts as spent.
		if w.book.Crashed(w.opt.Host) {
			w.policy = w.policy.AfterCrash()
			w.log.Info("The run before has crashed; cover is kept small.", "cover", w.policy.OutageCover)
		}
		w.epoch = w.book.Epoch(w.opt.Host) + 1
	}
	w.synced = true
	return nil
}

// snapshot takes in the newest claims, those of this host last: what fits depends
// on all others.
func (w *Wallet) snapshot(records []platform.KeyedRecord) {
	var own []platform.KeyedRecord
	for _, r := range records {
		if strings.HasSuffix(r.Key, "/"+string(w.opt.Host)) {
			own = append(own, r)
			continue
		}
		w.take(r)
	}
	for _, r := range own {
		w.take(r)
	}
}

// take puts a claim into the book. A claim of this run is spent from then on, as
// far as it fits. The caller holds mu.
func (w *Wallet) take(r platform.KeyedRecord) {
	if r.Value == nil {
		return
	}
	c, err := escrow.Decode(r.Key, r.Value)
	if err != nil {
		w.log.Error(err, "Claim could not be read.", "key", r.Key, "offset", r.Offset)
		return
	}
	before := w.book.HostClaim(c.Budget, c.Host).Total
	w.book.Put(c)
	if c.Host != w.opt.Host || c.Epoch != w.epoch {
		return
	}
	by := c.Total - before
	if by <= 0 {
		return
	}
	p := w.purse(c.Budget)
	fits := w.book.Spendable(c.Budget, by, p.prepaid)
	p.Add(fits)
	p.giveBack += by - fits
	w.meters.claimed.Inc(int64(fits))
	w.log.Info("Claim in force.", "budget", c.Budget, "by", by, "fits", fits, "free", p.Free,
		"claimed_by_all", w.book.Claimed(c.Budget), "prepaid", p.prepaid, "offset", r.Offset)
	w.serveWaiting(p)
}

// serveWaiting gives waiting requests what they wait for, in their order. The
// caller holds mu.
func (w *Wallet) serveWaiting(p *purse) {
	for len(p.waiting) > 0 && p.Reserve(p.waiting[0].amount) {
		p.waiting[0].done <- nil
		p.waiting = p.waiting[1:]
	}
}

// stale tells whether other hosts may have claimed much since the last read.
func (w *Wallet) stale() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.readAt) > freshFor
}

// catchUp reads the claims up to an offset, or all that are there.
func (w *Wallet) catchUp(ctx context.Context, until record.Offset) error {
	for {
		w.mu.Lock()
		from := w.next
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
			w.take(r)
		}
		w.next = next
		w.readAt = time.Now()
		w.mu.Unlock()
		if next >= until {
			return nil
		}
	}
}

// putClosing writes that this run has given back all that it held.
func (w *Wallet) putClosing(ctx context.Context) error {
	end, err := w.begin(ctx)
	if err != nil {
		return err
	}
	defer end()
	if w.pendingWrite() != nil { // a request has ended meanwhile
		if _, err := w.put(ctx); err != nil {
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
	_, err = w.put(ctx)
	return err
}

func (w *Wallet) pendingWrite() *write {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.write
}

// prepare makes the next write from what the purses want. It returns false if
// they want nothing.
func (w *Wallet) prepare() bool {
	// Not under the lock: who counts the hosts may hold one and ask the wallet.
	hosts := max(1, w.opt.Hosts())
	w.mu.Lock()
	defer w.mu.Unlock()
	policy := w.policy.ForFleet(len(w.purses), hosts)
	next := &write{seq: w.seq + 1, returns: make(map[record.BudgetID]record.Tokens)}
	for id, p := range w.purses {
		w.giveExcessBack(p, hosts)
		by := -p.giveBack
		if p.giveBack == 0 && !w.closing {
			by = p.ClaimAmount(policy, p.prepaid, w.left(id, p), p.need(), hosts)
		}
		if by == 0 {
			continue
		}
		c := w.book.HostClaim(id, w.opt.Host)
		c.Epoch = w.epoch
		c.Total += by
		value, err := c.Encode()
		if err != nil {
			w.log.Error(err, "Claim could not be encoded.", "budget", id)
			continue
		}
		next.records = append(next.records, platform.KeyedRecord{Key: c.Key(), Value: value})
		if p.giveBack != 0 {
			next.returns[id] = p.giveBack
			p.giveBack = 0
		}
	}
	if len(next.records) == 0 {
		return false
	}
	slices.SortFunc(next.records, func(a, b platform.KeyedRecord) int { return strings.Compare(a.Key, b.Key) })
	w.write = next
	return true
}

// giveExcessBack returns what a purse holds beyond what its spending justifies.
// The caller holds mu.
func (w *Wallet) giveExcessBack(p *purse, hosts int) {
	if len(p.waiting) > 0 || p.Reserved > 0 {
		return
	}
	excess := p.Excess(w.policy, p.prepaid, hosts)
	p.Remove(excess)
	p.giveBack += excess
}

// need returns what the requests that wait for the purse need in all.
func (p *purse) need() record.Tokens {
	sum := record.Tokens(0)
	for _, each := range p.waiting {
		sum += each.amount
	}
	return sum
}

// owesAnswer tells whether the log has to be looked at although no purse wants
// more: requests wait that it can't cover, or the end of an outage is not known.
func (w *Wallet) owesAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost || slices.ContainsFunc(w.all(), func(p *purse) bool { return len(p.waiting) > 0 })
}

// cancel drops a write that was not sent, or that had no effect.
func (w *Wallet) cancel() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.write == nil {
		return
	}
	for id, amount := range w.write.returns {
		w.purse(id).giveBack += amount
	}
	w.write = nil
}

// put sends the pending write. It returns the offset after it once it is known to
// be in the log.
func (w *Wallet) put(ctx context.Context) (record.Offset, error) {
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
		w.cancel()
		return 0, err
	case errors.Is(err, platform.ErrFenced):
		return 0, w.fenced(ctx, err)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled):
		w.cancel()
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

// fenced takes the next epoch, after a read that shows whether the pending write
// was done: it can't be done any more.
func (w *Wallet) fenced(ctx context.Context, cause error) error {
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

func (w *Wallet) worked() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		w.log.Info("Log regained.")
		for _, p := range w.purses {
			p.LowerCover()
		}
	}
	w.lost = false
	for id, p := range w.purses {
		w.serveWaiting(p)
		if len(p.waiting) > 0 && (w.closing || w.left(id, p) < p.waiting[0].amount-p.Free) {
			w.refuseWaiting(id, p, false)
		}
	}
	if slices.ContainsFunc(w.all(), func(p *purse) bool { return len(p.waiting) > 0 || p.giveBack != 0 }) {
		w.nudge()
	}
}

func (w *Wallet) all() []*purse {
	out := make([]*purse, 0, len(w.purses))
	for _, p := range w.purses {
		out = append(out, p)
	}
	return out
}
