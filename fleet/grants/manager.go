package grants

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

// housekeepingInterval is the time between checks for unused grants.
const housekeepingInterval = time.Second

// reserveWaitSamples is the sample size of the wait histogram.
const reserveWaitSamples = 1024

// Manager manages this host's grants. It implements [Reserver], [Claimer] and
// shard.Returner, and is safe for concurrent use.
type Manager struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	budgets  map[record.BudgetID]*allocation
	clients  map[record.ShardID]*shardClient
	claims   map[record.RequestKey]uint32 // attempt numbers of the claims that this host won
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

// New returns a manager that serves requests at once. Unused grants are
// returned only while Run runs.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	r := opts.Metrics
	return &Manager{
		opts:               opts,
		ctx:                ctx,
		stop:               stop,
		budgets:            make(map[record.BudgetID]*allocation),
		clients:            make(map[record.ShardID]*shardClient),
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

// Run returns unused grants until ctx ends. It does not close the manager, so
// that a graceful stop can still settle open reservations.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.ctx.Done():
			return nil
		case now := <-ticker.C:
			m.returnUnused(now)
		}
	}
}

// returnUnused queues the return of amounts that no request has used within
// the budget's recall delay.
func (m *Manager) returnUnused(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	for _, a := range m.budgets {
		if amount := a.unusedAmount(now); amount > 0 {
			a.returnFree(amount)
			m.opts.Logger.V(1).Info("unused grant returned", "budget", a.id, "amount", amount)
		}
	}
}

// allocation returns this host's allocation of a budget and creates it if needed.
// The caller holds m.mu.
func (m *Manager) allocation(id record.BudgetID) (*allocation, error) {
	current := m.opts.Settings.Current()
	if current == nil || current.Shards == 0 {
		return nil, ErrNoSettings
	}
	a, ok := m.budgets[id]
	if !ok {
		a = &allocation{
			id:     id,
			client: m.client(record.ShardOf(id, current.Shards)),
			rate:   rate{window: m.opts.RateWindow},
		}
		m.budgets[id] = a
		a.client.allocations = append(a.client.allocations, a)
	}
	a.policy = policyOf(current, id)
	return a, nil
}

func policyOf(current *settings.Resolved, id record.BudgetID) settings.BudgetPolicy {
	if budget, ok := current.Budget(id); ok {
		return budget.Policy
	}
	return defaultPolicy
}

// client returns the client of a shard and starts its loops if it is new.
// The caller holds m.mu.
func (m *Manager) client(id record.ShardID) *shardClient {
	if c, ok := m.clients[id]; ok {
		return c
	}
	c := newShardClient(m, id)
	m.clients[id] = c
	m.wg.Add(2)
	go func() {
		defer m.wg.Done()
		c.runGrants()
	}()
	go func() {
		defer m.wg.Done()
		c.runReports()
	}()
	return c
}

func (m *Manager) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.opts.Rand()*float64(d)/2)
}
