package shard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
)

// Delays after failed reads.
const (
	minReadBackoff = 20 * time.Millisecond
	maxReadBackoff = time.Second
)

// replica is this host's replica of one shard: the fold of its stream, and the queue of
// operations to append to it.
type replica struct {
	svc    *Service
	id     record.ShardID
	stream string
	ctx    context.Context
	stop   context.CancelFunc
	ready  chan struct{} // closed once the fold is loaded

	mu         sync.Mutex
	fold       *shardfold.Fold
	loaded     bool
	caughtUpAt time.Time // when a read last reached the end of the stream
	lastUsed   time.Time
	epoch      record.Offset // epoch that this host opened, zero if it does not own the shard
	pending    map[uint64]chan readBack
	recalls    map[record.BudgetID]*recall

	snapshotAt     time.Time
	snapshotOffset record.Offset

	queue queue
}

// readBack is the offset and the results of a batch of this host, from the fold.
type readBack struct {
	offset  record.Offset
	results []ledger.Result
}

func newReplica(s *Service, id record.ShardID) *replica {
	ctx, stop := context.WithCancel(s.ctx)
	return &replica{
		svc:      s,
		id:       id,
		stream:   record.StreamOfShard(id),
		ctx:      ctx,
		stop:     stop,
		ready:    make(chan struct{}),
		fold:     shardfold.New(shardfold.Options{}),
		pending:  make(map[uint64]chan readBack),
		recalls:  make(map[record.BudgetID]*recall),
		lastUsed: time.Now(),
		queue:    newQueue(),
	}
}

func (r *replica) touch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUsed = now
}

// idle reports whether the shard may be dropped: it has been unused for
// Options.IdleTime, this host does not own it, and the log is reachable, so that this
// replica is not the last copy.
func (r *replica) idle(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := now.Sub(r.caughtUpAt) < 2*r.svc.opts.PollWait
	return fresh && r.epoch == 0 && now.Sub(r.lastUsed) > r.svc.opts.IdleTime
}

func (r *replica) check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.Check()
}

// waitLoaded waits until the fold can be used.
func (r *replica) waitLoaded(ctx context.Context) error {
	select {
	case <-r.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return ErrClosed
	}
}

// tail reads and folds the stream until the replica stops.
func (r *replica) tail() {
	wait := backoff{low: minReadBackoff, high: maxReadBackoff}
	for r.ctx.Err() == nil {
		err := r.readOnce()
		if err == nil {
			wait.reset()
			continue
		}
		if r.ctx.Err() != nil {
			return
		}
		r.svc.opts.Logger.V(1).Info("read failed", "shard", r.id, "error", err.Error())
		pause(r.ctx, r.svc.jitter(wait.increase()))
	}
}

func (r *replica) readOnce() error {
	if !r.isLoaded() {
		if err := r.load(r.ctx); err != nil {
			return err
		}
	}
	entries, err := r.svc.opts.Log.Read(r.ctx, r.stream, r.offset()+1, r.svc.opts.ReadLimit, r.svc.opts.PollWait)
	if errors.Is(err, platform.ErrTrimmed) {
		return r.load(r.ctx)
	}
	if err != nil {
		return err
	}
	return r.apply(entries)
}

func (r *replica) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

func (r *replica) offset() record.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.Offset()
}

// apply folds entries and delivers the results of this host's batches.
func (r *replica) apply(entries []record.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		batch, results, err := r.fold.ApplyBatch(entry)
		if err != nil {
			return err
		}
		r.updateEpoch()
		r.deliver(entry.Offset, batch, results)
	}
	if len(entries) < r.svc.opts.ReadLimit {
		r.caughtUpAt = time.Now()
	}
	return nil
}

// updateEpoch updates epoch after the fold has changed. The caller holds mu.
func (r *replica) updateEpoch() {
	if r.fold.Owner() == r.svc.opts.Self {
		r.epoch = r.fold.Epoch()
		return
	}
	if r.epoch != 0 {
		r.svc.opts.Logger.Info("shard ownership lost", "shard", r.id, "owner", r.fold.Owner().String(), "epoch", r.fold.Epoch())
	}
	r.epoch = 0
}

func (r *replica) deliver(offset record.Offset, batch *record.Batch, results []ledger.Result) {
	if batch == nil || batch.Writer != r.svc.opts.Self {
		return
	}
	if ch, ok := r.pending[batch.Seq]; ok {
		delete(r.pending, batch.Seq)
		ch <- readBack{offset: offset, results: results}
	}
}

// addPending returns a channel that receives the results of this host's batch with
// sequence number seq.
func (r *replica) addPending(seq uint64) chan readBack {
	ch := make(chan readBack, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[seq] = ch
	return ch
}

func (r *replica) removePending(seq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, seq)
}

// ownsLocked reports whether this host owns the shard and its replica is fresh. The
// caller holds mu.
func (r *replica) ownsLocked(now time.Time) bool {
	return r.epoch != 0 && now.Sub(r.caughtUpAt) < 2*r.svc.opts.PollWait
}
