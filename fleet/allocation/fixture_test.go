package allocation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

const (
	testBudget record.BudgetID = "acme"
	testStream string          = "budgets"
)

// fleet is a set of hosts that share a log, with a count of what they spend.
type fleet struct {
	t     *testing.T
	log   *memkeyed.Log
	rng   *rand.Rand
	hosts []*testHost

	mu      sync.Mutex
	version int64
	prepaid record.Tokens
	// spent is the cost of ended requests plus the bounds of requests in flight.
	spent record.Tokens
	// lostLoanShare is the fraction of loans whose answer is lost.
	lostLoanShare float64
	// spacing is the minimum time between a host's rounds of calls, in nanoseconds.
	spacing atomic.Int64
	// unsettled is true while the list of hosts is not complete.
	unsettled atomic.Bool
}

// testHost is one host. Each run has a new manager.
type testHost struct {
	f           *fleet
	name        record.HostID
	link        *memkeyed.Link
	manager     atomic.Pointer[Manager]
	stop        context.CancelFunc
	partitioned atomic.Bool // can neither lend nor borrow
	// backup is true if callers are not directed to the host.
	backup bool
	// onHostCount is called whenever the manager asks for the number of hosts.
	onHostCount func()
	// loanDelay is the time that each Borrow takes.
	loanDelay time.Duration
}

func newFleet(t *testing.T, hosts int, prepaid record.Tokens, seed uint64) *fleet {
	f := &fleet{t: t, log: memkeyed.New(), rng: rand.New(rand.NewPCG(seed, 1)), prepaid: prepaid}
	for i := range hosts {
		f.hosts = append(f.hosts, &testHost{f: f, name: record.HostID(fmt.Sprintf("h%d", i))})
	}
	for i, h := range f.hosts {
		h.start(seed + uint64(i))
	}
	return f
}

// start starts a run of the host.
func (h *testHost) start(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	h.link = h.f.log.Link(seed)
	h.stop = cancel
	manager := New(Options{
		Host: h.name, Log: h.link, Stream: testStream, Fleet: h.fleet, Borrower: h,
		Spacing: func() time.Duration { return time.Duration(h.f.spacing.Load()) },
		Policy:  escrow.DefaultPolicy(), Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	})
	manager.SetTable(h.f.table())
	h.manager.Store(manager)
	go func() { _ = manager.Run(ctx) }()
}

func (h *testHost) fleet() Fleet {
	if h.onHostCount != nil {
		h.onHostCount()
	}
	return Fleet{Hosts: len(h.f.hosts), Serves: !h.backup, Settled: !h.f.unsettled.Load()}
}

// Borrow implements Borrower: it asks the other hosts in turn.
func (h *testHost) Borrow(ctx context.Context, budget record.BudgetID, amount record.Tokens) record.Tokens {
	time.Sleep(h.loanDelay)
	got := record.Tokens(0)
	for _, other := range h.f.hosts {
		if other == h || other.partitioned.Load() || h.partitioned.Load() || got >= amount {
			continue
		}
		lent := other.manager.Load().Lend(ctx, budget, amount-got)
		if h.f.random() >= h.f.lostLoanShare {
			got += lent
		}
	}
	return got
}

func (f *fleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *fleet) table() *routes.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &routes.Table{Version: f.version, Accounts: []routes.Account{{Name: string(testBudget), Prepaid: f.prepaid, Metered: true}}}
	return t.BuildIndexes()
}

// setPrepaid changes the prepaid amount at all hosts.
func (f *fleet) setPrepaid(amount record.Tokens) {
	f.mu.Lock()
	f.prepaid = amount
	f.version++
	f.mu.Unlock()
	for _, h := range f.hosts {
		h.manager.Load().SetTable(f.table())
	}
}

// stopAll stops all hosts and waits for calls in flight.
func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		h.stop()
	}
	time.Sleep(20 * time.Second)
}

// spend runs a request with a cost and a bound, in tokens, for a time. It returns the
// error of a refused reservation.
func (h *testHost) spend(bound, cost record.Tokens, d time.Duration) error {
	manager := h.manager.Load()
	res, err := manager.Reserve(context.Background(), testBudget, 0, bound, 500*time.Millisecond)
	if err != nil {
		return err
	}
	h.f.addSpent(bound)
	time.AfterFunc(d, func() { h.end(manager, res, cost) })
	return nil
}

// end settles a request. If its run has ended, the request counts with its bound.
func (h *testHost) end(manager *Manager, res grants.Reservation, cost record.Tokens) {
	if h.manager.Load() != manager {
		return
	}
	h.f.addSpent(cost - res.Amount())
	res.Settle(cost)
}

func (f *fleet) addSpent(amount record.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spent += amount
}

func (f *fleet) balance() (spent, prepaid record.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spent, f.prepaid
}

// writes returns the number of writes to the log by all hosts.
func (f *fleet) writes() int64 {
	sum := int64(0)
	for _, h := range f.hosts {
		sum += h.manager.Load().meters.writes.Count()
	}
	return sum
}

// difference returns the sum of the allocations' differences.
func (m *Manager) difference() record.Tokens {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := record.Tokens(0)
	for _, alloc := range m.allocations {
		sum += alloc.Difference()
	}
	return sum
}
