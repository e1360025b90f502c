package grants

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

var long = flag.Bool("long", false, "measure two-hour partitions instead of five minutes")

// member's client accounts: a few large, the rest small.
const (
	accounts      = 10
	largeAccounts = 3
)

func accountBudget(i int) record.BudgetID { return record.BudgetID(fmt.Sprintf("mb/a%d", i)) }

// splitReserver is the baseline that gives each host a fixed, equal part.
type splitReserver struct {
	mu   sync.Mutex
	left map[record.BudgetID]record.Tokens
}

func (s *splitReserver) Reserve(_ context.Context, id record.BudgetID, _ record.RequestKey, amount record.Tokens, _ time.Duration) (Reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left[id] < amount {
		return nil, &RefusedError{Budget: id, Wanted: amount, HeldElsewhere: 1}
	}
	s.left[id] -= amount
	return &baselineReservation{amount: amount, back: func(rest record.Tokens) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.left[id] += rest
	}}, nil
}

type baselineReservation struct {
	amount record.Tokens
	back   func(rest record.Tokens)
}

func (r *baselineReservation) Amount() record.Tokens     { return r.amount }
func (r *baselineReservation) Settle(cost record.Tokens) { r.back(r.amount - cost) }
func (r *baselineReservation) Billed() <-chan struct{}   { return nil }

func (r *baselineReservation) Release() { r.back(r.amount) }

// ownerReserver is the baseline that asks one owner for every reservation.
type ownerReserver struct {
	from    *testHost
	owner   *testHost
	amounts *splitReserver
}

func (o *ownerReserver) Reserve(ctx context.Context, id record.BudgetID, key record.RequestKey, amount record.Tokens, wait time.Duration) (Reservation, error) {
	if o.from != o.owner {
		_, there := o.from.fleet.reach(o.from.self.Host, o.owner.self.Host)
		_, back := o.from.fleet.reach(o.owner.self.Host, o.from.self.Host)
		if there != nil || back != nil {
			return nil, &RefusedError{Budget: id, Wanted: amount, Unreachable: true}
		}
		time.Sleep(2 * peerLatency)
	}
	return o.amounts.Reserve(ctx, id, key, amount, wait)
}

// baselines returns the reservers to compare.
func baselines(f *testFleet, prepaid record.Tokens) map[string]func(*testHost) Reserver {
	split := make(map[*testHost]*splitReserver)
	for _, h := range f.hosts {
		split[h] = newSplitReserver(prepaid / record.Tokens(len(f.hosts)))
	}
	ownerAmounts := newSplitReserver(prepaid)
	return map[string]func(*testHost) Reserver{
		"grants":      func(h *testHost) Reserver { return h.grants },
		"equal split": func(h *testHost) Reserver { return split[h] },
		"one owner":   func(h *testHost) Reserver { return &ownerReserver{from: h, owner: f.hosts[0], amounts: ownerAmounts} },
	}
}

func newSplitReserver(each record.Tokens) *splitReserver {
	s := &splitReserver{left: make(map[record.BudgetID]record.Tokens)}
	for i := range accounts {
		s.left[accountBudget(i)] = each
	}
	return s
}

// scenario is one load of a member's client accounts.
type scenario struct {
	name            string
	hostsPerAccount int // hosts that an account's callers use
	prepaid         record.Tokens
	run             time.Duration
	cut             time.Duration
	exhausted       bool // budgets are used up during the run
}

var exhaustedOnAllHosts = scenario{
	name: "everywhere, large budgets end", hostsPerAccount: 8, prepaid: 60_000, run: 3 * time.Minute, exhausted: true,
}

// TestFreedMoneyIsFoundInTime checks budgets that all hosts spend until they are
// used up. Requests that wait on several hosts must not keep recalling parts from
// each other until all of them time out.
func TestFreedMoneyIsFoundInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { exhaustedOnAllHosts.measure(t, "grants").checkFoundInTime() })
}

