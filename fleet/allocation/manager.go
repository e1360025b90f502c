// Package allocation keeps this host's allocations of the prepaid budgets. It claims
// more through the platform's log before an allocation runs out, borrows from other
// hosts when the log is unreachable or the budget is fully claimed, and reserves the
// cost of each request before it is sent.
package allocation

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/grants"
)

// Intervals and timeouts of Run.
const (
	// measureInterval is the time between updates of the spending rates. Claims
	// that are not urgent are collected over it and share one write.
	measureInterval = 500 * time.Millisecond
	// maxReadAge is the age up to which the sums of claims are used without another
	// read.
	maxReadAge = 200 * time.Millisecond
	// retryDelay is the mean delay before a failed call to the log is retried.
	retryDelay = 250 * time.Millisecond
	// borrowTimeout bounds the time for borrowing from other hosts.
	borrowTimeout = 250 * time.Millisecond
	// maxLoans is the number of requests for loans that may be under way at once. Without a bound,
	// a host that gets no loans does more work the more of its requests need one.
	maxLoans = 8
	// logOverdueAfter is the time without an answer after which requests no longer
	// wait for the log: some dozens of times its usual response time.
	logOverdueAfter = 200 * time.Millisecond
)

// retryBackoff delays calls after a failure, since all hosts share the log's limit
// on calls.
var retryBackoff = admission.Backoff{Initial: retryDelay, Max: 4 * retryDelay}

// Borrower borrows parts of budgets from other hosts.
type Borrower interface {
	// Borrow asks the other hosts for an amount, in tokens, and returns the amount
	// received, from zero to the amount asked for.
	Borrow(ctx context.Context, budget record.BudgetID, amount record.Tokens) record.Tokens
}

// Options configure a [Manager].
type Options struct {
	Host record.HostID
	Log  platform.KeyedLog
	// Stream is the name of the keyed stream with the claims of all hosts.
	Stream string
	// Fleet returns what is known of the fleet.
	Fleet func() Fleet
	// Spacing returns the minimum time between two rounds of calls to the log, whose
	// limit all hosts share. Nil means no minimum.
	Spacing  func() time.Duration
	Borrower Borrower
	// Late reports whether this host's own timers were late in the time before now. An overdue
	// answer then proves nothing about the log. It may be nil.
	Late    func(span time.Duration) bool
	Policy  escrow.Policy
	Logger  logr.Logger
	Metrics metrics.Registry
}

// Fleet describes the hosts among which budgets are divided ahead of requests: those to
// which callers are directed.
type Fleet struct {
	// Hosts is the number of these hosts, and Serves is true if this host is one of them.
	Hosts  int
	Serves bool
	// Settled is false while the list of hosts is not complete, because they are
	// starting. A share of a budget would then be too large.
	Settled bool
}

// Manager keeps this host's allocations of all budgets. It implements grants.Reserver
// and is safe for concurrent use.
type Manager struct {
	opt    Options
	log    logr.Logger
	meters meters

	mu sync.Mutex
	// policy is Options.Policy, reduced by AfterCrash if the previous run crashed.
	policy         escrow.Policy
	claims         *escrow.ClaimTable
	allocations    map[record.BudgetID]*allocation
	synced         bool
	next           platform.Position
	readAt         time.Time
	logUnreachable bool // the last call to the log failed or is overdue
	closing        bool

	// unansweredSince is when the log last answered a call of the present rounds, or when the first
	// one began. It is zero between rounds.
	unansweredSince time.Time
	// epoch and seq number this run's writes. write is the write whose effect is not
	// known yet, or nil.
	epoch uint64
	seq   uint64
	write *write
	// missedEras is the number of eras in which earlier runs of this host may have claimed
	// more than this run could read.
	missedEras uint64
	// confirmed is true once the host record of this run is written in the era of next.
	confirmed bool
	wake      chan struct{}
	// roundSem is a semaphore for the round that calls the log, of Run or Close.
	roundSem chan struct{}
	// loanSem is a semaphore for the requests for loans.
	loanSem chan struct{}
}

var _ grants.Reserver = (*Manager)(nil)

// allocation is this host's allocation of one budget and the requests that wait for
// it.
type allocation struct {
	escrow.Allocation
	prepaid record.Tokens
	// pendingReturn is the amount to give back with the next write. It is no longer
	// free.
	pendingReturn record.Tokens
	// overclaimed is true after the budget was cut, while the claims exceed it. What
	// requests don't use of their reservations is then given back.
	overclaimed bool
	waiting     []*waiter
	// growth limits the host's claim.
	growth escrow.Growth
}

// waiter is a request that waits for its reservation.
type waiter struct {
	amount record.Tokens
	done   chan error
}

// New returns a manager with no allocations. Run must be called to fill them.
func New(opt Options) *Manager {
	return &Manager{
		opt:         opt,
		log:         opt.Logger.WithName("wallet"), // the operators' tools select log lines by this name
		meters:      newMeters(opt.Metrics),
		policy:      opt.Policy,
		claims:      escrow.NewClaimTable(),
		allocations: make(map[record.BudgetID]*allocation),
		wake:        make(chan struct{}, 1),

		roundSem: make(chan struct{}, 1),
		loanSem:  make(chan struct{}, maxLoans),
	}
}

