package budgetadmin

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

const (
	// holdingsTimeout is the deadline of one Holdings call to a host.
	holdingsTimeout = 2 * time.Second
	// maxParallel is the maximum number of hosts or shards queried at once.
	maxParallel = 16
)

// ParseHolder parses the form host/incarnation.
func ParseHolder(text string) (record.Holder, error) {
	host, number, ok := strings.Cut(text, "/")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if !ok || host == "" || err != nil {
		return record.Holder{}, fmt.Errorf("holder %q has not the form host/incarnation", text)
	}
	return record.Holder{Host: record.HostID(host), Incarnation: record.Incarnation(incarnation)}, nil
}

// hostAnswer is a host's answer to a Holdings call.
type hostAnswer struct {
	reachable   bool
	incarnation record.Incarnation
	allocations map[record.BudgetID]grants.AllocationState
}

// allocationOf returns a holder's allocation of a budget and the holder's state.
func (a hostAnswer) allocationOf(holder record.Holder, budget record.BudgetID) (grants.AllocationState, HolderState) {
	switch {
	case !a.reachable:
		return grants.AllocationState{}, HolderUnreachable
	case a.incarnation != holder.Incarnation:
		return grants.AllocationState{}, HolderReplaced
	default:
		return a.allocations[budget], HolderLive
	}
}

// queryHost asks a host for its allocation of one budget, or for all if budget is
// empty.
func (a *API) queryHost(ctx context.Context, host record.HostID, budget record.BudgetID) hostAnswer {
	self := a.opts.View.Self()
	if host == self.Host {
		return newHostAnswer(self.Incarnation, a.opts.Grants.Allocations(budget))
	}
	client, ok := a.opts.View.Client(host)
	if !ok {
		return hostAnswer{}
	}
	ctx, cancel := context.WithTimeout(ctx, holdingsTimeout)
	defer cancel()
	res, err := client.Holdings(ctx, connect.NewRequest(&peerpb.HoldingsRequest{Budget: string(budget)}))
	if err != nil {
		return hostAnswer{}
	}
	var held []grants.AllocationState
	for _, b := range res.Msg.GetBudgets() {
		held = append(held, grants.AllocationState{
			Budget:     record.BudgetID(b.GetBudget()),
			Reserved:   record.Tokens(b.GetReserved()),
			Free:       record.Tokens(b.GetFree()),
			Unreported: record.Tokens(b.GetUnreported()),
		})
	}
	return newHostAnswer(record.Incarnation(res.Msg.GetIncarnation()), held)
}

func newHostAnswer(incarnation record.Incarnation, list []grants.AllocationState) hostAnswer {
	a := hostAnswer{reachable: true, incarnation: incarnation, allocations: make(map[record.BudgetID]grants.AllocationState, len(list))}
	for _, h := range list {
		a.allocations[h.Budget] = h
	}
	return a
}

// hostQuery collects the allocations of hosts and queries each host once.
type hostQuery struct {
	api    *API
	budget record.BudgetID

	mu      sync.Mutex
	answers map[record.HostID]hostAnswer
}

func (a *API) newHostQuery(budget record.BudgetID) *hostQuery {
	return &hostQuery{api: a, budget: budget, answers: make(map[record.HostID]hostAnswer)}
}

