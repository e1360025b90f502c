// Package settingswatch keeps the settings tree of a host up to date. It follows
// the settings stream of the log, requests missing changes from other hosts while
// the log is unreachable, and appends snapshots before the log trims the changes.
package settingswatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
)

// Options configures a Watcher. Log is required.
type Options struct {
	Log platform.Log
	// View returns the other hosts. If it is nil, only the log is used, and no
	// snapshots are appended.
	View    member.View
	Logger  logr.Logger
	Metrics metrics.Registry
	// Poll is how long a read of the log waits for new entries; default 20 s.
	Poll time.Duration
	// SnapshotRefresh is the age of the newest snapshot at which a new one is
	// appended even if nothing has changed; default 5 min. It must be well below
	// the log's retention time.
	SnapshotRefresh time.Duration
	// Rand is the source of jitter; nil means a random seed.
	Rand *rand.Rand
}

const (
	defaultPoll            = 20 * time.Second
	defaultSnapshotRefresh = 5 * time.Minute
	minBackoff             = 200 * time.Millisecond
	maxBackoff             = 3 * time.Second
	readLimit              = 256
)

func (o *Options) setDefaults() {
	if o.Poll <= 0 {
		o.Poll = defaultPoll
	}
	if o.SnapshotRefresh <= 0 {
		o.SnapshotRefresh = defaultSnapshotRefresh
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// Watcher follows the settings tree. It implements settings.Source and is safe
// for concurrent use.
type Watcher struct {
	opts    Options
	logger  logr.Logger
	meters  meters
	jitter  jitter
	current atomic.Pointer[settings.Resolved]

	mu      sync.Mutex
	fold    *settings.Fold
	tail    tail
	changed chan struct{}
	// lastRead is the time of the last successful read of the log, and logErr the
	// error of the last read, or nil.
	lastRead    time.Time
	logErr      error
	unsupported bool
	// caughtUp is true once the settings are as new as could be known at the start:
	// the fold has reached startHead, the head of the settings stream at that time,
	// or other hosts gave settings while the log was unreachable. No settings are
	// in force before.
	caughtUp       bool
	startHead      record.Offset
	startHeadKnown bool
}

var _ settings.Source = (*Watcher)(nil)

// New returns a watcher without settings. Run fills it.
func New(opts Options) *Watcher {
	opts.setDefaults()
	return &Watcher{
		opts:    opts,
		logger:  opts.Logger.WithName("settings"),
		meters:  newMeters(opts.Metrics),
		jitter:  jitter{rand: opts.Rand},
		fold:    settings.NewFold(),
		changed: make(chan struct{}),
	}
}

// Run keeps the settings up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.followLog(ctx) })
	if w.opts.View != nil {
		group.Go(func() error { return w.followPeers(ctx) })
		group.Go(func() error { return w.writeSnapshots(ctx) })
	}
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Current returns the settings in force, or nil before the first are known.
func (w *Watcher) Current() *settings.Resolved {
	return w.current.Load()
}

// Version returns the version in force, or zero.
func (w *Watcher) Version() record.Offset {
	if current := w.current.Load(); current != nil {
		return current.Version
	}
	return 0
}

// Changed returns a channel that is closed after the next entries or snapshot have
// been applied.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// CaughtUp reports whether the settings are as new as could be known when the
// host started. It is true for a fleet without settings.
func (w *Watcher) CaughtUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.caughtUp
}

// State is the state of a [Watcher].
type State struct {
	// Version is the version in force, Position the last offset read.
	Version  record.Offset
	Position record.Offset
	// LastRead is the time of the last successful read of the log. LogErr is the
	// error of the last read, or nil.
	LastRead time.Time
	LogErr   error
	// Unsupported is true if the tree needs a newer program than this host's.
	Unsupported bool
}

// State returns the current state.
func (w *Watcher) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return State{
		Version:     w.Version(),
		Position:    w.fold.Position(),
		LastRead:    w.lastRead,
		LogErr:      w.logErr,
		Unsupported: w.unsupported,
	}
}

// Tree returns the declared tree in force and its version.
func (w *Watcher) Tree() (*jsontree.Node, record.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fold.Tree(), w.fold.Version()
}

// History returns up to limit of the newest decisions, newest first.
func (w *Watcher) History(limit int) []*settings.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fold.History(limit)
}

// Decision returns the decision on the change with the given ID, if it is known.
func (w *Watcher) Decision(id string) (*settings.Decision, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fold.Decision(id)
}

// Ready returns an error if requests cannot be served because no settings are in
// force.
func (w *Watcher) Ready() error {
	if w.Current() == nil {
		return errors.New("settings are not known yet")
	}
	return nil
}

// applyEntries applies entries in order and wakes the waiters of Changed. It stops
// at the first error and returns it. from names the source in logs.
func (w *Watcher) applyEntries(entries []record.Entry, from string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var failed error
	for _, e := range entries {
		before := w.fold.Position()
		result := w.fold.Apply(e)
		if w.fold.Position() > before {
			w.tail.add(e)
		}
		w.recordResult(e.Offset, result, from)
		if result.Err != nil {
			failed = result.Err
			break
		}
	}
	w.publishLocked()
	return failed
}

// restore applies a snapshot that is ahead of the fold, and ignores others.
func (w *Watcher) restore(s *settings.Snapshot, from string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.fold.Version()
	restored, err := w.fold.Restore(s)
	if err != nil || !restored {
		return err
	}
	w.tail.reset()
	w.unsupported = false
	w.logger.Info("restored a snapshot", "from", from, "covers", s.Covers, "version", s.Version, "before", before)
	w.publishLocked()
	return nil
}

func (w *Watcher) publishLocked() {
	if w.caughtUp {
		w.current.Store(w.fold.Current())
		w.meters.version.Update(int64(w.fold.Version()))
	}
	w.meters.position.Update(int64(w.fold.Position()))
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) recordResult(offset record.Offset, result settings.ChangeResult, from string) {
	if errors.Is(result.Err, settings.ErrUnsupported) && !w.unsupported {
		w.unsupported = true
		w.logger.Error(result.Err, "cannot apply newer settings; keeping the current ones until this host runs a newer program", "offset", offset)
	}
	d := result.Decision
	if d == nil {
		return
	}
	w.meters.count(result.Status)
	w.logger.Info("decided on a change", "offset", offset, "status", result.Status.String(), "id", d.ID, "by", d.By, "from", from)
}
