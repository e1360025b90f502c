// Package memkeyed is an in-memory keyed log for tests, with the faults of the
// real one as switches of each caller's link.
package memkeyed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// Log keeps keyed streams. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{}
	// Latency is the time that each call takes.
	Latency time.Duration
}

type stream struct {
	records []platform.KeyedRecord
	first   record.Offset // of the records that are kept
	newest  map[string]platform.KeyedRecord
	writers map[string]*writer
}

// writer is what a stream knows of a named writer.
type writer struct {
	epoch uint64
	seq   uint64
	ends  map[uint64]record.Offset // of its last writes
}

// New returns an empty log.
func New() *Log {
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{}), Latency: 4 * time.Millisecond}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{newest: make(map[string]platform.KeyedRecord), writers: make(map[string]*writer)}
		l.streams[name] = s
	}
	return s
}

// Append writes records as others do, such as the operator.
func (l *Log) Append(name string, records ...platform.KeyedRecord) record.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(name, records)
}

func (l *Log) append(name string, records []platform.KeyedRecord) record.Offset {
	s := l.stream(name)
	for _, r := range records {
		r.Offset = s.end()
		s.records = append(s.records, r)
		s.newest[r.Key] = r
		if r.Value == nil {
			delete(s.newest, r.Key)
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return s.end()
}

func (s *stream) end() record.Offset { return s.first + record.Offset(len(s.records)) }

// Compact drops the history of a stream; the newest records stay.
func (l *Log) Compact(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.first = s.end()
	s.records = nil
}

// Newest returns the newest records of a stream, by key, at once and without
// faults.
func (l *Log) Newest(name string) []platform.KeyedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).sorted()
}

func (s *stream) sorted() []platform.KeyedRecord {
	var out []platform.KeyedRecord
	for _, r := range s.newest {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b platform.KeyedRecord) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (l *Log) put(name string, w platform.Writer, records []platform.KeyedRecord) (record.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Name == "" {
		return l.append(name, records), nil
	}
	s := l.stream(name)
	known, ok := s.writers[w.Name]
	switch {
	case ok && w.Epoch < known.epoch:
		return 0, platform.ErrFenced
	case !ok || w.Epoch > known.epoch:
		known = &writer{epoch: w.Epoch, seq: w.Seq - 1, ends: make(map[uint64]record.Offset)}
		s.writers[w.Name] = known
	}
	if end, done := known.ends[w.Seq]; done && w.Seq+keptWrites > known.seq {
		return end, nil
	}
	if w.Seq != known.seq+1 {
		return 0, &platform.SequenceError{Expected: known.seq + 1}
	}
	end := l.append(name, records)
	known.seq = w.Seq
	known.ends[w.Seq] = end
	return end, nil
}

// keptWrites is the number of a writer's writes whose repetition is recognized.
const keptWrites = 5

// Link is one caller's way to the log. The zero values of its switches mean that
// all is well; they may be changed while calls run.
type Link struct {
	log *Log
	rng *rand.Rand

	mu sync.Mutex
	// Faults are the switches.
	faults Faults
	calls  int
}

// Faults are what goes wrong with the calls of a link.
type Faults struct {
	// Unavailable calls are refused without effect, Throttled ones as well.
	Unavailable bool
	Throttled   bool
	// Silent calls get no answer and have no effect.
	Silent bool
	// LoseAnswer is the share of writes that are done and not answered.
	LoseAnswer float64
	// Late is the share of writes that are not answered and done LateBy later.
	Late   float64
	LateBy time.Duration
	// Slow multiplies the time that calls take.
	Slow float64
}

// Link returns a caller's link.
func (l *Log) Link(seed uint64) *Link {
	return &Link{log: l, rng: rand.New(rand.NewPCG(seed, seed))}
}

var _ platform.KeyedLog = (*Link)(nil)

// Set changes the faults.
func (k *Link) Set(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Calls returns the number of calls so far.
func (k *Link) Calls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// begin starts a call. It returns the faults that it meets and a number from 0 up
// to 1 that draws one of them.
func (k *Link) begin(ctx context.Context) (Faults, float64, error) {
	k.mu.Lock()
	f, draw := k.faults, k.rng.Float64()
	k.calls++
	k.mu.Unlock()
	if f.Silent {
		<-ctx.Done()
		return f, 0, context.Cause(ctx)
	}
	latency := k.log.Latency
	if f.Slow > 0 {
		latency = time.Duration(float64(latency) * f.Slow)
	}
	if err := wait(ctx, latency); err != nil {
		return f, 0, err
	}
	switch {
	case f.Unavailable:
		return f, 0, platform.ErrUnavailable
	case f.Throttled:
		return f, 0, platform.ErrThrottled
	}
	return f, draw, nil
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// errLost is what a caller makes of a call without an answer.
var errLost = errors.New("memkeyed: the answer was lost")

// callTimeout stands in for the bound that a real client has.
const callTimeout = time.Second

// Put implements platform.KeyedLog.
func (k *Link) Put(ctx context.Context, name string, w platform.Writer, records []platform.KeyedRecord) (record.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f, draw, err := k.begin(ctx)
	if err != nil {
		return 0, err
	}
	if draw < f.Late {
		time.AfterFunc(f.LateBy, func() { _, _ = k.log.put(name, w, records) })
		return 0, errLost
	}
	end, err := k.log.put(name, w, records)
	if err == nil && draw < f.Late+f.LoseAnswer {
		return 0, errLost
	}
	return end, err
}

// Newest implements platform.KeyedLog.
func (k *Link) Newest(ctx context.Context, name string) ([]platform.KeyedRecord, record.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, _, err := k.begin(ctx); err != nil {
		return nil, 0, err
	}
	k.log.mu.Lock()
	defer k.log.mu.Unlock()
	s := k.log.stream(name)
	return s.sorted(), s.end(), nil
}

// Follow implements platform.KeyedLog.
func (k *Link) Follow(ctx context.Context, name string, from record.Offset, wait time.Duration) ([]platform.KeyedRecord, record.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if _, _, err := k.begin(ctx); err != nil {
		return nil, 0, err
	}
	until := time.After(wait)
	for {
		records, next, changed, err := k.log.read(name, from)
		if err != nil || len(records) > 0 || wait == 0 {
			return records, next, err
		}
		select {
		case <-changed:
		case <-until:
			return nil, next, nil
		case <-ctx.Done():
			return nil, 0, context.Cause(ctx)
		}
	}
}

func (l *Log) read(name string, from record.Offset) ([]platform.KeyedRecord, record.Offset, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if from < s.first {
		return nil, 0, nil, fmt.Errorf("%w: %d, the first is %d", platform.ErrTrimmed, from, s.first)
	}
	from = min(from, s.end())
	return slices.Clone(s.records[from-s.first:]), s.end(), l.changed, nil
}
