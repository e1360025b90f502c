package bank

import (
	"context"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

// Claim implements [Claimer]. Each call is an attempt of its own, so that of
// two calls for one request on this host only one can win.
func (b *Manager) Claim(ctx context.Context, budget record.BudgetID, key record.RequestKey) (Claim, error) {
	a, err := b.claimAccount(budget)
	if err != nil {
		return Claim{}, err
	}
	holder := b.opts.Self
	op := record.Op{
		Kind: record.KindClaim, Budget: budget, Holder: &holder,
		Key: key, Attempt: b.attempts.Add(1),
	}
	res, err := a.claim(ctx, &op)
	if err != nil {
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			a.abandon(op)
		}()
		return Claim{}, err
	}
	b.opts.Logger.Info("claim", "budget", budget, "key", key, "won", res.Won, "outcome", res.Outcome.String())
	return b.claimed(key, op.Attempt, res), nil
}

func (b *Manager) claimAccount(budget record.BudgetID) (*account, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	h, err := b.holding(budget)
	if err != nil {
		return nil, err
	}
	return h.account, nil
}

func (b *Manager) claimed(key record.RequestKey, attempt uint32, res *ledger.Result) Claim {
	c := Claim{Won: res.Won, Outcome: res.Outcome, Detail: res.Detail}
	if res.Winner != nil {
		c.Winner = *res.Winner
	}
	if res.Won {
		b.mu.Lock()
		b.claims[key] = attempt
		b.mu.Unlock()
	}
	return c
}

// claim submits a claim until its result has been read back or ctx ends. The
// same attempt may be sent again: the fold counts it once.
func (a *account) claim(ctx context.Context, op *record.Op) (*ledger.Result, error) {
	for failures := 1; ; failures++ {
		reply, err := a.bank.opts.Submitter.Request(ctx, a.id, []record.Op{*op})
		if err == nil {
			return &reply.Results[0], nil
		}
		if !sleepFor(ctx, a.bank.jitter(retryWait(failures))) {
			return nil, err
		}
	}
}

// abandon finds out what became of a claim that nobody waits for any more. If
// it was won, it records that the request did not run, so that another host may
// claim it.
func (a *account) abandon(op record.Op) {
	ctx, cancel := context.WithTimeout(a.bank.ctx, abandonTime)
	defer cancel()
	res, err := a.claim(ctx, &op)
	if err == nil && res.Won {
		a.queueOutcome(record.Op{
			Kind: record.KindOutcome, Budget: op.Budget, Holder: op.Holder,
			Key: op.Key, Attempt: op.Attempt, Outcome: record.OutcomeNotRun,
		})
	}
}

// abandonTime bounds the search for the fate of an abandoned claim.
const abandonTime = 10 * time.Minute

// Finish implements [Claimer].
func (b *Manager) Finish(budget record.BudgetID, key record.RequestKey, outcome record.Outcome, detail []byte) {
	b.mu.Lock()
	attempt, ok := b.claims[key]
	delete(b.claims, key)
	h, err := b.holding(budget)
	b.mu.Unlock()
	if !ok || err != nil {
		b.opts.Logger.Info("outcome without a claim", "budget", budget, "key", key)
		return
	}
	holder := b.opts.Self
	h.account.queueOutcome(record.Op{
		Kind: record.KindOutcome, Budget: budget, Holder: &holder,
		Key: key, Attempt: attempt, Outcome: outcome, Detail: detail,
	})
}

func (a *account) queueOutcome(op record.Op) {
	a.bank.mu.Lock()
	a.outcomes = append(a.outcomes, op)
	a.bank.mu.Unlock()
	notify(a.reportSignal)
}
