package bank

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

// housekeepingInterval is the time between looks for unused grants.
const housekeepingInterval = time.Second

// reserveWaitSamples is the number of waits kept for the histogram.
const reserveWaitSamples = 1024

// Manager holds this host's grants. It implements [Reserver], [Claimer] and
// shard.Returner, and is safe for concurrent use.
type Manager struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	budgets  map[record.BudgetID]*holding
	accounts map[record.ShardID]*account
	claims   map[record.RequestKey]uint32 // attempts of the claims won
	attempts atomic.Uint32

	refusedSpent       metrics.Counter
	refusedHeld        metrics.Counter
	refusedUnreachable metrics.Counter
	reserveWait        metrics.Histogram // microseconds
	grants             metrics.Counter
	reports            metrics.Counter
	settled            metrics.Counter
	unbilled           metrics.Counter
}

var (
	_ Reserver       = (*Manager)(nil)
	_ Claimer        = (*Manager)(nil)
	_ shard.Returner = (*Manager)(nil)
)

// New returns a bank that works from the start; Run adds the return of unused
// grants.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	r := opts.Metrics
	return &Manager{
		opts:               opts,
		ctx:                ctx,
		stop:               stop,
		budgets:            make(map[record.BudgetID]*holding),
		accounts:           make(map[record.ShardID]*account),
		claims:             make(map[record.RequestKey]uint32),
		refusedSpent:       metrics.GetOrRegisterCounter("bank.refused.spent", r),
		refusedHeld:        metrics.GetOrRegisterCounter("bank.refused.held", r),
		refusedUnreachable: metrics.GetOrRegisterCounter("bank.refused.unreachable", r),
		reserveWait:        metrics.GetOrRegisterHistogram("bank.reserve.wait_us", r, metrics.NewUniformSample(reserveWaitSamples)),
		grants:             metrics.GetOrRegisterCounter("bank.grants", r),
		reports:            metrics.GetOrRegisterCounter("bank.reports", r),
		settled:            metrics.GetOrRegisterCounter("bank.settled", r),
		unbilled:           metrics.GetOrRegisterCounter("bank.unbilled", r),
	}
}

// Run gives unused grants back until ctx ends. It does not close the bank, so
// that a graceful stop can settle what is still open.
func (b *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.ctx.Done():
			return nil
		case now := <-ticker.C:
			b.returnUnused(now)
		}
	}
}

// returnUnused queues the return of what no request has used within the
// budget's recall delay.
func (b *Manager) returnUnused(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	for _, h := range b.budgets {
		if amount := h.unused(now); amount > 0 {
			h.giveBack(amount)
			b.opts.Logger.V(1).Info("unused grant returned", "budget", h.id, "amount", amount)
		}
	}
}

// holding returns the state of a budget on this host. The caller holds b.mu.
func (b *Manager) holding(id record.BudgetID) (*holding, error) {
	current := b.opts.Settings.Current()
	if current == nil || current.Shards == 0 {
		return nil, ErrNoSettings
	}
	h, ok := b.budgets[id]
	if !ok {
		h = &holding{
			id:      id,
			account: b.account(record.ShardOf(id, current.Shards)),
			rate:    rate{window: b.opts.RateWindow},
		}
		b.budgets[id] = h
		h.account.holdings = append(h.account.holdings, h)
	}
	h.policy = policyOf(current, id)
	return h, nil
}

func policyOf(current *settings.Resolved, id record.BudgetID) settings.BudgetPolicy {
	if budget, ok := current.Budget(id); ok {
		return budget.Policy
	}
	return defaultPolicy
}

// account returns this host's dealings with a shard and starts them if needed.
// The caller holds b.mu.
func (b *Manager) account(id record.ShardID) *account {
	if a, ok := b.accounts[id]; ok {
		return a
	}
	a := newAccount(b, id)
	b.accounts[id] = a
	b.wg.Add(2)
	go func() {
		defer b.wg.Done()
		a.runGrants()
	}()
	go func() {
		defer b.wg.Done()
		a.runReports()
	}()
	return a
}

func (b *Manager) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.opts.Rand()*float64(d)/2)
}
