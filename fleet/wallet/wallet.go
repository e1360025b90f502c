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
	"github.com/hazelworks/hazelworks/fleet/grants"
)

// Times of the wallet's own work.
const (
	// measureInterval is the time between looks at the purses. Refills that are
	// not urgent gather over it.
	measureInterval = 500 * time.Millisecond
	// freshFor is how long the sum of claims may be trusted without a read.
	freshFor = 200 * time.Millisecond
	// retryPause is the mean time between calls to the log that fail.
	retryPause = 250 * time.Millisecond
	// borrowTimeout bounds the time to ask the other hosts.
	borrowTimeout = 250 * time.Millisecond
	// lostAfter is the time without an answer after which requests no longer wait
	// for the log: some dozens of its usual answers.
	lostAfter = 200 * time.Millisecond
)

// retry spaces the calls of Run that fail, as the limit on calls is shared by all hosts.
var retry = admission.Backoff{Initial: retryPause, Max: 4 * retryPause}

// Lender borrows from other hosts.
type Lender interface {
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
	Spacing func() time.Duration
	Lender  Lender
	Policy  escrow.Policy
	Logger  logr.Logger
	Metrics metrics.Registry
}

// Wallet holds this host's parts of the budgets. It implements grants.Reserver.
type Wallet struct {
	opt    Options
	log    logr.Logger
	meters meters

	mu sync.Mutex
	// policy is that of the options, or a careful one after a crash.
	policy  escrow.Policy
	book    *escrow.ClaimTable
	purses  map[record.BudgetID]*purse
	synced  bool
	next    record.Offset
	readAt  time.Time
	lost    bool // the last call to the log failed
	closing bool

	// epoch and seq number this run's writes; write is the one whose effect is
	// not known yet.
	epoch uint64
	seq   uint64
	write *write
	wake  chan struct{}
	// calling is taken by the round that calls the log: Run's or Close's.
	calling chan struct{}
}

var _ grants.Reserver = (*Wallet)(nil)

// purse is the wallet's state of one budget.
type purse struct {
	escrow.Allocation
	prepaid record.Tokens
	// giveBack is to be returned with the next write. It is no longer free.
	giveBack record.Tokens
	// cut is true while more is claimed than is left of a budget that was cut:
	// what requests leave over is then given back.
	cut     bool
	waiting []*waiter
}

// waiter is a request that waits for its reservation.
type waiter struct {
	amount record.Tokens
	done   chan error
}

// New returns a wallet that holds nothing; Run starts it.
func New(opt Options) *Wallet {
	return &Wallet{
		opt:    opt,
		log:    opt.Logger.WithName("wallet"),
		meters: newMeters(opt.Metrics),
		policy: opt.Policy,
		book:   escrow.NewClaimTable(),
		purses: make(map[record.BudgetID]*purse),
		wake:   make(chan struct{}, 1),

		calling: make(chan struct{}, 1),
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
		p := w.purse(record.BudgetID(a.Name))
		if a.Prepaid < p.prepaid {
			w.log.Info("Budget cut.", "budget", a.Name, "from", p.prepaid, "to", a.Prepaid, "returned", p.Free)
			p.cut = true
			p.returnFree()
		}
		p.prepaid = a.Prepaid
	}
	w.nudge()
}

// returnFree gives back all that is free.
func (p *purse) returnFree() {
	free := max(0, p.Free)
	p.giveBack += free
	p.Remove(free)
}

func (w *Wallet) purse(id record.BudgetID) *purse {
	p, ok := w.purses[id]
	if !ok {
		p = &purse{}
		w.purses[id] = p
	}
	return p
}

func (w *Wallet) nudge() {
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
		overdue := time.AfterFunc(lostAfter, func() { w.failed(ctx, errOverdue) })
		err := w.round(ctx)
		overdue.Stop()
		if err == nil {
			throttled = 0
			continue
		}
		throttled = admission.CountThrottled(throttled, err)
		w.failed(ctx, err)
		pause(ctx, retry.Delay(1+throttled, rand.Float64()))
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
	for id, p := range w.purses {
		p.UpdateRate(now)
		if !w.lost {
			p.RaiseCover(w.policy, measureInterval)
		}
		p.cut = p.cut && w.book.Claimed(id) > p.prepaid
	}
	w.gauge()
}

// gauge sets the metrics of what the purses hold. The caller holds mu.
func (w *Wallet) gauge() {
	free, reserved, difference := record.Tokens(0), record.Tokens(0), record.Tokens(0)
	for _, p := range w.purses {
		free += p.Free
		reserved += p.Reserved
		difference += p.Difference()
	}
	w.meters.free.Update(int64(free))
	w.meters.reserved.Update(int64(reserved))
	w.meters.difference.Update(int64(difference))
}

func (w *Wallet) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lost {
		w.log.Info("Log lost.", "error", err.Error())
	}
	w.lost = true
	// Those that wait for the log would wait in vain.
	for id, p := range w.purses {
		w.refuseWaiting(id, p, true)
	}
}

// refuseWaiting ends the wait of all requests for a budget. The caller holds mu.
func (w *Wallet) refuseWaiting(id record.BudgetID, p *purse, unreachable bool) {
	for _, each := range p.waiting {
		each.done <- &grants.RefusedError{Budget: id, Wanted: each.amount, Available: w.left(id, p), Unreachable: unreachable}
	}
	p.waiting = nil
}

func (w *Wallet) left(id record.BudgetID, p *purse) record.Tokens {
	return max(0, p.prepaid-w.book.Claimed(id))
}

// Close gives back all that is free, as far as the log can be reached.
func (w *Wallet) Close(ctx context.Context) error {
	w.mu.Lock()
	w.closing = true
	for _, p := range w.purses {
		p.returnFree()
	}
	w.mu.Unlock()
	for ctx.Err() == nil {
		if err := w.round(ctx); err != nil {
			pause(ctx, retryPause)
			continue
		}
		if w.settled() {
			return w.putClosing(ctx)
		}
	}
	return context.Cause(ctx)
}

func (w *Wallet) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.write != nil {
		return false
	}
	for _, p := range w.purses {
		if p.giveBack != 0 {
			return false
		}
	}
	return true
}
