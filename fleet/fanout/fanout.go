// Package fanout spreads a stream of the platform's log over a large fleet. The log
// bounds the bytes that all hosts read of it in a second: where each host would read
// megabytes of settings, they would come too late. So a few hosts read the stream from
// the log, and the others read it from these.
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
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

const (
	// maxReadersAsked bounds the readers that are asked before the log itself is read.
	maxReadersAsked = 3
	// maxReadAge is how long after its last read from the log a reader may say that
	// there is no news. A read waits a second for some; the rest is for the call.
	maxReadAge = 1250 * time.Millisecond
	// hostsWait bounds the wait for the list of hosts at the start: some calls to a
	// log that many call at once.
	hostsWait         = 300 * time.Millisecond
	hostsPollInterval = 10 * time.Millisecond
)

// Options configure a [Stream].
type Options struct {
	Log    platform.KeyedReader
	Stream string
	Self   roster.Host
	// HostsKnown tells whether the list of hosts has been read.
	HostsKnown func() bool
	// Alive returns the other hosts that were heard lately.
	Alive func() []roster.Host
	// DirectHosts is the number of hosts up to which all read from the log.
	DirectHosts func() int
	// Ask reads the stream from another host.
	Ask    func(ctx context.Context, h roster.Host, from record.Offset, wait time.Duration) (*Page, error)
	Logger logr.Logger
}

// Page is what a reader answers: the newest records from an offset on, one for each
// key, and the offset after all that it knows.
type Page struct {
	_       struct{} `cbor:",toarray"`
	Records []platform.KeyedRecord
	Next    record.Offset
}

// Stream is one stream as this host reads it, and what it has read for others. It
// implements platform.KeyedReader for its own stream.
type Stream struct {
	opt Options
	log logr.Logger

	mu sync.Mutex
	// newest holds the newest record of each key from since on and before next, as
	// read from the log at readAt. What other hosts have told is not among it: two
	// hosts could feed each other old news.
	newest map[string]platform.KeyedRecord
	since  record.Offset
	next   record.Offset
	readAt time.Time
	// changed is closed at the next change.
	changed chan struct{}
	// encoded is the last page that was sent. Dozens of hosts wait for the same one.
	encoded encodedPage
	// firstReader is the place of the reader that is asked first; it moves on when one fails.
	firstReader int
}

// encodedPage is a page as it is sent.
type encodedPage struct {
	mu         sync.Mutex
	from, next record.Offset
	data       []byte
}

// New returns a stream that has read nothing.
func New(opt Options) *Stream {
	return &Stream{opt: opt, log: opt.Logger.WithName("fanout"), newest: make(map[string]platform.KeyedRecord), changed: make(chan struct{})}
}

var _ platform.KeyedReader = (*Stream)(nil)

// Newest implements platform.KeyedReader.
func (s *Stream) Newest(ctx context.Context, stream string) ([]platform.KeyedRecord, record.Offset, error) {
	s.awaitHosts(ctx)
	if page := s.askReaders(ctx, 0, 0); page != nil {
		return page.Records, page.Next, nil
	}
	records, next, err := s.opt.Log.Newest(ctx, stream)
	if err != nil {
		s.markLost()
		return nil, 0, err
	}
	s.mu.Lock()
	clear(s.newest)
	s.since = 0
	s.mu.Unlock()
	s.store(records, next)
	return records, next, nil
}

// awaitHosts waits for the list of hosts. If all hosts start at once and each takes
// itself for the only one, all read from the log.
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
func (s *Stream) Follow(ctx context.Context, stream string, from record.Offset, wait time.Duration) ([]platform.KeyedRecord, record.Offset, error) {
	if page := s.askReaders(ctx, from, wait); page != nil {
		return page.Records, page.Next, nil
	}
	records, next, err := s.opt.Log.Follow(ctx, stream, from, wait)
	if err != nil {
		s.markLost()
		return nil, 0, err
	}
	s.restartAt(from)
	s.store(records, next)
	return records, next, nil
}

// markLost sends those who wait for news to another reader.
func (s *Stream) markLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = time.Time{}
	s.notify()
}

// notify wakes those who wait. The caller holds mu.
func (s *Stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restartAt begins anew with the records from an offset on, if those before it were read
// from other hosts.
func (s *Stream) restartAt(from record.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from > s.next {
		clear(s.newest)
		s.since, s.next = from, from
	}
}

// store takes in what was read from the log.
func (s *Stream) store(records []platform.KeyedRecord, next record.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.newest[r.Key] = r
	}
	s.readAt = time.Now()
	if next > s.next {
		s.next = next
		s.notify()
	}
}

// askReaders returns the answer of a reader, or nil if this host is to read from the
// log.
func (s *Stream) askReaders(ctx context.Context, from record.Offset, wait time.Duration) *Page {
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

// errNotReading tells a host that this one does not read from the log, or lost it.
var errNotReading = errors.New("fanout: not reading the stream from the log")

// Page answers another host. It waits for records from an offset on.
func (s *Stream) Page(ctx context.Context, from record.Offset, wait time.Duration) (*Page, error) {
	end := time.Now().Add(wait)
	for {
		page, retry, err := s.page(from)
		if err != nil || page.Next > from || !time.Now().Before(end) {
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

// pageWait tells when to look again.
type pageWait struct {
	changed <-chan struct{}
	// staleIn is the time after which the log should have been read again.
	staleIn time.Duration
}

func (s *Stream) page(from record.Offset) (*Page, pageWait, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	staleIn := maxReadAge - time.Since(s.readAt)
	if staleIn <= 0 || from < s.since {
		return nil, pageWait{}, errNotReading
	}
	page := &Page{Next: max(from, s.next)}
	for _, key := range slices.Sorted(maps.Keys(s.newest)) {
		if r := s.newest[key]; r.Offset >= from {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b platform.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return page, pageWait{s.changed, staleIn}, nil
}