// queryHosts queries the hosts of all holders with an outstanding grant.
func (s *hostQuery) queryHosts(ctx context.Context, holders []ledger.HolderState) {
	var group errgroup.Group
	group.SetLimit(maxParallel)
	asked := make(map[record.HostID]bool)
	for _, h := range holders {
		host := h.Holder.Host
		if asked[host] || h.Outstanding == 0 || s.answered(host) {
			continue
		}
		asked[host] = true
		group.Go(func() error {
			found := s.api.queryHost(ctx, host, s.budget)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.answers[host] = found
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

func (s *hostQuery) answered(host record.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.answers[host]
	return ok
}

// describeHolder describes one describeHolder of a budget.
func (s *hostQuery) describeHolder(budget record.BudgetID, h *ledger.HolderState) Holder {
	out := Holder{Holder: h.Holder.String(), Granted: h.Outstanding, LastReportMillis: h.LastReportMillis}
	switch {
	case h.Closed:
		out.State = HolderClosed
	case h.Released:
		out.State = HolderReleased
	default:
		held, state := s.answers[h.Holder.Host].allocationOf(h.Holder, budget)
		out.State = state
		out.Reserved = min(held.Reserved, h.Outstanding)
		if state == HolderLive {
			out.Free = h.Outstanding - out.Reserved
		}
	}
	return out
}

// describeBudget adds up the amounts of a budget.
func (s *hostQuery) describeBudget(b *settings.Budget, id record.ShardID, state *shard.State) Budget {
	amounts, _ := state.Fold.Ledger().Budget(b.ID)
	out := Budget{
		ID: b.ID, Firm: b.Firm, Shard: id, Prepaid: amounts.Prepaid, Settled: amounts.Settled,
		Available: amounts.Available, Unbilled: amounts.Unbilled, Duplicates: amounts.Duplicates,
		Offset: state.Fold.Offset(), Fresh: state.Fresh,
	}
	for _, h := range state.Fold.Ledger().Holders(b.ID) {
		if h.Outstanding == 0 {
			continue
		}
		out.Holders++
		line := s.describeHolder(b.ID, &h)
		out.Reserved += line.Reserved
		out.Free += line.Free
		out.Stranded += line.Granted - line.Reserved - line.Free
	}
	out.Difference = out.Prepaid - out.Settled - out.Reserved - out.Free - out.Stranded - out.Available
	return out
}

func (a *API) show(w http.ResponseWriter, r *http.Request) {
	b, id, p := a.budget(r)
	if p != nil {
		p.Write(w)
		return
	}
	state, p := a.state(r.Context(), id)
	if p != nil {
		p.Write(w)
		return
	}
	s := a.newHostQuery(b.ID)
	s.queryHosts(r.Context(), state.Fold.Ledger().Holders(b.ID))
	writeJSON(w, s.describeBudget(&b, id, &state))
}

func (a *API) holders(w http.ResponseWriter, r *http.Request) {
	b, id, p := a.budget(r)
	if p != nil {
		p.Write(w)
		return
	}
	state, p := a.state(r.Context(), id)
	if p != nil {
		p.Write(w)
		return
	}
	holders := state.Fold.Ledger().Holders(b.ID)
	s := a.newHostQuery(b.ID)
	s.queryHosts(r.Context(), holders)
	list := HolderList{Budget: b.ID, Holders: []Holder{}}
	for i := range holders {
		list.Holders = append(list.Holders, s.describeHolder(b.ID, &holders[i]))
	}
	writeJSON(w, list)
}

func (a *API) state(ctx context.Context, id record.ShardID) (shard.State, *problem.Problem) {
	state, err := a.opts.Shards.State(ctx, id)
	if err != nil {
		return state, problem.New(http.StatusServiceUnavailable, problem.CodeInternal, "shard %d can't be read: %v", id, err)
	}
	return state, nil
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	current := a.opts.Settings.Current()
	if current == nil || current.Shards == 0 {
		problem.New(http.StatusServiceUnavailable, problem.CodeNotReady, "the settings are not known yet").Write(w)
		return
	}
	byShard := make(map[record.ShardID][]*settings.Budget)
	for i := range current.Budgets {
		id := record.ShardOf(current.Budgets[i].ID, current.Shards)
		byShard[id] = append(byShard[id], &current.Budgets[i])
	}
	list := BudgetList{Budgets: []Budget{}}
	s := a.newHostQuery("")
	for id, found := range a.states(r.Context(), byShard, &list) {
		for _, b := range byShard[id] {
			s.queryHosts(r.Context(), found.Fold.Ledger().Holders(b.ID))
			list.Budgets = append(list.Budgets, s.describeBudget(b, id, &found))
		}
	}
	slices.SortFunc(list.Budgets, func(a, b Budget) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, list)
}

// states reads the shards in parallel and adds errors to list.
func (a *API) states(ctx context.Context, wanted map[record.ShardID][]*settings.Budget, list *BudgetList) map[record.ShardID]shard.State {
	var group errgroup.Group
	group.SetLimit(maxParallel)
	var mu sync.Mutex
	found := make(map[record.ShardID]shard.State, len(wanted))
	for id := range wanted {
		group.Go(func() error {
			state, err := a.opts.Shards.State(ctx, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				list.Errors = append(list.Errors, fmt.Sprintf("shard %d: %v", id, err))
				return nil
			}
			found[id] = state
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	slices.Sort(list.Errors)
	return found
}
