// Package memkeyed is an in-memory keyed log for tests, with the faults of the
// real one as switches of each caller's link.
package memkeyed

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	era     platform.Era
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

// Copy is a copy of the log's content.
type Copy struct {
	streams map[string]*stream
}

// Copy returns a copy of the log as it is.
func (l *Log) Copy() *Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Copy{streams: cloneStreams(l.streams)}
}

// Restore replaces the content of the log by that of a copy and begins a new era.
func (l *Log) Restore(c *Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = cloneStreams(c.streams)
	l.era++
	close(l.changed)
	l.changed = make(chan struct{})
}

func cloneStreams(streams map[string]*stream) map[string]*stream {
	out := make(map[string]*stream, len(streams))
	for name, s := range streams {
		c := &stream{records: slices.Clone(s.records), first: s.first, newest: maps.Clone(s.newest), writers: make(map[string]*writer)}
		for id, w := range s.writers {
			c.writers[id] = &writer{epoch: w.epoch, seq: w.seq, ends: maps.Clone(w.ends)}
		}
		out[name] = c
	}
	return out
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

func (l *Log) put(name string, w platform.Writer, records []platform.KeyedRecord) (platform.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, err := l.putOffset(name, w, records)
	return platform.Position{Era: l.era, Offset: end}, err
}

func (l *Log) putOffset(name string, w platform.Writer, records []platform.KeyedRecord) (record.Offset, error) {
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
	// era is the latest era that an answer has named.
	era platform.Era
}

// Era implements platform.KeyedLog.
func (k *Link) Era() platform.Era {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}

// LogEra returns the era of the log itself.
func (k *Link) LogEra() platform.Era {
	k.log.mu.Lock()
	defer k.log.mu.Unlock()
	return k.log.era
}

// observe records the era of an answer. It returns [platform.ErrStaleAnswer] if an answer
// of a later one has arrived.
func (k *Link) observe(era platform.Era) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era < k.era {
		return platform.ErrStaleAnswer
	}
	k.era = era
	return nil
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
func (k *Link) Put(ctx context.Context, name string, w platform.Writer, records []platform.KeyedRecord) (platform.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f, draw, err := k.begin(ctx)
	if err != nil {
		return platform.Position{}, err
	}
	if draw < f.Late {
		time.AfterFunc(f.LateBy, func() { _, _ = k.log.put(name, w, records) })
		return platform.Position{}, errLost
	}
	end, err := k.log.put(name, w, records)
	if err == nil && draw < f.Late+f.LoseAnswer {
		return platform.Position{}, errLost
	}
	if stale := k.observe(end.Era); stale != nil {
		return platform.Position{}, stale
	}
	return end, err
}

// Newest implements platform.KeyedLog.
func (k *Link) Newest(ctx context.Context, name string) ([]platform.KeyedRecord, platform.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, _, err := k.begin(ctx); err != nil {
		return nil, platform.Position{}, err
	}
	k.log.mu.Lock()
	s := k.log.stream(name)
	records, end := s.sorted(), platform.Position{Era: k.log.era, Offset: s.end()}
	k.log.mu.Unlock()
	return records, end, k.observe(end.Era)
}

// Follow implements platform.KeyedLog.
func (k *Link) Follow(ctx context.Context, name string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if _, _, err := k.begin(ctx); err != nil {
		return nil, platform.Position{}, err
	}
	until := time.After(wait)
	for {
		records, next, changed, err := k.log.read(name, from.Offset)
		if stale := k.observe(next.Era); stale != nil {
			return nil, platform.Position{}, stale
		}
		if from.Era < next.Era {
			return nil, platform.Position{}, platform.ErrRewound
		}
		if err != nil || len(records) > 0 || wait == 0 {
			return records, next, err
		}
		select {
		case <-changed:
		case <-until:
			return nil, next, nil
		case <-ctx.Done():
			return nil, platform.Position{}, context.Cause(ctx)
		}
	}
}

// read returns the records from an offset on and the position after them. The era of the
// position is set for an error, too.
func (l *Log) read(name string, from record.Offset) ([]platform.KeyedRecord, platform.Position, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	next := platform.Position{Era: l.era, Offset: s.end()}
	if from < s.first || from > s.end() {
		return nil, next, nil, fmt.Errorf("%w: %d, kept are %d to %d", platform.ErrTrimmed, from, s.first, s.end())
	}
	return slices.Clone(s.records[from-s.first:]), next, l.changed, nil
}
