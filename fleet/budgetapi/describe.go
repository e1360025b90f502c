package budgetapi

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

// askTimeout bounds the wait for a holder's word on what it holds.
const askTimeout = time.Second

// holding names a holder's part in a budget.
type holding struct {
	holder record.Holder
	budget record.BudgetID
}

// holdings is what the holders that answered say about their grants.
type holdings struct {
	reachable map[record.Holder]bool
	parts     map[holding]*peerpb.HeldBudget
}

func (a *API) describeAll(ctx context.Context, folds map[record.ShardID]*shardfold.Fold) []Budget {
	held := a.ask(ctx, "", holdersOf(folds))
	budgets := []Budget{}
	for _, fold := range folds {
		for _, state := range fold.Ledger().Budgets() {
			budgets = append(budgets, describe(state, fold.Ledger().Holders(state.ID), held))
		}
	}
	slices.SortFunc(budgets, func(a, b Budget) int { return cmp.Compare(a.ID, b.ID) })
	return budgets
}

// holdersOf returns the holders with an outstanding grant in any budget.
func holdersOf(folds map[record.ShardID]*shardfold.Fold) []record.Holder {
	seen := make(map[record.Holder]bool)
	var list []record.Holder
	for _, fold := range folds {
		for _, state := range fold.Ledger().Budgets() {
			for _, h := range fold.Ledger().Holders(state.ID) {
				if h.Outstanding > 0 && !seen[h.Holder] {
					seen[h.Holder] = true
					list = append(list, h.Holder)
				}
			}
		}
	}
	return list
}

// describe splits the outstanding grants of a budget by what their holders say.
func describe(state ledger.BudgetState, holders []ledger.HolderState, held holdings) Budget {
	b := Budget{
		ID:         state.ID,
		Prepaid:    state.Prepaid,
		Settled:    state.Settled,
		Available:  state.Available,
		Unbilled:   state.Unbilled,
		Duplicates: state.Duplicates,
	}
	for _, h := range holders {
		if h.Outstanding == 0 {
			continue
		}
		if !held.reachable[h.Holder] {
			b.Stranded += h.Outstanding
			continue
		}
		reserved, free := held.split(h, state.ID)
		b.Reserved += reserved
		b.Free += free
		b.Unreported += h.Outstanding - reserved - free
	}
	b.Difference = b.Prepaid - b.Settled - b.Reserved - b.Free - b.Unreported - b.Stranded - b.Available
	return b
}

// split returns the reserved and free part of a grant. The holder's word may be
// newer or older than the fold, so it is bounded by the grant.
func (h holdings) split(state ledger.HolderState, budget record.BudgetID) (reserved, free record.Tokens) {
	part := h.parts[holding{state.Holder, budget}]
	reserved = min(max(0, record.Tokens(part.GetReserved())), state.Outstanding)
	free = min(max(0, record.Tokens(part.GetFree())), state.Outstanding-reserved)
	return reserved, free
}

func (a *API) describeHolders(ctx context.Context, fold *shardfold.Fold, budget record.BudgetID) []Holder {
	states := fold.Ledger().Holders(budget)
	var ask []record.Holder
	for _, s := range states {
		ask = append(ask, s.Holder)
	}
	held := a.ask(ctx, budget, ask)
	list := []Holder{}
	for _, s := range states {
		h := Holder{
			Host:             s.Holder.Host,
			Incarnation:      s.Holder.Incarnation,
			State:            stateOf(s, held),
			Outstanding:      s.Outstanding,
			LastReportMillis: s.LastReportMillis,
		}
		if h.State == HolderReachable {
			h.Reserved, h.Free = held.split(s, budget)
		}
		list = append(list, h)
	}
	return list
}

func stateOf(s ledger.HolderState, held holdings) HolderState {
	switch {
	case s.Closed:
		return HolderClosed
	case s.Released:
		return HolderReleased
	case held.reachable[s.Holder]:
		return HolderReachable
	default:
		return HolderStranded
	}
}

// ask asks holders what they hold, all at once. An empty budget means all.
func (a *API) ask(ctx context.Context, budget record.BudgetID, holders []record.Holder) holdings {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out := holdings{
		reachable: make(map[record.Holder]bool),
		parts:     make(map[holding]*peerpb.HeldBudget),
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range holders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			parts, ok := a.askOne(ctx, budget, h)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out.reachable[h] = true
			for _, p := range parts {
				out.parts[holding{h, record.BudgetID(p.GetBudget())}] = p
			}
		}()
	}
	wg.Wait()
	return out
}

// askOne asks one holder. It is false unless that very incarnation answers.
func (a *API) askOne(ctx context.Context, budget record.BudgetID, h record.Holder) ([]*peerpb.HeldBudget, bool) {
	server, ok := a.holdingsOf(h.Host)
	if !ok {
		return nil, false
	}
	res, err := server.Holdings(ctx, connect.NewRequest(&peerpb.HoldingsRequest{Budget: string(budget)}))
	if err != nil || record.Incarnation(res.Msg.GetIncarnation()) != h.Incarnation {
		return nil, false
	}
	return res.Msg.GetBudgets(), true
}

// holdingsOf returns whom to ask about a host's grants.
func (a *API) holdingsOf(id record.HostID) (Holdings, bool) {
	if id == a.view.Self().Host {
		return a.own, true
	}
	return a.view.Client(id)
}
