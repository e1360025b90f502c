// Package wallet keeps this host's allocations of the prepaid budgets. It claims
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
	"github.com/hazelworks/hazelworks/fleet/bank"
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
	// Hosts returns the number of live hosts, including this one.
	Hosts func() int
	// Spacing returns the minimum time between two rounds of calls to the log, whose
	// limit all hosts share. Nil means no minimum.
	Spacing  func() time.Duration
	Borrower Borrower
	Policy   escrow.Policy
	Logger   logr.Logger
	Metrics  metrics.Registry
}

// Manager keeps this host's allocations of all budgets. It implements bank.Reserver
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
	nextOffset     record.Offset
	readAt         time.Time
	logUnreachable bool // the last call to the log failed or is overdue
	closing        bool

	// epoch and seq number this run's writes. write is the write whose effect is not
	// known yet, or nil.
	epoch uint64
	seq   uint64
	write *write
	wake  chan struct{}
	// roundSem is a semaphore for the round that calls the log, of Run or Close.
	roundSem chan struct{}
}

var _ bank.Reserver = (*Manager)(nil)

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
}

// waiter is a request that waits for its reservation.
type waiter struct {
	amount record.Tokens
	done   chan error
}

// New returns a wallet with no allocations. Run must be called to fill them.
func New(opt Options) *Manager {
	return &Manager{
		opt:         opt,
		log:         opt.Logger.WithName("wallet"),
		meters:      newMeters(opt.Metrics),
		policy:      opt.Policy,
		claims:      escrow.NewClaimTable(),
		allocations: make(map[record.BudgetID]*allocation),
		wake:        make(chan struct{}, 1),

		roundSem: make(chan struct{}, 1),
	}
}

// SetTable applies the budgets of the active configuration. Where a budget was cut,
// the whole free amount is given back, since the rest of the budget may be spent
// already.
func (w *Manager) SetTable(t *routes.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range t.Accounts {
		a := &t.Accounts[i]
		if !a.Metered {
			continue
		}
		alloc := w.allocation(record.BudgetID(a.Name))
		if a.Prepaid < alloc.prepaid {
			w.log.Info("Budget cut.", "budget", a.Name, "from", alloc.prepaid, "to", a.Prepaid, "returned", alloc.Free)
			alloc.overclaimed = true
			alloc.returnFree()
		}
		alloc.prepaid = a.Prepaid
	}
	w.wakeRun()
}

// returnFree gives back the whole free amount with the next write.
func (a *allocation) returnFree() {
	free := max(0, a.Free)
	a.pendingReturn += free
	a.Remove(free)
}

func (w *Manager) allocation(id record.BudgetID) *allocation {
	alloc, ok := w.allocations[id]
	if !ok {
		alloc = &allocation{}
		w.allocations[id] = alloc
	}
	return alloc
}

func (w *Manager) wakeRun() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run keeps the allocations filled until ctx ends. It always returns nil.
func (w *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(measureInterval)
	defer tick.Stop()
	throttled := 0
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			w.measure(now)
		case <-w.wake:
		}
		// Claims that become due during the pause share one write.
		pause(ctx, w.spacing()-time.Since(last))
		last = time.Now()
		overdue := time.AfterFunc(logOverdueAfter, func() { w.markUnreachable(ctx, errOverdue) })
		err := w.round(ctx)
		overdue.Stop()
		if err == nil {
			throttled = 0
			continue
		}
		throttled = admission.CountThrottled(throttled, err)
		w.markUnreachable(ctx, err)
		pause(ctx, retryBackoff.Delay(1+throttled, rand.Float64()))
	}
}

var errOverdue = errors.New("wallet: the log's answer is overdue")

// spacing returns the minimum time between two rounds.
func (w *Manager) spacing() time.Duration {
	if w.opt.Spacing == nil {
		return 0
	}
	return w.opt.Spacing()
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

func (w *Manager) measure(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, alloc := range w.allocations {
		alloc.UpdateRate(now)
		if !w.logUnreachable {
			alloc.RaiseCover(w.policy, measureInterval)
		}
		alloc.overclaimed = alloc.overclaimed && w.claims.Claimed(id) > alloc.prepaid
	}
	w.updateGauges()
}

// updateGauges sets the metrics of the allocations. The caller holds mu.
func (w *Manager) updateGauges() {
	free, reserved, difference := record.Tokens(0), record.Tokens(0), record.Tokens(0)
	for _, alloc := range w.allocations {
		free += alloc.Free
		reserved += alloc.Reserved
		difference += alloc.Difference()
	}
	w.meters.free.Update(int64(free))
	w.meters.reserved.Update(int64(reserved))
	w.meters.difference.Update(int64(difference))
}

func (w *Manager) markUnreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.logUnreachable {
		w.log.Info("Log lost.", "error", err.Error())
	}
	w.logUnreachable = true
	// Requests that wait for a claim can't be served until the log answers again.
	for id, alloc := range w.allocations {
		w.refuseWaiting(id, alloc, true)
	}
}

// refuseWaiting ends the wait of all requests for a budget. The caller holds mu.
func (w *Manager) refuseWaiting(id record.BudgetID, alloc *allocation, unreachable bool) {
	for _, each := range alloc.waiting {
		each.done <- &bank.RefusedError{Budget: id, Wanted: each.amount, Available: w.unclaimed(id, alloc), Unreachable: unreachable}
	}
	alloc.waiting = nil
}

func (w *Manager) unclaimed(id record.BudgetID, alloc *allocation) record.Tokens {
	return max(0, alloc.prepaid-w.claims.Claimed(id))
}

// Close gives back the free amounts of all budgets and writes the closing claim. It
// retries until ctx ends, and then returns the cause.
func (w *Manager) Close(ctx context.Context) error {
	w.mu.Lock()
	w.closing = true
	for _, alloc := range w.allocations {
		alloc.returnFree()
	}
	w.mu.Unlock()
	for ctx.Err() == nil {
		if err := w.round(ctx); err != nil {
			pause(ctx, retryDelay)
			continue
		}
		if w.allReturned() {
			return w.putClosing(ctx)
		}
	}
	return context.Cause(ctx)
}

func (w *Manager) allReturned() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.write != nil {
		return false
	}
	for _, alloc := range w.allocations {
		if alloc.pendingReturn != 0 {
			return false
		}
	}
	return true
}
