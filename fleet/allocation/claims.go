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
	// confirms is true if the write has the run's host record.
	confirms bool
}

// acquireRound waits until no other round calls the log. The caller must call release
// at the end of its round.
func (m *Manager) acquireRound(ctx context.Context) (release func(), err error) {
	select {
	case m.roundSem <- struct{}{}:
		return func() { <-m.roundSem }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// round updates the claims from the log and writes new ones where they are due.
func (m *Manager) round(ctx context.Context) error {
	release, err := m.acquireRound(ctx)
	if err != nil {
		return err
	}
	defer release()
	return m.callLog(ctx)
}

func (m *Manager) callLog(ctx context.Context) error {
	if err := m.load(ctx); err != nil {
		return err
	}
	if m.pendingWrite() == nil {
		wanted := m.prepareWrite()
		if !wanted && !m.mustRead() {
			return nil
		}
		if m.stale() {
			m.cancelWrite()
			if err := m.catchUp(ctx, platform.Position{}); err != nil {
				return err
			}
			wanted = m.prepareWrite()
		}
		if !wanted {
			m.markReachable()
			return nil
		}
	}
	end, err := m.sendWrite(ctx)
	if err != nil {
		return err
	}
	if err := m.catchUp(ctx, end); err != nil {
		return err
	}
	m.markReachable()
	return nil
}

// load reads the newest claims of all hosts, unless they have been read in this era.
func (m *Manager) load(ctx context.Context) error {
	m.mu.Lock()
	synced := m.synced && m.next.Era >= m.opt.Log.Era()
	m.mu.Unlock()
	if synced {
		return nil
	}
	records, next, err := m.opt.Log.Newest(ctx, m.opt.Stream)
	if err != nil {
		return err
	}
	m.answered()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims.SetEra(next.Era)
	rewound := m.epoch > 0 && next.Era > m.next.Era
	if rewound {
		records = slices.DeleteFunc(records, m.isHostClaim)
	}
	m.applySnapshot(records)
	if rewound {
		m.beginEra()
		m.logEra(next)
	}
	m.next = next
	m.readAt = time.Now()
	if m.epoch == 0 {
		// The previous run of this host has ended. How much of its claims it had
		// not spent is unknown, so all of it counts as spent.
		if m.claims.Crashed(m.opt.Host) {
			m.policy = m.policy.AfterCrash()
			m.log.Info("The run before has crashed; cover is kept small.", "cover", m.policy.OutageCover)
		}
		m.epoch = m.claims.Epoch(m.opt.Host) + 1
		m.missedEras = m.claims.HostRecord(m.opt.Host).NextMissed(next.Era)
		for _, c := range m.claims.HostClaims(m.opt.Host) {
			m.allocation(c.Budget).growth.Record(c.Total, m.readAt)
		}
	}
	m.synced = true
	return nil
}

// applySnapshot applies the newest claims, those of this host last: the spendable part
// of its claims depends on the claims of all others.
func (m *Manager) applySnapshot(records []platform.KeyedRecord) {
	var own []platform.KeyedRecord
	for _, r := range records {
		if strings.HasSuffix(r.Key, "/"+string(m.opt.Host)) {
			own = append(own, r)
			continue
		}
		m.applyClaim(r)
	}
	for _, r := range own {
		m.applyClaim(r)
	}
}

// applyClaim puts a claim into the table. The part of a claim of this run that is
// within the budget becomes free; the rest is given back. The caller holds mu.
func (m *Manager) applyClaim(r platform.KeyedRecord) {
	if r.Value == nil {
		return
	}
	c, host, err := escrow.Decode(r.Key, r.Value)
	switch {
	case err != nil:
		m.log.Error(err, "Claim could not be read; no more of its budget is claimed.", "key", r.Key, "offset", r.Offset)
		m.claims.PutUnreadable(r.Key)
		return
	case host != nil:
		m.claims.PutHost(*host)
		return
	}
	before := m.claims.HostClaim(c.Budget, c.Host).Total
	if c.Host == m.opt.Host && m.epoch > 0 && c.Epoch > m.epoch {
		// A late write of an earlier run, which began in an era that is lost. It knew
		// nothing of what this run has claimed.
		c.Total = max(c.Total, before)
	}
	if !m.claims.Put(*c) || c.Host != m.opt.Host || c.Epoch != m.epoch {
		return
	}
	alloc := m.allocation(c.Budget)
	alloc.growth.Record(c.Total, time.Now())
	increase := c.Total - before
	if increase <= 0 {
		return
	}
	spendable := m.claims.Spendable(c.Budget, increase, alloc.prepaid)
	alloc.Add(spendable)
	alloc.pendingReturn += increase - spendable
	m.meters.claimed.Inc(int64(spendable))
	m.log.Info("Claim in force.", "budget", c.Budget, "by", increase, "fits", spendable, "free", alloc.Free,
		"claimed_by_all", m.claims.Claimed(c.Budget), "prepaid", alloc.prepaid, "offset", r.Offset)
	m.serveWaiting(alloc)
}

// serveWaiting makes the reservations of waiting requests in their order, as far as
// the free amount suffices. The caller holds mu.
func (m *Manager) serveWaiting(alloc *allocation) {
	for len(alloc.waiting) > 0 && alloc.Reserve(alloc.waiting[0].amount) {
		alloc.waiting[0].done <- nil
		alloc.waiting = alloc.waiting[1:]
	}
}

// stale reports whether the last read is so old that other hosts may have claimed much
// since.
func (m *Manager) stale() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.readAt) > maxReadAge
}

