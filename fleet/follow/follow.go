// Package follow keeps up with a keyed stream of the platform's log.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// Options configure a [Follower].
type Options struct {
	Log    platform.KeyedReader
	Stream string
	// Wait is how long a read waits for records. It bounds the time until a
	// connection that went silent is noticed.
	Wait time.Duration
	// Pause returns the time between reads, in which records gather: each call to
	// the log has its price, and all hosts share a limit on them.
	Pause func() time.Duration
	// Retry spaces calls that fail.
	Retry admission.Backoff
	// Snapshot takes in all records when the history before them is not known;
	// keys that are not among them are gone.
	Snapshot func([]platform.KeyedRecord)
	// Records takes in new records, in order.
	Records func([]platform.KeyedRecord)
	// Regained is called after the log could be reached again, before its news
	// are taken in, with the time that it was lost; nil means nothing to do.
	Regained func(lost time.Duration)
	Logger   logr.Logger
}

// Follower reads a keyed stream from its newest records on.
type Follower struct {
	opt    Options
	next   record.Offset
	synced bool
	lostAt time.Time
	// throttled counts the calls in a row that the log's limit refused.
	throttled int
}

// New returns a follower; Run starts it.
func New(opt Options) *Follower {
	return &Follower{opt: opt}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.recordFailure(ctx, err)
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
	if !f.synced {
		return f.load(ctx)
	}
	records, next, err := f.opt.Log.Follow(ctx, f.opt.Stream, f.next, f.opt.Wait)
	if errors.Is(err, platform.ErrTrimmed) {
		f.synced = false
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.recordSuccess()
	if len(records) > 0 {
		f.opt.Records(records)
	}
	f.next = next
	return nil
}

func (f *Follower) load(ctx context.Context) error {
	records, next, err := f.opt.Log.Newest(ctx, f.opt.Stream)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.opt.Snapshot(records)
	f.next = next
	f.synced = true
	return nil
}

func (f *Follower) recordFailure(ctx context.Context, err error) {
	if !f.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	f.lostAt = time.Now()
	f.opt.Logger.Info("Stream lost.", "stream", f.opt.Stream, "offset", f.next, "error", err.Error())
}

func (f *Follower) recordSuccess() {
	if f.lostAt.IsZero() {
		return
	}
	lost := time.Since(f.lostAt)
	f.lostAt = time.Time{}
	f.opt.Logger.Info("Stream regained.", "stream", f.opt.Stream, "offset", f.next, "lost", lost)
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
