// Package fanout distributes a stream of the platform's log to a large fleet. The log
// limits the bytes per second that all hosts together may read. If each host read
// megabytes of settings from the log, they would arrive too late. So a few hosts, the
// readers, read the stream from the log, and the others read it from them.
package fanout

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/roster"
)

const (
	// maxReadersAsked bounds the readers that are asked before this host reads from the log
	// itself.
	maxReadersAsked = 3
	// maxReadAge is how long after its last read from the log a reader may still answer
	// other hosts. A read waits up to one second for records; the rest is for the call.
	maxReadAge = 1250 * time.Millisecond
	// hostsWait bounds the wait for the list of hosts at the start. It allows for a few
	// calls to a log that many hosts call at once.
	hostsWait         = 300 * time.Millisecond
	hostsPollInterval = 10 * time.Millisecond
)

// Options configure a [Stream].
type Options struct {
	Log    platform.KeyedReader
	Stream string
	Self   roster.Host
	// HostsKnown reports whether the list of hosts has been read.
	HostsKnown func() bool
	// Alive returns the other hosts with recent heartbeats.
	Alive func() []roster.Host
	// DirectHosts returns the number of hosts up to which all read from the log.
	DirectHosts func() int
	// Ask reads the stream from another host.
	Ask    func(ctx context.Context, h roster.Host, from platform.Position, wait time.Duration) (*Answer, error)
	Logger logr.Logger
}

// Page is a reader's answer: the newest record of each key from an offset on, in order
// of their offsets, and the position after the last record that the reader has read.
type Page struct {
	_       struct{} `cbor:",toarray"`
	Records []platform.KeyedRecord
	Next    platform.Position
}

// Answer is a page with its age.
type Answer struct {
	*Page
	// Age is the time since the host that answers last read from the log.
	Age time.Duration
}

// Stream reads one stream for this host and serves its records to others. It implements
// platform.KeyedReader for its own stream.
type Stream struct {
	opt Options
	log logr.Logger

	mu sync.Mutex
	// newest holds the newest record of each key in the offsets from since to before
	// next, as read from the log. readAt is the time of the last read. Records from
	// other hosts are not stored: two hosts could keep serving each other old records.
	newest map[string]platform.KeyedRecord
	since  platform.Position
	next   platform.Position
	readAt time.Time
	// lostAt is when a read from the log last failed, or zero if one has succeeded since. answerAge
	// is the time since the last answer of another host was read from the log.
	lostAt    time.Time
	answerAge time.Duration
	// changed is closed at the next change.
	changed chan struct{}
	// encoded is the last page that was encoded. Dozens of hosts wait for the same one.
	encoded encodedPage
	// firstReader selects the reader that is asked first. It is incremented when a reader
	// fails.
	firstReader int
}

// encodedPage caches a page in its encoded form.
type encodedPage struct {
	mu         sync.Mutex
	from, next platform.Position
	data       []byte
}

// New returns a stream. It reads nothing until its first call.
func New(opt Options) *Stream {
	return &Stream{opt: opt, log: opt.Logger.WithName("fanout"), newest: make(map[string]platform.KeyedRecord), changed: make(chan struct{})}
}

var _ platform.KeyedReader = (*Stream)(nil)

// Newest implements platform.KeyedReader.
func (s *Stream) Newest(ctx context.Context, stream string) ([]platform.KeyedRecord, platform.Position, error) {
	s.awaitHosts(ctx)
	if page := s.askReaders(ctx, platform.Position{}, 0); page != nil {
		return page.Records, page.Next, nil
	}
	records, next, err := s.opt.Log.Newest(ctx, stream)
	if err != nil {
		s.markLost()
		if page := s.askAny(ctx, platform.Position{}, 0); page != nil {
			return page.Records, page.Next, nil
		}
		return nil, platform.Position{}, err
	}
	s.mu.Lock()
	clear(s.newest)
	s.since, s.next = platform.Position{Era: next.Era}, platform.Position{Era: next.Era}
	s.mu.Unlock()
	s.store(records, next)
	return records, next, nil
}