// catchUp reads the claims up to a position; zero means one read of those available.
func (m *Manager) catchUp(ctx context.Context, until platform.Position) error {
	for {
		m.mu.Lock()
		from := m.next
		m.mu.Unlock()
		records, next, err := m.opt.Log.Follow(ctx, m.opt.Stream, from, 0)
		if errors.Is(err, platform.ErrTrimmed) || errors.Is(err, platform.ErrRewound) {
			m.mu.Lock()
			m.synced = false
			m.mu.Unlock()
			return m.load(ctx)
		}
		if err != nil {
			return err
		}
		m.answered()
		m.mu.Lock()
		for _, r := range records {
			m.applyClaim(r)
		}
		m.next = next
		m.readAt = time.Now()
		m.mu.Unlock()
		if !until.After(next) {
			return nil
		}
	}
}

// putClosing writes the closing record: this run has given back all of its allocations.
func (m *Manager) putClosing(ctx context.Context) error {
	release, err := m.acquireRound(ctx)
	if err != nil {
		return err
	}
	defer release()
	if m.pendingWrite() != nil { // a request has ended since allReturned
		if _, err := m.sendWrite(ctx); err != nil {
			return err
		}
	}
	m.mu.Lock()
	closing := m.hostRecord(m.seq + 1)
	closing.Closed = true
	value, err := closing.Encode()
	if err == nil {
		m.write = &write{seq: m.seq + 1, records: []platform.KeyedRecord{{Key: closing.Key(), Value: value}}}
	}
	m.mu.Unlock()
	if err != nil {
		return fmt.Errorf("wallet: encode the closing record: %w", err)
	}
	_, err = m.sendWrite(ctx)
	return err
}

func (m *Manager) pendingWrite() *write {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.write
}

// prepareWrite composes the next write from the claims and returns that are due, or, in a
// new era, from all claims. It returns false if there are none.
func (m *Manager) prepareWrite() bool {
	// Called without mu: Fleet may take a lock whose holder calls Isolated.
	fleet := m.opt.Fleet()
	hosts := max(1, fleet.Hosts)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mustConfirm() {
		m.prepareConfirmation()
		return m.write != nil
	}
	policy := m.policy.ForFleet(len(m.allocations), hosts)
	if !fleet.Serves {
		policy = policy.OnDemand()
	}
	next := &write{seq: m.seq + 1, returns: make(map[record.BudgetID]record.Tokens)}
	for id, alloc := range m.allocations {
		m.returnExcess(alloc, policy, hosts)
		change := -alloc.pendingReturn
		if alloc.pendingReturn == 0 && !m.closing {
			change = m.claimAmount(id, alloc, policy, fleet)
		}
		if change == 0 {
			continue
		}
		c := m.claims.HostClaim(id, m.opt.Host)
		c.Epoch, c.Seq = m.epoch, next.seq
		c.Total += change
		value, err := c.Encode()
		if err != nil {
			m.log.Error(err, "Claim could not be encoded.", "budget", id)
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
	m.addHostRecord(next)
	slices.SortFunc(next.records, func(a, b platform.KeyedRecord) int { return strings.Compare(a.Key, b.Key) })
	m.write = next
	return true
}

// claimAmount returns the amount to claim of a budget. While the list of hosts is not
// complete, only requests that wait are claimed for. The caller holds mu.
func (m *Manager) claimAmount(id record.BudgetID, alloc *allocation, policy escrow.Policy, fleet Fleet) record.Tokens {
	claimable := m.claimable(id, alloc)
	if !fleet.Settled && !alloc.Initialized() {
		return max(0, min(alloc.need()-alloc.Free, claimable))
	}
	amount := alloc.ClaimAmount(policy, alloc.prepaid, m.unclaimed(id, alloc), alloc.need(), max(1, fleet.Hosts))
	return min(amount, claimable)
}

// returnExcess gives back the free amount that the spending rate doesn't justify, unless
// requests wait or are in flight. The caller holds mu.
func (m *Manager) returnExcess(alloc *allocation, policy escrow.Policy, hosts int) {
	if len(alloc.waiting) > 0 || alloc.Reserved > 0 {
		return
	}
	excess := alloc.Excess(policy, alloc.prepaid, hosts)
	alloc.Remove(excess)
	alloc.pendingReturn += excess
}

// need returns the sum of the amounts of the waiting requests.
func (a *allocation) need() record.Tokens {
	sum := record.Tokens(0)
	for _, each := range a.waiting {
		sum = sum.Plus(each.amount)
	}
	return sum
}

// mustRead reports whether the log must be read although nothing is to be written:
// requests wait that the budget can't cover, or the log was unreachable and may be
// reachable again.
func (m *Manager) mustRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.logUnreachable || slices.ContainsFunc(m.all(), func(alloc *allocation) bool { return len(alloc.waiting) > 0 })
}

// cancelWrite drops the pending write, which was not sent or had no effect. Its
// returns become pending again.
func (m *Manager) cancelWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.write == nil {
		return
	}
	for id, amount := range m.write.returns {
		m.allocation(id).pendingReturn += amount
	}
	m.write = nil
}

