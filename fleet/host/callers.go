package host

import (
	"context"
	"errors"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/gateway"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

// preferredHosts returns the hosts that entry answers name to an account's
// callers, in order of preference.
func (h *Host) preferredHosts(account string) []record.HostID {
	current := h.settings.Current()
	if current == nil {
		return nil
	}
	var order []record.HostID
	for _, host := range h.entry.Order(current, account) {
		order = append(order, host.ID)
	}
	return order
}

// budgetReader reads budgets for callers from the state folded from the shards'
// streams.
type budgetReader struct {
	shards     *shard.Service
	shardCount func() uint32
}

var errNotReady = errors.New("host: the settings are not known yet")

// ReadBudget returns a budget's state, in tokens. A budget without a top-up has
// zero amounts. It fails while the settings are unknown or the shard's state
// cannot be read.
func (b budgetReader) ReadBudget(ctx context.Context, id record.BudgetID) (gateway.BudgetStatus, error) {
	count := b.shardCount()
	if count == 0 {
		return gateway.BudgetStatus{}, errNotReady
	}
	state, err := b.shards.State(ctx, record.ShardOf(id, count))
	if err != nil {
		return gateway.BudgetStatus{}, err
	}
	budget, _ := state.Fold.Ledger().Budget(id)
	return gateway.BudgetStatus{
		Budget:    id,
		Prepaid:   budget.Prepaid,
		Spent:     budget.Settled,
		Granted:   budget.Granted,
		Available: budget.Available,
	}, nil
}
