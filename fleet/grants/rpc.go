package grants

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

// errOtherIncarnation answers a call meant for another incarnation of this host.
var errOtherIncarnation = errors.New("grants: another incarnation of this host is running")

// Recall serves PeerService.Recall.
func (m *Manager) Recall(ctx context.Context, req *connect.Request[peerpb.RecallRequest]) (*connect.Response[peerpb.RecallResponse], error) {
	if record.Incarnation(req.Msg.GetIncarnation()) != m.opts.Self.Incarnation {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errOtherIncarnation)
	}
	amount, err := m.GiveBack(ctx, record.BudgetID(req.Msg.GetBudget()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerpb.RecallResponse{Returned: int64(amount)}), nil
}

// Holdings serves PeerService.Holdings.
func (m *Manager) Holdings(_ context.Context, req *connect.Request[peerpb.HoldingsRequest]) (*connect.Response[peerpb.HoldingsResponse], error) {
	res := &peerpb.HoldingsResponse{Incarnation: uint64(m.opts.Self.Incarnation)}
	for _, a := range m.Allocations(record.BudgetID(req.Msg.GetBudget())) {
		res.Budgets = append(res.Budgets, &peerpb.HeldBudget{
			Budget:     string(a.Budget),
			Reserved:   int64(a.Reserved),
			Free:       int64(a.Free),
			Unreported: int64(a.Unreported),
		})
	}
	return connect.NewResponse(res), nil
}

// AllocationState is the state of this host's allocation of a budget.
type AllocationState struct {
	Budget   record.BudgetID
	Reserved record.Tokens
	Free     record.Tokens
	// Unreported is the amount settled or returned but not yet read back from the log.
	Unreported record.Tokens
}

// Allocations returns this host's allocation of one budget, or all allocations if
// budget is empty.
func (m *Manager) Allocations(budget record.BudgetID) []AllocationState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []AllocationState
	for id, a := range m.budgets {
		if budget != "" && id != budget {
			continue
		}
		list = append(list, AllocationState{Budget: id, Reserved: a.reserved, Free: a.free, Unreported: a.queued + a.inFlight})
	}
	return list
}
