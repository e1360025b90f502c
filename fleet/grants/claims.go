package grants

import (
	"context"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

// Claim implements [Claimer]. Each call has its own attempt number, so that of two
// calls for one request on this host only one can win.
func (m *Manager) Claim(ctx context.Context, budget record.BudgetID, key record.RequestKey) (Claim, error) {
	c, err := m.clientForClaim(budget)
	if err != nil {
		return Claim{}, err
	}
	holder := m.opts.Self
	op := record.Op{
		Kind: record.KindClaim, Budget: budget, Holder: &holder,
		Key: key, Attempt: m.attempts.Add(1),
	}
	res, err := c.claim(ctx, &op)
	if err != nil {
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			c.resolveAbandonedClaim(op)
		}()
		return Claim{}, err
	}
	m.opts.Logger.Info("claim", "budget", budget, "key", key, "won", res.Won, "outcome", res.Outcome.String())
	return m.claimResult(key, op.Attempt, res), nil
}

func (m *Manager) clientForClaim(budget record.BudgetID) (*shardClient, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	a, err := m.allocation(budget)
	if err != nil {
		return nil, err
	}
	return a.client, nil
}

func (m *Manager) claimResult(key record.RequestKey, attempt uint32, res *ledger.Result) Claim {
	c := Claim{Won: res.Won, Outcome: res.Outcome, Detail: res.Detail}
	if res.Winner != nil {
		c.Winner = *res.Winner
	}
	if res.Won {
		m.mu.Lock()
		m.claims[key] = attempt
		m.mu.Unlock()
	}
	return c
}

// claim submits a claim and retries until its result has been read back or ctx
// ends. Retries are safe: the fold counts the same attempt once.
func (c *shardClient) claim(ctx context.Context, op *record.Op) (*ledger.Result, error) {
	for failures := 1; ; failures++ {
		reply, err := c.manager.opts.Submitter.Request(ctx, c.id, []record.Op{*op})
		if err == nil {
			return &reply.Results[0], nil
		}
		if !sleepFor(ctx, c.manager.jitter(retryWait(failures))) {
			return nil, err
		}
	}
}

// resolveAbandonedClaim finds out the result of a claim whose caller stopped
// waiting. If the claim was won, it records that the request did not run, so that
// another host may claim it.
func (c *shardClient) resolveAbandonedClaim(op record.Op) {
	ctx, cancel := context.WithTimeout(c.manager.ctx, abandonedClaimTimeout)
	defer cancel()
	res, err := c.claim(ctx, &op)
	if err == nil && res.Won {
		c.queueOutcome(record.Op{
			Kind: record.KindOutcome, Budget: op.Budget, Holder: op.Holder,
			Key: op.Key, Attempt: op.Attempt, Outcome: record.OutcomeNotRun,
		})
	}
}

// abandonedClaimTimeout is the deadline for finding out the result of an abandoned
// claim.
const abandonedClaimTimeout = 10 * time.Minute

// Finish implements [Claimer].
func (m *Manager) Finish(budget record.BudgetID, key record.RequestKey, outcome record.Outcome, detail []byte) {
	m.mu.Lock()
	attempt, ok := m.claims[key]
	delete(m.claims, key)
	a, err := m.allocation(budget)
	m.mu.Unlock()
	if !ok || err != nil {
		m.opts.Logger.Info("outcome without a claim", "budget", budget, "key", key)
		return
	}
	holder := m.opts.Self
	a.client.queueOutcome(record.Op{
		Kind: record.KindOutcome, Budget: budget, Holder: &holder,
		Key: key, Attempt: attempt, Outcome: outcome, Detail: detail,
	})
}

func (c *shardClient) queueOutcome(op record.Op) {
	c.manager.mu.Lock()
	c.outcomes = append(c.outcomes, op)
	c.manager.mu.Unlock()
	notify(c.reportSignal)
}