// awaitHosts waits for the list of hosts. Without it, if all hosts started at once, each
// would assume that it is the only one and read from the log.
func (s *Stream) awaitHosts(ctx context.Context) {
	tick := time.NewTicker(hostsPollInterval)
	defer tick.Stop()
	for end := time.Now().Add(hostsWait); !s.opt.HostsKnown() && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Follow implements platform.KeyedReader. A host that can't read from the log asks other hosts
// meanwhile.
func (s *Stream) Follow(ctx context.Context, stream string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	if page := s.askReaders(ctx, from, wait); page != nil {
		return page.from(from)
	}
	if !s.lostRecently() {
		return s.followLog(ctx, stream, from, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := make(chan *Answer, 1)
	go func() { asked <- s.askAny(ctx, from, wait) }()
	read := make(chan logRead, 1)
	go func() {
		// It ends before the other hosts' wait, so that a log that answers again is noticed.
		records, next, err := s.followLog(ctx, stream, from, min(wait, maxAskWait/2))
		read <- logRead{records, next, err}
	}()
	select {
	case page := <-asked:
		if page != nil {
			s.markLost()
			return page.from(from)
		}
		r := <-read
		return r.records, r.next, r.err
	case r := <-read:
		if r.err == nil {
			return r.records, r.next, nil
		}
		if page := <-asked; page != nil {
			return page.from(from)
		}
		return nil, platform.Position{}, r.err
	}
}

// logRead is the result of a read from the log.
type logRead struct {
	records []platform.KeyedRecord
	next    platform.Position
	err     error
}

// from returns the content of another host's answer that starts at a position.
func (a *Answer) from(from platform.Position) ([]platform.KeyedRecord, platform.Position, error) {
	if a.Next.Era > from.Era {
		return nil, platform.Position{}, platform.ErrRewound
	}
	return a.Records, a.Next, nil
}

// followLog reads from the log.
func (s *Stream) followLog(ctx context.Context, stream string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	records, next, err := s.opt.Log.Follow(ctx, stream, from, wait)
	if err != nil {
		if ctx.Err() == nil {
			s.markLost()
		}
		return nil, platform.Position{}, err
	}
	s.restartAt(from)
	s.store(records, next)
	return records, next, nil
}

// lostRetry is how long after a failed read from the log other hosts are asked as well.
const lostRetry = 5 * time.Second

// lostRecently reports whether a read from the log has failed lately, and none has succeeded since.
func (s *Stream) lostRecently() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lostAt.IsZero() && time.Since(s.lostAt) < lostRetry
}

// markLost makes pending and new calls of Page fail until the next read from the log, so that
// other hosts ask another reader.
func (s *Stream) markLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt, s.lostAt = time.Time{}, time.Now()
	s.notify()
}

// notify wakes the pending calls of Page. The caller must hold mu.
func (s *Stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restartAt drops the stored records and starts at an offset, if the records before it
// were read from other hosts.
func (s *Stream) restartAt(from platform.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.After(s.next) {
		clear(s.newest)
		s.since, s.next = from, from
	}
}

// store stores records that were read from the log.
func (s *Stream) store(records []platform.KeyedRecord, next platform.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.newest[r.Key] = r
	}
	s.readAt, s.lostAt, s.answerAge = time.Now(), time.Time{}, 0
	if next.After(s.next) {
		s.next = next
		s.notify()
	}
}

// askReaders returns a reader's answer, or nil if this host should read from the log
// itself.
func (s *Stream) askReaders(ctx context.Context, from platform.Position, wait time.Duration) *Answer {
	readers, reads := roster.LogReaders(s.opt.Self, s.opt.Alive(), s.opt.DirectHosts())
	if reads {
		return nil
	}
	return s.ask(ctx, readers, from, wait)
}

// askAny returns the answer of a host that reads from the log, whether this host does or not, or nil.
func (s *Stream) askAny(ctx context.Context, from platform.Position, wait time.Duration) *Answer {
	readers, _ := roster.LogReaders(s.opt.Self, s.opt.Alive(), 0)
	return s.ask(ctx, slices.DeleteFunc(readers, func(h roster.Host) bool { return h.ID == s.opt.Self.ID }), from, wait)
}

const (
	// maxAskWait is how long another host waits for records at most. Its answer says that there are
	// none, so that this bounds how old that is.
	maxAskWait = 500 * time.Millisecond
	// askNextAfter is the time beyond the wait after which the next reader is asked too. A reader
	// that is frozen or cut off does not answer.
	askNextAfter = 250 * time.Millisecond
)

// ask asks hosts in turn until one answers. The next one is asked when one fails or is late.
func (s *Stream) ask(ctx context.Context, readers []roster.Host, from platform.Position, wait time.Duration) *Answer {
	if len(readers) == 0 {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	first := s.firstReader % len(readers)
	s.mu.Unlock()
	readers = slices.Concat(readers[first:], readers[:first])
	q := &question{stream: s, readers: readers[:min(maxReadersAsked, len(readers))], from: from, end: time.Now().Add(min(wait, maxAskWait)), answered: cancel}
	return q.ask(ctx, 0)
}

// question is what several hosts are asked until one answers.
type question struct {
	stream  *Stream
	readers []roster.Host
	from    platform.Position
	// end is until when they wait for records.
	end time.Time
	// answered ends the calls to the others.
	answered context.CancelFunc
}

// ask returns the answer of the n-th host or of one after it, or nil. Only a host that is late is asked
// beside another one.
func (q *question) ask(ctx context.Context, n int) *Answer {
	if n >= len(q.readers) || ctx.Err() != nil {
		return nil
	}
	wait := max(0, time.Until(q.end))
	later := make(chan *Answer, 1)
	late := time.AfterFunc(wait+askNextAfter, func() {
		answer := q.ask(ctx, n+1)
		if answer != nil {
			q.answered()
		}
		later <- answer
	})
	if answer := q.stream.askOne(ctx, q.readers[n], q.from, wait); answer != nil {
		late.Stop()
		return answer
	}
	if late.Stop() {
		return q.ask(ctx, n+1)
	}
	return <-later
}

// askOne returns the answer of one host, or nil.
func (s *Stream) askOne(ctx context.Context, h roster.Host, from platform.Position, wait time.Duration) *Answer {
	page, err := s.opt.Ask(ctx, h, from, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.answerAge = page.Age
		return page
	}
	if ctx.Err() != nil {
		return nil // another one has answered before
	}
	s.log.Info("Reader did not answer; another is asked.", "stream", s.opt.Stream, "host", h.ID, "error", err.Error())
	s.firstReader++
	return nil
}

// AnswerAge returns how old the content of the log was that the last call returned: the time since it
// was read from the log.
func (s *Stream) AnswerAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerAge
}

// errNotReading reports that a host has not read the requested records from the log, or
// not recently.
var errNotReading = errors.New("fanout: not reading the stream from the log")

// Page returns the records from an offset on for another host. If there are none, it
// waits for up to wait.
func (s *Stream) Page(ctx context.Context, from platform.Position, wait time.Duration) (*Answer, error) {
	end := time.Now().Add(wait)
	for {
		page, retry, err := s.page(from)
		if err != nil || page.Next.After(from) || !time.Now().Before(end) {
			return page, err
		}
		timer := time.NewTimer(min(time.Until(end), retry.staleIn))
		select {
		case <-retry.changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, fmt.Errorf("fanout: %w", context.Cause(ctx))
		}
		timer.Stop()
	}
}

// pageWait holds the events after which a pending call of Page checks again.
type pageWait struct {
	changed <-chan struct{}
	// staleIn is the time until the last read from the log exceeds maxReadAge.
	staleIn time.Duration
}

func (s *Stream) page(from platform.Position) (*Answer, pageWait, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	staleIn := maxReadAge - time.Since(s.readAt)
	switch {
	case staleIn <= 0, s.since.After(from) && from.Era == s.since.Era, from.Era > s.next.Era:
		return nil, pageWait{}, errNotReading
	case from.Era < s.next.Era && s.since.Offset > 0:
		return nil, pageWait{}, errNotReading // the records before since are not known
	case from.Era < s.next.Era:
		from = platform.Position{Era: s.next.Era}
	}
	page := &Answer{Page: &Page{Next: s.next}, Age: time.Since(s.readAt)}
	if from.After(s.next) {
		page.Next = from
	}
	for _, key := range slices.Sorted(maps.Keys(s.newest)) {
		if r := s.newest[key]; r.Offset >= from.Offset {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b platform.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return page, pageWait{s.changed, staleIn}, nil
}
