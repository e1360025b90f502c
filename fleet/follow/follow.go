// Package follow reads a keyed stream of the platform's log as it grows.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/platform"
)

// Options configure a [Follower].
type Options struct {
	Log    platform.KeyedReader
	Stream string
	// Wait is how long a read waits for records. It bounds the time until a silent
	// connection is noticed.
	Wait time.Duration
	// Pause returns the time between reads, in which records gather. Each call to the
	// log is charged, and all hosts share a limit on calls.
	Pause func() time.Duration
	// Retry is the backoff after failed calls.
	Retry admission.Backoff
	// Snapshot applies the newest record of each key, at the start and after trimming of
	// the log. Keys that are not among the records no longer exist.
	Snapshot func([]platform.KeyedRecord)
	// Rewound applies, in place of Snapshot, the newest records after the log came back
	// from an older copy. They may be older than those applied before, and keys may be
	// missing that are written again soon. Rewound may be nil.
	Rewound func([]platform.KeyedRecord)
	// Records applies new records, in order.
	Records func([]platform.KeyedRecord)
	// Position is called with the position up to which records reach, before they are
	// applied. Position may be nil.
	Position func(platform.Position)
	// Regained is called when the log is reachable again, before new records are
	// applied. lost is the duration of the outage. Regained may be nil.
	Regained func(lost time.Duration)
	// Read is called after each successful read, once its records were applied. Read may be
	// nil.
	Read func()
	// NewestOnly is true if older records of a key don't matter. After a failure, or if records come
	// faster than they can be read, the newest ones are read in their place.
	NewestOnly bool
	Logger     logr.Logger
}

// Follower reads the newest records of a keyed stream and then follows it.
type Follower struct {
	opt    Options
	next   platform.Position
	synced bool
	// loaded is true once records were loaded, in the era of next.
	loaded bool
	lostAt time.Time
	// failures is the number of failed reads since lostAt, and loggedAt when the last one was
	// logged.
	failures int
	loggedAt time.Time
	// throttled is the number of calls in a row that were throttled by the log's limit.
	throttled int
}

// New returns a follower; Run starts it.
func New(opt Options) *Follower {
	return &Follower{opt: opt}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		if err := f.step(ctx); err != nil {
			f.recordFailure(ctx, time.Since(began), err)
			f.throttled = admission.CountThrottled(f.throttled, err)
			sleep(ctx, f.opt.Retry.Delay(1+f.throttled, rand.Float64()))
			continue
		}
		f.throttled = 0
		sleep(ctx, f.opt.Pause())
	}
	return nil
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if !f.synced || f.opt.NewestOnly && !f.lostAt.IsZero() {
		return f.load(ctx)
	}
	began := time.Now()
	records, next, err := f.opt.Log.Follow(ctx, f.opt.Stream, f.next, f.opt.Wait)
	if errors.Is(err, platform.ErrTrimmed) || errors.Is(err, platform.ErrRewound) {
		f.synced = false
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.position(next)
	if len(records) > 0 {
		f.opt.Records(records)
	}
	f.next = next
	f.read()
	if f.opt.NewestOnly && time.Since(began) >= slowRead && hasOlder(records) {
		f.synced = false
	}
	return nil
}

// slowRead is the time from which a read that returns several records of a key is too slow to follow
// each of them.
const slowRead = 500 * time.Millisecond

// hasOlder reports whether there are several records of a key.
func hasOlder(records []platform.KeyedRecord) bool {
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		if seen[r.Key] {
			return true
		}
		seen[r.Key] = true
	}
	return false
}

func (f *Follower) position(p platform.Position) {
	if f.opt.Position != nil {
		f.opt.Position(p)
	}
}

func (f *Follower) read() {
	if f.opt.Read != nil {
		f.opt.Read()
	}
}

func (f *Follower) load(ctx context.Context) error {
	records, next, err := f.opt.Log.Newest(ctx, f.opt.Stream)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.position(next)
	f.apply(records, next)
	f.next = next
	f.synced, f.loaded = true, true
	f.read()
	return nil
}

// apply applies the newest records.
func (f *Follower) apply(records []platform.KeyedRecord, next platform.Position) {
	if !f.loaded || next.Era == f.next.Era {
		f.opt.Snapshot(records)
		return
	}
	f.opt.Logger.Info("Stream is of a new era.", "stream", f.opt.Stream, "era", next.Era, "before", f.next.Era,
		"offset", next.Offset, "offset_before", f.next.Offset, "records", len(records))
	if f.opt.Rewound != nil {
		f.opt.Rewound(records)
		return
	}
	f.opt.Snapshot(records)
}

// failureLogInterval is the least time between two log lines about failed reads.
const failureLogInterval = time.Second

func (f *Follower) recordFailure(ctx context.Context, took time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	f.failures++
	if !f.lostAt.IsZero() {
		if now.Sub(f.loggedAt) >= failureLogInterval {
			f.loggedAt = now
			f.opt.Logger.Info("Stream still lost.", "stream", f.opt.Stream, "offset", f.next.Offset, "lost", now.Sub(f.lostAt), "failures", f.failures, "took", took, "error", err.Error())
		}
		return
	}
	f.lostAt, f.loggedAt = now, now
	f.opt.Logger.Info("Stream lost.", "stream", f.opt.Stream, "era", f.next.Era, "offset", f.next.Offset, "took", took, "error", err.Error())
}

func (f *Follower) recordSuccess() {
	if f.lostAt.IsZero() {
		return
	}
	lost := time.Since(f.lostAt)
	f.opt.Logger.Info("Stream regained.", "stream", f.opt.Stream, "era", f.next.Era, "offset", f.next.Offset, "lost", lost, "failures", f.failures)
	f.lostAt, f.failures = time.Time{}, 0
	if f.opt.Regained != nil {
		f.opt.Regained(lost)
	}
}

func sleep(ctx context.Context, d time.Duration) {
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
