// Package wallet holds what this host has claimed of the prepaid budgets. It
// claims more through the platform's log before it runs out, borrows from other
// hosts when the log can't help, and reserves the cost of each request before it
// is sent.
package wallet

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

// Times of the wallet's own work.
const (
	// measureInterval is the time between looks at the purses. Refills that are
	// not urgent gather over it.
	measureInterval = 500 * time.Millisecond
	// maxReadAge is how long the sum of claims may be trusted without a read.
	maxReadAge = 200 * time.Millisecond
	// retryDelay is the mean time between calls to the log that fail.
	retryDelay = 250 * time.Millisecond
	// borrowTimeout bounds the time to ask the other hosts.
	borrowTimeout = 250 * time.Millisecond
	// logOverdueAfter is the time without an answer after which requests no longer wait
	// for the log: some dozens of its usual answers.
	logOverdueAfter = 200 * time.Millisecond
)

// retryBackoff spaces the calls of Run that fail, as the limit on calls is shared by all hosts.
var retryBackoff = admission.Backoff{Initial: retryDelay, Max: 4 * retryDelay}

// Borrower borrows from other hosts.
type Borrower interface {
	// Borrow asks the other hosts for an amount and returns what they gave,
	// which may be more than nothing and less than asked.
	Borrow(ctx context.Context, budget record.BudgetID, amount record.Tokens) record.Tokens
}

// Options configure a [Wallet].
type Options struct {
	Host record.HostID
	Log  platform.KeyedLog
	// Stream is the stream of the hosts' claims.
	Stream string
	// Hosts returns the number of hosts that are alive, this one included.
	Hosts func() int
	// Spacing returns the least time between two rounds of calls to the log, whose
	// limit all hosts share; nil means none.
	Spacing  func() time.Duration
	Borrower Borrower
	Policy   escrow.Policy
	Logger   logr.Logger
	Metrics  metrics.Registry
}

// Wallet holds this host's parts of the budgets. It implements bank.Reserver.
type Wallet struct {
	opt    Options
	log    logr.Logger
	meters meters

	mu sync.Mutex
	// policy is that of the options, or a careful one after a crash.
	policy         escrow.Policy
	claims         *escrow.ClaimTable
	allocations    map[record.BudgetID]*allocation
	synced         bool
	nextOffset     record.Offset
	readAt         time.Time
	logUnreachable bool // the last call to the log failed
	closing        bool

	// epoch and seq number this run's writes; write is the one whose effect is
	// not known yet.
	epoch uint64
	seq   uint64
	write *write
	wake  chan struct{}
	// roundSem is taken by the round that calls the log: Run's or Close's.
	roundSem chan struct{}
}

var _ bank.Reserver = (*Wallet)(nil)

// allocation is the wallet's state of one budget.
type allocation struct {
	escrow.Allocation
	prepaid record.Tokens
	// pendingReturn is to be returned with the next write. It is no longer free.
	pendingReturn record.Tokens
	// overclaimed is true while more is claimed than is left of a budget that was overclaimed:
	// what requests leave over is then given back.
	overclaimed bool
	waiting     []*waiter
}

// waiter is a request that waits for its reservation.
type waiter struct {
	amount record.Tokens
	done   chan error
}

// New returns a wallet that holds nothing; Run starts it.
func New(opt Options) *Wallet {
	return &Wallet{
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

// SetTable takes in the budgets of the configuration in force. Where a budget was
// cut, all that is free is given back, since the rest may be spent already.
func (w *Wallet) SetTable(t *routes.Table) {
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

// returnFree gives back all that is free.
func (a *allocation) returnFree() {
	free := max(0, a.Free)
	a.pendingReturn += free
	a.Remove(free)
}

func (w *Wallet) allocation(id record.BudgetID) *allocation {
	alloc, ok := w.allocations[id]
	if !ok {
		alloc = &allocation{}
		w.allocations[id] = alloc
	}
	return alloc
}

func (w *Wallet) wakeRun() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run keeps the purses filled until ctx ends.
func (w *Wallet) Run(ctx context.Context) error {
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
		// Claims that are wanted meanwhile gather.
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

// spacing returns the least time between two rounds.
func (w *Wallet) spacing() time.Duration {
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

func (w *Wallet) measure(now time.Time) {
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

// updateGauges sets the metrics of what the purses hold. The caller holds mu.
func (w *Wallet) updateGauges() {
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

func (w *Wallet) markUnreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.logUnreachable {
		w.log.Info("Log lost.", "error", err.Error())
	}
	w.logUnreachable = true
	// Those that wait for the log would wait in vain.
	for id, alloc := range w.allocations {
		w.refuseWaiting(id, alloc, true)
	}
}

// refuseWaiting ends the wait of all requests for a budget. The caller holds mu.
func (w *Wallet) refuseWaiting(id record.BudgetID, alloc *allocation, unreachable bool) {
	for _, each := range alloc.waiting {
		each.done <- &bank.RefusedError{Budget: id, Wanted: each.amount, Available: w.unclaimed(id, alloc), Unreachable: unreachable}
	}
	alloc.waiting = nil
}

func (w *Wallet) unclaimed(id record.BudgetID, alloc *allocation) record.Tokens {
	return max(0, alloc.prepaid-w.claims.Claimed(id))
}

// Close gives back all that is free, as far as the log can be reached.
func (w *Wallet) Close(ctx context.Context) error {
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

func (w *Wallet) allReturned() bool {
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
