package wallet

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

// fleet is a set of hosts that share a log, and the audit of what they spend.
type fleet struct {
	t     *testing.T
	log   *memkeyed.Log
	rng   *rand.Rand
	hosts []*testHost

	mu      sync.Mutex
	version int64
	prepaid record.Tokens
	// spent is what requests have cost, with those that run at their most.
	spent record.Tokens
	// loseLoans is the share of loans whose hand-over is lost.
	loseLoans float64
	// spacing is the least time between a host's rounds of calls, in nanoseconds.
	spacing atomic.Int64
}

// testHost is one host; its wallet changes with each run.
type testHost struct {
	f      *fleet
	name   record.HostID
	link   *memkeyed.Link
	wallet atomic.Pointer[Wallet]
	stop   context.CancelFunc
	cut    atomic.Bool // from the other hosts
	// counting is called whenever the wallet counts the hosts.
	counting func()
	// slowLoans is the time that each question to the other hosts takes.
	slowLoans time.Duration
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

// start begins a run of the host.
func (h *testHost) start(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	h.link = h.f.log.Link(seed)
	h.stop = cancel
	wallet := New(Options{
		Host: h.name, Log: h.link, Stream: testStream, Hosts: h.count, Lender: h,
		Spacing: func() time.Duration { return time.Duration(h.f.spacing.Load()) },
		Policy:  escrow.DefaultPolicy(), Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	})
	wallet.SetTable(h.f.table())
	h.wallet.Store(wallet)
	go func() { _ = wallet.Run(ctx) }()
}

func (h *testHost) count() int {
	if h.counting != nil {
		h.counting()
	}
	return len(h.f.hosts)
}

// Borrow implements Lender: it asks the other hosts in turn.
func (h *testHost) Borrow(ctx context.Context, budget record.BudgetID, amount record.Tokens) record.Tokens {
	time.Sleep(h.slowLoans)
	got := record.Tokens(0)
	for _, other := range h.f.hosts {
		if other == h || other.cut.Load() || h.cut.Load() || got >= amount {
			continue
		}
		lent := other.wallet.Load().Lend(ctx, budget, amount-got)
		if h.f.draw() >= h.f.loseLoans {
			got += lent
		}
	}
	return got
}

func (f *fleet) draw() float64 {
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

// setPrepaid changes the budget at all hosts.
func (f *fleet) setPrepaid(amount record.Tokens) {
	f.mu.Lock()
	f.prepaid = amount
	f.version++
	f.mu.Unlock()
	for _, h := range f.hosts {
		h.wallet.Load().SetTable(f.table())
	}
}

// stopAll ends all hosts and lets the calls under way end.
func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		h.stop()
	}
	time.Sleep(20 * time.Second)
}

// spend runs a request of a cost and a bound for a time. It returns false if it
// was refused.
func (h *testHost) spend(bound, cost record.Tokens, d time.Duration) error {
	wallet := h.wallet.Load()
	res, err := wallet.Reserve(context.Background(), testBudget, 0, bound, 500*time.Millisecond)
	if err != nil {
		return err
	}
	h.f.count(bound)
	time.AfterFunc(d, func() { h.end(wallet, res, cost) })
	return nil
}

// end settles a request, unless its host has died: then it counts at its most.
func (h *testHost) end(wallet *Wallet, res grants.Reservation, cost record.Tokens) {
	if h.wallet.Load() != wallet {
		return
	}
	h.f.count(cost - res.Amount())
	res.Settle(cost)
}

func (f *fleet) count(amount record.Tokens) {
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
		sum += h.wallet.Load().meters.writes.Count()
	}
	return sum
}

// difference returns the sum of the purses' differences.
func (w *Wallet) difference() record.Tokens {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := record.Tokens(0)
	for _, p := range w.purses {
		sum += p.Difference()
	}
	return sum
}
