package shard

import (
	"context"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
)

const (
	// maxShortageHolders is the maximum number of holders listed in a Shortage.
	maxShortageHolders = 16
	// maxRecallHolders is the maximum number of holders that one recall asks.
	maxRecallHolders = 64
	// minRecallInterval is the minimum time between the end of a recall of a budget and
	// the start of the next.
	minRecallInterval = 20 * time.Millisecond
	// scarceAfterRecall is the time after a recall of a budget in which only grants for
	// waiting requests are made.
	scarceAfterRecall = 2 * time.Second
)

// Holding is the amount of a budget granted to one holder, in tokens.
type Holding struct {
	Holder record.Holder
	Amount record.Tokens
}

// Shortage is the state of a budget when a grant got less than it needs. Amounts are in
// tokens.
type Shortage struct {
	Budget    record.BudgetID
	Available record.Tokens
	// Held is the sum granted to other holders and not given back after a recall.
	Held record.Tokens
	// Holders are the other holders with the largest amounts, largest first.
	Holders []Holding
}

// grantLimit divides the available amounts of budgets among their holders. A grant gets
// at most the available amount divided by the number of active holders plus one, but
// never less than its need.
type grantLimit struct {
	fold    *shardfold.Fold
	budgets map[record.BudgetID]*budgetShare
}

type budgetShare struct {
	available record.Tokens
	holders   map[record.Holder]struct{}
}

func newGrantLimit(fold *shardfold.Fold) *grantLimit {
	return &grantLimit{fold: fold, budgets: make(map[record.BudgetID]*budgetShare)}
}

// limit returns the amount to put into the batch for a grant, and deducts it from what
// later grants of the batch can get.
func (g *grantLimit) limit(op *record.Op) record.Tokens {
	s := g.share(op.Budget)
	if op.Holder != nil {
		s.holders[*op.Holder] = struct{}{}
	}
	part := s.available / record.Tokens(len(s.holders)+1)
	amount := max(1, op.Need, min(op.Amount, part))
	s.available = max(0, s.available-amount)
	return amount
}

func (g *grantLimit) share(id record.BudgetID) *budgetShare {
	if s, ok := g.budgets[id]; ok {
		return s
	}
	s := &budgetShare{holders: make(map[record.Holder]struct{})}
	g.budgets[id] = s
	if state, ok := g.fold.Ledger().Budget(id); ok {
		s.available = state.Available
	}
	for _, h := range g.fold.Ledger().Holders(id) {
		if h.Outstanding > 0 {
			s.holders[h.Holder] = struct{}{}
		}
	}
	return s
}

// shortResult checks a grant against this host's replica while it owns the shard. If the
// budget has less than the grant needs, it returns the result that the fold would give,
// and true; the grant then need not be appended.
func (r *replica) shortResult(op *record.Op) (ledger.Result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if op.Holder == nil || !r.ownsLocked(time.Now()) || op.Seq <= r.fold.Ledger().GrantSeq(*op.Holder) {
		return ledger.Result{}, false
	}
	state, known := r.fold.Ledger().Budget(op.Budget)
	ahead := op.Need == 0 && r.scarce(op.Budget)
	if known && !ahead && state.Available >= max(1, op.Need) {
		return ledger.Result{}, false
	}
	res := ledger.Result{
		Kind: op.Kind, Seq: op.Seq, Budget: op.Budget, Holder: op.Holder,
		Available: state.Available, Reason: ledger.ReasonExhausted,
		ReportSeq: r.fold.Ledger().ReportSeq(*op.Holder),
	}
	if !known {
		res.Reason = ledger.ReasonUnknownBudget
	}
	return res, true
}

// scarce reports whether a recall of the budget's grants is running or has just ended.
// The returned tokens are kept for waiting requests.
func (r *replica) scarce(id record.BudgetID) bool {
	round, ok := r.recalls[id]
	return ok && (round.end.IsZero() || time.Since(round.end) < scarceAfterRecall)
}

// shortage returns the available amount of a grant's budget and the amounts of the other
// holders.
func (r *replica) shortage(op *record.Op) Shortage {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, _ := r.fold.Ledger().Budget(op.Budget)
	s := Shortage{Budget: op.Budget, Available: state.Available}
	for _, h := range r.fold.Ledger().Holders(op.Budget) {
		if h.Outstanding == 0 || (op.Holder != nil && h.Holder == *op.Holder) {
			continue
		}
		s.Held += h.Outstanding
		if len(s.Holders) < maxShortageHolders {
			s.Holders = append(s.Holders, Holding{Holder: h.Holder, Amount: h.Outstanding})
		}
	}
	return s
}

// recall is one round of asking the holders of a budget to give back unused grants.
type recall struct {
	done  chan struct{}
	start time.Time
	end   time.Time // zero while it runs
}

// recallGrants asks the other holders of a budget to give back unused grants. It returns
// when the budget can cover op, or after a round that started after the call. Calls for
// the same budget share rounds.
func (r *replica) recallGrants(ctx context.Context, op *record.Op) {
	arrived := time.Now()
	for ctx.Err() == nil {
		holders := r.recallable(op)
		if len(holders) == 0 {
			return
		}
		round, wait := r.joinRecall(op, holders)
		if wait > 0 {
			pause(ctx, wait)
			continue
		}
		select {
		case <-round.done:
		case <-ctx.Done():
		}
		if _, short := r.shortResult(op); !short || !round.start.Before(arrived) {
			return
		}
	}
}

// joinRecall returns the running round of a budget, or starts one. If the last round has
// just ended, it returns the time to wait before the next.
func (r *replica) joinRecall(op *record.Op, holders []record.Holder) (*recall, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	round, ok := r.recalls[op.Budget]
	if ok && round.end.IsZero() {
		return round, 0
	}
	if ok && now.Sub(round.end) < minRecallInterval {
		return nil, minRecallInterval - now.Sub(round.end)
	}
	round = &recall{done: make(chan struct{}), start: now}
	r.recalls[op.Budget] = round
	r.svc.goTracked(func() { r.runRecall(round, op, holders) })
	return round, 0
}

// runRecall asks all holders at once. It ends early when enough has been given back, and
// does not wait for holders whose last recall timed out, unless all did.
func (r *replica) runRecall(round *recall, op *record.Op, holders []record.Holder) {
	r.queue.setEager(true)
	defer r.queue.setEager(false)
	done := make(chan record.Tokens, len(holders))
	waitFor := 0
	for _, h := range holders {
		if !r.svc.isSlow(h.Host) {
			waitFor++
		}
		r.svc.goTracked(func() { done <- r.svc.recallHolder(h, r.id, op.Budget) })
	}
	if waitFor == 0 {
		waitFor = len(holders)
	}
	var sum record.Tokens
	for range waitFor {
		sum += <-done
		if _, short := r.shortResult(op); !short {
			break
		}
	}
	r.svc.opts.Logger.Info("grants recalled", "shard", r.id, "budget", op.Budget, "holders", len(holders), "returned", sum)
	r.mu.Lock()
	round.end = time.Now()
	r.mu.Unlock()
	close(round.done)
}

// recallable returns the holders to ask, which may include this host but not the holder
// that requested the grant.
func (r *replica) recallable(op *record.Op) []record.Holder {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []record.Holder
	for _, h := range r.fold.Ledger().Holders(op.Budget) {
		if h.Outstanding > 0 && !h.Closed && !h.Released && len(list) < maxRecallHolders && h.Holder != *op.Holder {
			list = append(list, h.Holder)
		}
	}
	return list
}
