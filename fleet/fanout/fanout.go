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
	Ask    func(ctx context.Context, h roster.Host, from platform.Position, wait time.Duration) (*Page, error)
	Logger logr.Logger
}

// Page is a reader's answer: the newest record of each key from an offset on, in order
// of their offsets, and the position after the last record that the reader has read.
type Page struct {
	_       struct{} `cbor:",toarray"`
	Records []platform.KeyedRecord
	Next    platform.Position
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

// Follow implements platform.KeyedReader.
func (s *Stream) Follow(ctx context.Context, stream string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	if page := s.askReaders(ctx, from, wait); page != nil {
		if page.Next.Era > from.Era {
			return nil, platform.Position{}, platform.ErrRewound
		}
		return page.Records, page.Next, nil
	}
	records, next, err := s.opt.Log.Follow(ctx, stream, from, wait)
	if err != nil {
		s.markLost()
		return nil, platform.Position{}, err
	}
	s.restartAt(from)
	s.store(records, next)
	return records, next, nil
}

// markLost makes pending and new calls of Page fail until the next read from the log, so that
// other hosts ask another reader.
func (s *Stream) markLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = time.Time{}
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
	s.readAt = time.Now()
	if next.After(s.next) {
		s.next = next
		s.notify()
	}
}

// askReaders returns a reader's answer, or nil if this host should read from the log
// itself.
func (s *Stream) askReaders(ctx context.Context, from platform.Position, wait time.Duration) *Page {
	readers, reads := roster.LogReaders(s.opt.Self, s.opt.Alive(), s.opt.DirectHosts())
	if reads {
		return nil
	}
	s.mu.Lock()
	first := s.firstReader
	s.mu.Unlock()
	for i := range min(maxReadersAsked, len(readers)) {
		h := readers[(first+i)%len(readers)]
		page, err := s.opt.Ask(ctx, h, from, wait)
		if err == nil {
			return page
		}
		if ctx.Err() != nil {
			return nil
		}
		s.log.Info("Reader did not answer; another is asked.", "stream", s.opt.Stream, "host", h.ID, "error", err.Error())
		s.mu.Lock()
		s.firstReader++
		s.mu.Unlock()
	}
	return nil
}

// errNotReading reports that a host has not read the requested records from the log, or
// not recently.
var errNotReading = errors.New("fanout: not reading the stream from the log")

// Page returns the records from an offset on for another host. If there are none, it
// waits for up to wait.
func (s *Stream) Page(ctx context.Context, from platform.Position, wait time.Duration) (*Page, error) {
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

func (s *Stream) page(from platform.Position) (*Page, pageWait, error) {
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
	page := &Page{Next: s.next}
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
