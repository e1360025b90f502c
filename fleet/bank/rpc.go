package bank

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

// errOtherIncarnation answers a call that was meant for an earlier run of the host.
var errOtherIncarnation = errors.New("bank: another incarnation of this host runs")

// Recall serves PeerService.Recall.
func (b *Manager) Recall(ctx context.Context, req *connect.Request[peerpb.RecallRequest]) (*connect.Response[peerpb.RecallResponse], error) {
	if record.Incarnation(req.Msg.GetIncarnation()) != b.opts.Self.Incarnation {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errOtherIncarnation)
	}
	amount, err := b.GiveBack(ctx, record.BudgetID(req.Msg.GetBudget()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerpb.RecallResponse{Returned: int64(amount)}), nil
}

// Holdings serves PeerService.Holdings.
func (b *Manager) Holdings(_ context.Context, req *connect.Request[peerpb.HoldingsRequest]) (*connect.Response[peerpb.HoldingsResponse], error) {
	res := &peerpb.HoldingsResponse{Incarnation: uint64(b.opts.Self.Incarnation)}
	for _, h := range b.Allocations(record.BudgetID(req.Msg.GetBudget())) {
		res.Budgets = append(res.Budgets, &peerpb.HeldBudget{
			Budget:     string(h.Budget),
			Reserved:   int64(h.Reserved),
			Free:       int64(h.Free),
			Unreported: int64(h.Unreported),
		})
	}
	return connect.NewResponse(res), nil
}

// AllocationState describes this host's part in a budget.
type AllocationState struct {
	Budget   record.BudgetID
	Reserved record.Tokens
	Free     record.Tokens
	// Unreported is settled or returned and not yet read back from the log.
	Unreported record.Tokens
}

// Allocations returns this host's part in one budget, or in all if budget is empty.
func (b *Manager) Allocations(budget record.BudgetID) []AllocationState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []AllocationState
	for id, h := range b.budgets {
		if budget != "" && id != budget {
			continue
		}
		list = append(list, AllocationState{Budget: id, Reserved: h.reserved, Free: h.free, Unreported: h.queued + h.inFlight})
	}
	return list
}