// sendWrite sends the pending write and returns the offset after it. On an error that
// leaves its effect unknown, the write stays pending and is sent again.
func (m *Manager) sendWrite(ctx context.Context) (platform.Position, error) {
	m.mu.Lock()
	pending, epoch := m.write, m.epoch
	m.mu.Unlock()
	m.meters.writes.Inc(1)
	writer := platform.Writer{Name: string(m.opt.Host), Epoch: epoch, Seq: pending.seq}
	end, err := m.opt.Log.Put(ctx, m.opt.Stream, writer, pending.records)
	var sequence *platform.SequenceError
	switch {
	case err == nil:
	case errors.As(err, &sequence) && sequence.Expected > pending.seq:
		// An earlier attempt was written, but its answer was lost.
	case errors.As(err, &sequence):
		m.log.Error(err, "Writes out of sequence.", "seq", pending.seq)
		m.mu.Lock()
		m.seq = sequence.Expected - 1
		m.mu.Unlock()
		m.cancelWrite()
		return end, err
	case errors.Is(err, platform.ErrFenced):
		return end, m.handleFenced(ctx, err)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled):
		m.cancelWrite()
		return end, err
	default:
		return end, err // effect unknown: the write is sent again
	}
	m.answered()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq = pending.seq
	m.write = nil
	m.confirmed = m.confirmed || pending.confirms
	return end, nil
}

// handleFenced starts the next epoch. It first reads the claims, which show whether the
// pending write took effect: after the fencing it no longer can.
func (m *Manager) handleFenced(ctx context.Context, cause error) error {
	m.log.Error(cause, "Epoch is fenced.", "epoch", m.epoch)
	if err := m.catchUp(ctx, platform.Position{}); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// If the write did not take effect, the amounts it gave back count as spent.
	m.write = nil
	m.epoch = max(m.epoch, m.claims.Epoch(m.opt.Host)) + 1
	m.seq = 0
	return cause
}

func (m *Manager) markReachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.logUnreachable {
		m.log.Info("Log regained.")
		for _, alloc := range m.allocations {
			alloc.LowerCover()
		}
	}
	m.logUnreachable = false
	for id, alloc := range m.allocations {
		m.serveWaiting(alloc)
		if len(alloc.waiting) == 0 {
			continue
		}
		missing := alloc.waiting[0].amount - alloc.Free
		if m.closing || m.claimable(id, alloc) < missing {
			// Tokens that no host has claimed may be claimable later.
			m.refuseWaiting(id, alloc, alloc.prepaid-m.claims.Claimed(id) >= missing)
		}
	}
	if slices.ContainsFunc(m.all(), func(alloc *allocation) bool { return len(alloc.waiting) > 0 || alloc.pendingReturn != 0 }) {
		m.wakeRun()
	}
}

func (m *Manager) all() []*allocation {
	out := make([]*allocation, 0, len(m.allocations))
	for _, alloc := range m.allocations {
		out = append(out, alloc)
	}
	return out
}
