// Package grants manages the budget grants of this host. It reserves the upper
// bound of a request's cost before the request runs and settles the actual cost
// afterwards, through the shard owners and the log. Amounts are in budget tokens.
package grants

import (
	"context"
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Reserver reserves budget for requests.
type Reserver interface {
	// Reserve reserves amount from the budget's grant on this host. If the
	// grant is too small, it requests a larger one and waits for it, at most
	// for wait. A refusal is a *RefusedError; nothing stays reserved after an
	// error.
	Reserve(ctx context.Context, budget record.BudgetID, key record.RequestKey, amount record.Tokens, wait time.Duration) (Reservation, error)
}

// Reservation is an amount reserved for one request. Only the first call of
// Settle or Release takes effect; later calls do nothing.
type Reservation interface {
	// Amount returns the amount reserved.
	Amount() record.Tokens
	// Settle bills cost, at most Amount, and frees the rest. The settlement is
	// queued for the log; it is lost only if the host stops before it is written.
	Settle(cost record.Tokens)
	// Billed returns a channel that is closed once the settlement has been read
	// back from the log, so that it survives a crash of this host. It is nil
	// without a settlement, and on a host that reports to so many shards that
	// its reports are delayed.
	Billed() <-chan struct{}
	// Release frees the whole amount: the request did not run.
	Release()
}

// Claimer decides which host may run a request that must run at most once.
type Claimer interface {
	// Claim appends a claim and waits until it is read back. Any error means
	// that this host must not run the request.
	Claim(ctx context.Context, budget record.BudgetID, key record.RequestKey) (Claim, error)
	// Finish records the outcome of a claim that this host won.
	Finish(budget record.BudgetID, key record.RequestKey, outcome record.Outcome, detail []byte)
}

// Claim reports which host may run a request.
type Claim struct {
	// Won is true if this host may run the request, once.
	Won bool
	// Winner is the holder whose claim comes first in the log.
	Winner record.Holder
	// Outcome is the recorded outcome of the winner's run, or pending.
	Outcome record.Outcome
	// Detail is what the winner recorded with the outcome.
	Detail []byte
}

// RefusedError reports that a budget cannot cover a request.
type RefusedError struct {
	Budget record.BudgetID
	Wanted record.Tokens
	// Available is what the budget has left to grant, as last known.
	Available record.Tokens
	// HeldElsewhere is the amount granted to other hosts that could not be recalled.
	HeldElsewhere record.Tokens
	// Holders lists the holders of HeldElsewhere, largest grant first.
	Holders []record.Holder
	// Unreachable is true if neither the shard's owner nor the log answered.
	Unreachable bool
	// Outage is true if the log was unreachable before the request arrived.
	Outage bool
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	if e.Unreachable {
		return fmt.Sprintf("budget %s: no grant for %d tokens and the ledger is out of reach", e.Budget, e.Wanted)
	}
	if e.HeldElsewhere > 0 {
		return fmt.Sprintf("budget %s: %d tokens wanted, %d available, %d held by other hosts", e.Budget, e.Wanted, e.Available, e.HeldElsewhere)
	}
	return fmt.Sprintf("budget %s: %d tokens wanted, %d available", e.Budget, e.Wanted, e.Available)
}