// SetTable applies the budgets of the active configuration. Where a budget was cut,
// the whole free amount is given back, since the rest of the budget may be spent
// already.
func (m *Manager) SetTable(t *routes.Table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range t.Accounts {
		a := &t.Accounts[i]
		if !a.Metered {
			continue
		}
		alloc := m.allocation(escrow.BudgetOf(a.Name))
		if a.Prepaid < alloc.prepaid {
			m.log.Info("Budget cut.", "budget", a.Name, "from", alloc.prepaid, "to", a.Prepaid, "returned", alloc.Free)
			alloc.overclaimed = true
			alloc.returnFree()
		}
		alloc.prepaid = a.Prepaid
	}
	m.wakeRun()
}

// returnFree gives back the whole free amount with the next write.
func (a *allocation) returnFree() {
	free := max(0, a.Free)
	a.pendingReturn += free
	a.Remove(free)
}

func (m *Manager) allocation(id record.BudgetID) *allocation {
	alloc, ok := m.allocations[id]
	if !ok {
		alloc = &allocation{}
		m.allocations[id] = alloc
	}
	return alloc
}

func (m *Manager) wakeRun() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run keeps the allocations filled until ctx ends. It always returns nil.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(measureInterval)
	defer tick.Stop()
	throttled := 0
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			m.measure(now)
		case <-m.wake:
		}
		// Claims that become due during the pause share one write.
		pause(ctx, m.spacing()-time.Since(last))
		last = time.Now()
		m.beginRound()
		watchCtx, stopWatch := context.WithCancel(ctx)
		go m.watchAnswers(watchCtx)
		err := m.round(ctx)
		stopWatch()
		if err == nil {
			m.endRound()
			throttled = 0
			continue
		}
		throttled = admission.CountThrottled(throttled, err)
		if !isTimeout(err) || !m.late(time.Since(last)) {
			m.markUnreachable(ctx, err)
		}
		pause(ctx, retryBackoff.Delay(1+throttled, rand.Float64()))
	}
}

var errOverdue = errors.New("wallet: the log's answer is overdue")

// spacing returns the minimum time between two rounds.
func (m *Manager) spacing() time.Duration {
	if m.opt.Spacing == nil {
		return 0
	}
	return m.opt.Spacing()
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (m *Manager) measure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, alloc := range m.allocations {
		alloc.UpdateRate(now)
		if !m.logUnreachable {
			alloc.RaiseCover(m.policy, measureInterval)
		}
		alloc.overclaimed = alloc.overclaimed && m.claims.Claimed(id) > alloc.prepaid
	}
	m.updateGauges()
}

// updateGauges sets the metrics of the allocations. The caller holds mu.
func (m *Manager) updateGauges() {
	free, reserved, difference := record.Tokens(0), record.Tokens(0), record.Tokens(0)
	for _, alloc := range m.allocations {
		free += alloc.Free
		reserved += alloc.Reserved
		difference += alloc.Difference()
	}
	m.meters.free.Update(int64(free))
	m.meters.reserved.Update(int64(reserved))
	m.meters.difference.Update(int64(difference))
}

func (m *Manager) markUnreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.logUnreachable {
		m.log.Info("Log lost.", "error", err.Error())
	}
	m.logUnreachable = true
	// Requests that wait for a claim can't be served until the log answers again.
	for id, alloc := range m.allocations {
		m.refuseWaiting(id, alloc, true)
	}
}

// refuseWaiting ends the wait of all requests for a budget. The caller holds mu.
func (m *Manager) refuseWaiting(id record.BudgetID, alloc *allocation, unreachable bool) {
	for _, each := range alloc.waiting {
		each.done <- &grants.RefusedError{Budget: id, Wanted: each.amount, Available: m.unclaimed(id, alloc), Unreachable: unreachable}
	}
	alloc.waiting = nil
}

// claimable returns the amount of a budget that this host may claim now. The caller holds
// mu.
func (m *Manager) claimable(id record.BudgetID, alloc *allocation) record.Tokens {
	return min(m.unclaimed(id, alloc), alloc.growth.Allowed(alloc.prepaid, time.Now()))
}

// unclaimed returns the amount of a budget that no host can have claimed. The caller holds
// mu.
func (m *Manager) unclaimed(id record.BudgetID, alloc *allocation) record.Tokens {
	return max(0, alloc.prepaid-m.claims.Claimed(id)-m.claims.Unconfirmed(alloc.prepaid))
}

// Drain gives back the free amounts of all budgets, and what ends of the reserved ones from
// now on. Nothing more is claimed. It does not wait for the log.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for _, alloc := range m.allocations {
		alloc.returnFree()
	}
	m.wakeRun()
}

// Close gives back the free amounts of all budgets and writes the closing record. What is
// reserved then counts as spent. It retries until ctx ends, and then returns the cause.
func (m *Manager) Close(ctx context.Context) error {
	m.Drain()
	for ctx.Err() == nil {
		if err := m.round(ctx); err != nil {
			pause(ctx, retryDelay)
			continue
		}
		if m.allReturned() {
			return m.putClosing(ctx)
		}
	}
	return context.Cause(ctx)
}

func (m *Manager) allReturned() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.write != nil {
		return false
	}
	for _, alloc := range m.allocations {
		if alloc.pendingReturn != 0 {
			return false
		}
	}
	return true
}
