// Package memlog is an in-memory append-only log service with offsets, limited
// retention, a rate limit and faults that tests switch on.
package memlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// Options configures a Log. The zero value keeps records for ever, without limit.
type Options struct {
	// Retention is how long a record is kept; zero means for ever.
	Retention time.Duration
	// AppendsPerSecond bounds the appends of all streams; zero means no bound.
	AppendsPerSecond float64
	// Latency is added to each append and to each read that finds records.
	Latency time.Duration
}

// Log is an in-memory log service. It is safe for concurrent use.
type Log struct {
	opts Options

	mu      sync.Mutex
	streams map[string]*stream
	tokens  float64
	refill  time.Time
	down    bool
	appends int64
	reads   int64
}

type stream struct {
	entries []record.Entry
	next    record.Offset
	changed chan struct{}
}

// New returns an empty log.
func New(opts Options) *Log {
	return &Log{
		opts:    opts,
		streams: make(map[string]*stream),
		tokens:  opts.AppendsPerSecond,
		refill:  time.Now(),
	}
}

var _ platform.Log = (*Log)(nil)

// SetDown starts or ends an outage. Calls fail with ErrUnavailable meanwhile.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for _, s := range l.streams {
		s.wake()
	}
}

// Appends returns the number of records taken so far.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Reads returns the number of read calls so far.
func (l *Log) Reads() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Streams returns the names of the streams that hold records.
func (l *Log) Streams() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.streams))
	for name := range l.streams {
		names = append(names, name)
	}
	return names
}

// Append adds one record.
func (l *Log) Append(ctx context.Context, name string, data []byte) (record.Offset, error) {
	if err := sleep(ctx, l.opts.Latency); err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrUnavailable
	}
	now := time.Now()
	if !l.takeToken(now) {
		return 0, platform.ErrThrottled
	}
	s := l.stream(name)
	offset := s.next
	s.entries = append(s.entries, record.Entry{
		Offset:     offset,
		TimeMillis: now.UnixMilli(),
		Data:       append([]byte(nil), data...),
	})
	s.next++
	l.appends++
	s.wake()
	return offset, nil
}

// Read returns records from an offset on and waits for the first if there is none.
func (l *Log) Read(ctx context.Context, name string, from record.Offset, limit int, wait time.Duration) ([]record.Entry, error) {
	deadline := time.Now().Add(wait)
	for {
		entries, changed, err := l.readNow(name, from, limit)
		if err != nil || len(entries) > 0 {
			return entries, err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return nil, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
		timer.Stop()
	}
}

func (l *Log) readNow(name string, from record.Offset, limit int) ([]record.Entry, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return nil, nil, platform.ErrUnavailable
	}
	s := l.stream(name)
	l.trim(s, time.Now())
	first := s.first()
	if from < first {
		return nil, nil, fmt.Errorf("%w: %s: asked for %d, first is %d", platform.ErrTrimmed, name, from, first)
	}
	skip := int(from - first)
	if skip >= len(s.entries) {
		return nil, s.changed, nil
	}
	found := s.entries[skip:]
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return append([]record.Entry(nil), found...), s.changed, nil
}

// Bounds returns the offsets that a stream keeps.
func (l *Log) Bounds(_ context.Context, name string) (platform.Bounds, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Bounds{}, platform.ErrUnavailable
	}
	s := l.stream(name)
	l.trim(s, time.Now())
	return platform.Bounds{First: s.first(), Head: s.next - 1}, nil
}

// Records returns all records of a stream that are kept, also in an outage.
func (l *Log) Records(name string) []record.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return append([]record.Entry(nil), s.entries...)
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{next: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) trim(s *stream, now time.Time) {
	if l.opts.Retention <= 0 {
		return
	}
	oldest := now.Add(-l.opts.Retention).UnixMilli()
	n := 0
	for n < len(s.entries) && s.entries[n].TimeMillis < oldest {
		n++
	}
	s.entries = s.entries[n:]
}

func (l *Log) takeToken(now time.Time) bool {
	rate := l.opts.AppendsPerSecond
	if rate <= 0 {
		return true
	}
	l.tokens = min(rate, l.tokens+rate*now.Sub(l.refill).Seconds())
	l.refill = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (s *stream) first() record.Offset {
	return s.next - record.Offset(len(s.entries))
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