// TestPolicyFigures measures the policy and its baselines at a member's size:
// 8 hosts and 10 client accounts, 3 of them large. An account's requests arrive on
// the hosts that entry assigns to it, or on all hosts. Run with -v for the figures.
func TestPolicyFigures(t *testing.T) {
	partition := 5 * time.Minute
	if *long {
		partition = 2 * time.Hour
	}
	tests := []scenario{
		{name: "steered, budgets last", hostsPerAccount: 2, prepaid: 2_000_000, run: 3 * time.Minute},
		{name: "everywhere, budgets last", hostsPerAccount: 8, prepaid: 2_000_000, run: 3 * time.Minute},
		{name: "steered, large budgets end", hostsPerAccount: 2, prepaid: 60_000, run: 3 * time.Minute, exhausted: true},
		exhaustedOnAllHosts,
		{name: "hosts split in halves", hostsPerAccount: 8, prepaid: 10_000_000, run: partition, cut: partition},
	}
	for _, test := range tests {
		for _, policy := range []string{"grants", "equal split", "one owner"} {
			t.Run(test.name+"/"+policy, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { test.measure(t, policy) })
			})
		}
	}
}

// measure runs a scenario under a policy and logs its figures.
func (s scenario) measure(t *testing.T, policy string) *load {
	var budgets []record.BudgetID
	for i := range accounts {
		budgets = append(budgets, accountBudget(i))
	}
	f := newFleet(t, 8, 16, memlog.Options{}, budgets...)
	defer f.stop()
	l := newLoad(f)
	l.reserver = baselines(f, s.prepaid)[policy]
	for _, id := range budgets {
		l.topUp(f.hosts[0], id, "t", s.prepaid)
	}
	start, appends := time.Now(), f.log.Appends()
	l.startAccounts(s.hostsPerAccount, start.Add(s.run))
	if s.cut > 0 {
		f.partition(f.hosts[:4], f.hosts[4:], true)
	}
	var held record.Tokens
	var share float64
	for time.Now().Before(start.Add(s.run)) {
		time.Sleep(time.Second)
		most, part := f.largestFree(policy, s.prepaid)
		held, share = max(held, most), max(share, part)
	}
	f.partition(f.hosts[:4], f.hosts[4:], false)
	rate := float64(f.log.Appends()-appends) / time.Since(start).Seconds()
	l.wg.Wait()
	total := l.served + l.refusals()
	t.Logf("%d requests, refused %d (spent %d, held %d, unreachable %d), while unspent anywhere %d (%.3f%%), longest %v; wait p50 %v p95 %v p99 %v; %.1f appends/s; largest unused grant of a host %d (%.2f%%)",
		total, l.refusals(), l.spentRefusals, l.heldRefusals, l.unreachableRefusals,
		l.falseRefusals, 100*float64(l.falseRefusals)/float64(total), l.longestFree,
		l.wait(50), l.wait(95), l.wait(99), rate, held, share)
	require.False(t, l.overspend)
	if policy == "grants" {
		l.finish(budgets...)
		l.checkFalseRefusals()
		if !s.exhausted {
			require.Zero(t, l.refusals())
		}
	}
	return l
}

// startAccounts starts the load of a member's client accounts, each on some hosts.
func (l *load) startAccounts(spread int, end time.Time) {
	for i := range accounts {
		every := 5 * time.Second // of the account over all its hosts
		if i < largeAccounts {
			every = 200 * time.Millisecond
		}
		for k := range spread {
			h := l.fleet.hosts[(i+k)%len(l.fleet.hosts)]
			l.start(h, pattern{
				budget: accountBudget(i), every: every * time.Duration(spread),
				reserve: 400, run: 2 * time.Second, seed: uint64(i*100 + k),
			}, end)
		}
	}
}

// largestFree returns the largest free amount of one host in any budget, which its
// crash would strand unused, and its share of the prepaid amount in percent.
func (f *testFleet) largestFree(policy string, prepaid record.Tokens) (record.Tokens, float64) {
	if policy != "grants" {
		return 0, 0
	}
	var largest record.Tokens
	for _, h := range f.hosts {
		for _, held := range h.grants.Allocations("") {
			largest = max(largest, held.Free)
		}
	}
	return largest, 100 * float64(largest) / float64(prepaid)
}
