package shard

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/record"
)

// Errors of submissions. Operations of a failed submission may still take effect
// later. They are idempotent and can be submitted again.
var (
	// ErrLogUnavailable is returned if the log can't be read or did not accept a record.
	ErrLogUnavailable = errors.New("shard: the log is unreachable")
	// ErrNotReadBack is returned if the effect of an append is unknown.
	ErrNotReadBack = errors.New("shard: a record was not read back in time")
	// ErrClosed is returned after the service or the shard's replica has stopped.
	ErrClosed = errors.New("shard: service has stopped")
	// ErrNoShards is returned while the number of shards is unknown.
	ErrNoShards = errors.New("shard: the number of shards is not known yet")
)

// reconcileInterval is the time between checks of which shards to follow.
const reconcileInterval = time.Second

// Service follows shards, owns some of them and submits operations to the owners of the
// others. It is safe for concurrent use.
type Service struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// batchSeq is the sequence number of the last batch, counted over all shards since
	// this incarnation started.
	batchSeq atomic.Uint64

	mu         sync.Mutex
	closed     bool
	replicas   map[record.ShardID]*replica
	avoidUntil map[record.HostID]time.Time
	hints      map[record.ShardID]hint
	slowHosts  map[record.HostID]bool // hosts whose last recall timed out
	returner   Returner

	appends    metrics.Counter
	throttled  metrics.Counter
	resends    metrics.Counter
	snapshots  metrics.Counter
	takeovers  metrics.Counter
	difference metrics.Gauge
}

// hint is the owner of a shard according to another host.
type hint struct {
	owner record.HostID
	until time.Time
}

// NewService returns a service that accepts submissions at once. While Run is active, it
// also follows the shards that this host should own.
func NewService(opts Options) *Service {
	opts = opts.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	r := opts.Metrics
	return &Service{
		opts:       opts,
		ctx:        ctx,
		stop:       stop,
		replicas:   make(map[record.ShardID]*replica),
		avoidUntil: make(map[record.HostID]time.Time),
		hints:      make(map[record.ShardID]hint),
		slowHosts:  make(map[record.HostID]bool),
		appends:    metrics.GetOrRegisterCounter("shard.appends", r),
		throttled:  metrics.GetOrRegisterCounter("shard.throttled", r),
		resends:    metrics.GetOrRegisterCounter("shard.resends", r),
		snapshots:  metrics.GetOrRegisterCounter("shard.snapshots", r),
		takeovers:  metrics.GetOrRegisterCounter("shard.takeovers", r),
		difference: metrics.GetOrRegisterGauge("budget.difference", r),
	}
}

// SetReturner sets the Returner that recalls of this host's grants use. It must be
// called before the service is used.
func (s *Service) SetReturner(r Returner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returner = r
}

// Run follows the shards that this host should own and writes their snapshots until ctx
// ends. It then stops the service and returns nil; submissions fail from then on.
func (s *Service) Run(ctx context.Context) error {
	defer s.Stop()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile(time.Now())
		s.writeSnapshots(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Stop stops the service and waits for its goroutines.
func (s *Service) Stop() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	s.wg.Wait()
}

// reconcile follows the shards that this host should own and drops idle ones.
func (s *Service) reconcile(now time.Time) {
	count := s.opts.Shards()
	hosts := s.candidates()
	for id := record.ShardID(0); id < record.ShardID(count); id++ {
		if host, _ := hosts.best(shardKey(id), nil); host != s.opts.Self.Host {
			continue
		}
		if r, err := s.replica(id); err == nil {
			r.touch(now)
		}
	}
	s.dropIdle(now)
	s.checkSums()
}

// dropIdle stops following the shards that are idle.
func (s *Service) dropIdle(now time.Time) {
	for _, r := range s.all() {
		if !r.idle(now) {
			continue
		}
		s.mu.Lock()
		delete(s.replicas, r.id)
		s.mu.Unlock()
		r.stop()
		s.opts.Logger.V(1).Info("shard dropped", "shard", r.id)
	}
}

// checkSums sets the difference metric to the number of followed shards whose budgets
// do not add up, and logs each.
func (s *Service) checkSums() {
	failed := int64(0)
	for _, r := range s.all() {
		if err := r.check(); err != nil {
			failed++
			s.opts.Logger.Error(err, "budget does not add up", "shard", r.id)
		}
	}
	s.difference.Update(failed)
}

func (s *Service) all() []*replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*replica, 0, len(s.replicas))
	for _, r := range s.replicas {
		list = append(list, r)
	}
	return list
}

// replica returns this host's replica of a shard and starts it if needed.
func (s *Service) replica(id record.ShardID) (*replica, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	if r, ok := s.replicas[id]; ok {
		return r, nil
	}
	r := newReplica(s, id)
	s.replicas[id] = r
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		r.tail()
	}()
	go func() {
		defer s.wg.Done()
		r.write()
	}()
	return r, nil
}

// followed returns this host's replica of a shard if there is one.
func (s *Service) followed(id record.ShardID) (*replica, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.replicas[id]
	return r, ok
}

// goTracked runs f in a goroutine. Stop waits for it, unless Stop was called before.
func (s *Service) goTracked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		go f()
		return
	}
	s.wg.Go(f)
}

// jitter returns a random duration between d/2 and d.
func (s *Service) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.opts.Rand()*float64(d)/2)
}

// pause waits for d or until ctx ends, and reports whether d has passed.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
