package grants

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

// load sends requests and tracks the actual spend of each budget.
type load struct {
	fleet *testFleet
	// reserver returns the Reserver of a host; by default the host's manager.
	reserver func(*testHost) Reserver
	wg       sync.WaitGroup

	mu      sync.Mutex
	key     record.RequestKey
	prepaid map[record.BudgetID]record.Tokens
	spent   map[record.BudgetID]record.Tokens
	open    map[record.BudgetID]record.Tokens
	waits   []time.Duration

	served, spentRefusals, heldRefusals, unreachableRefusals int
	// enoughSince is the time since which enough for one reservation has been
	// unspent and unreserved; zero if less is left.
	enoughSince map[record.BudgetID]time.Time
	// falseRefusals counts refusals while enough for one reservation was unspent
	// and unreserved; longestFree is the longest time for which it had been so.
	falseRefusals int
	longestFree   time.Duration
	overspend     bool
}

// pattern describes the requests that one host receives for one budget.
type pattern struct {
	budget  record.BudgetID
	every   time.Duration // mean time between requests
	reserve record.Tokens
	run     time.Duration // mean run time
	seed    uint64
}

func newLoad(f *testFleet) *load {
	return &load{
		fleet:       f,
		reserver:    func(h *testHost) Reserver { return h.grants },
		prepaid:     make(map[record.BudgetID]record.Tokens),
		spent:       make(map[record.BudgetID]record.Tokens),
		open:        make(map[record.BudgetID]record.Tokens),
		enoughSince: make(map[record.BudgetID]time.Time),
	}
}

func (l *load) topUp(h *testHost, id record.BudgetID, name string, amount record.Tokens) {
	l.mu.Lock()
	l.prepaid[id] += max(0, amount)
	l.mu.Unlock()
	res := l.fleet.topUp(h, id, name, amount)
	if amount < 0 {
		l.mu.Lock()
		l.prepaid[id] += res.Amount
		l.mu.Unlock()
	}
}

// start sends requests of a pattern to a host until the time is up.
func (l *load) start(h *testHost, p pattern, end time.Time) {
	random := rand.New(rand.NewPCG(p.seed, uint64(h.self.Incarnation)))
	l.wg.Go(func() {
		for time.Now().Before(end) && !h.isDead() {
			time.Sleep(time.Duration(random.Float64() * 2 * float64(p.every)))
			run := time.Duration(random.Float64() * 2 * float64(p.run))
			cost := record.Tokens(random.Int64N(int64(p.reserve) + 1))
			l.wg.Go(func() { l.request(h, p, run, cost) })
		}
	})
}

func (h *testHost) isDead() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.dead
}

func (l *load) request(h *testHost, p pattern, run time.Duration, cost record.Tokens) {
	l.mu.Lock()
	l.key++
	key := l.key
	l.mu.Unlock()
	start := time.Now()
	r, err := l.reserver(h).Reserve(context.Background(), p.budget, key, p.reserve, testPolicy.RefusalWait)
	l.addResult(p, err, time.Since(start))
	if err != nil {
		return
	}
	time.Sleep(run)
	if h.isDead() {
		return
	}
	l.mu.Lock()
	l.open[p.budget] -= p.reserve
	l.spent[p.budget] += cost
	l.overspend = l.overspend || l.spent[p.budget] > l.prepaid[p.budget]
	l.updateEnoughSince(p)
	l.mu.Unlock()
	r.Settle(cost)
}

func (l *load) addResult(p pattern, err error, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.served++
		l.open[p.budget] += p.reserve
		l.updateEnoughSince(p)
		l.waits = append(l.waits, wait)
		return
	}
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return
	}
	switch {
	case refused.Unreachable:
		l.unreachableRefusals++
	case refused.HeldElsewhere > 0:
		l.heldRefusals++
	default:
		l.spentRefusals++
	}
	since := l.enoughSince[p.budget]
	if since.IsZero() {
		return
	}
	l.falseRefusals++
	l.longestFree = max(l.longestFree, time.Since(since))
}

// updateEnoughSince records since when a budget could cover one more request. The
// caller holds l.mu.
func (l *load) updateEnoughSince(p pattern) {
	left := l.prepaid[p.budget] - l.spent[p.budget] - l.open[p.budget]
	switch {
	case left < p.reserve:
		l.enoughSince[p.budget] = time.Time{}
	case l.enoughSince[p.budget].IsZero():
		l.enoughSince[p.budget] = time.Now()
	}
}

// finish waits for all requests and reports, and checks that each budget was
// billed the actual spend and no more than was prepaid.
func (l *load) finish(budgets ...record.BudgetID) {
	t := l.fleet.t
	t.Helper()
	l.wg.Wait()
	time.Sleep(10 * time.Second)
	require.False(t, l.overspend, "spent more than was prepaid")
	for _, id := range budgets {
		state := l.fleet.budget(id)
		require.Equal(t, l.spent[id], state.Settled, "budget %s is billed what was spent", id)
		require.LessOrEqual(t, state.Settled, state.Prepaid)
		require.Zero(t, state.Unbilled)
	}
}

// checkFalseRefusals checks that at most 0.5% of the requests were refused while
// enough for one reservation was unspent and unreserved.
func (l *load) checkFalseRefusals() {
	t := l.fleet.t
	t.Helper()
	require.LessOrEqual(t, l.falseRefusals*200, l.served+l.refusals())
}

// checkFoundInTime checks that no request was refused later than lastRequestTime
// after enough became free: each refusal follows the answer to a grant request
// that was sent at most that long before.
func (l *load) checkFoundInTime() {
	t := l.fleet.t
	t.Helper()
	require.Less(t, l.longestFree, lastRequestTime)
}

func (l *load) refusals() int {
	return l.spentRefusals + l.heldRefusals + l.unreachableRefusals
}

// wait returns a percentile of the waits for a reservation.
func (l *load) wait(percent int) time.Duration {
	if len(l.waits) == 0 {
		return 0
	}
	slices.Sort(l.waits)
	return l.waits[(len(l.waits)-1)*percent/100]
}
