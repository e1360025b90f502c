package fanout

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/fleet/follow"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

const testStream = "settings"

// testFleet is a large fleet that follows one stream.
type testFleet struct {
	log   *memkeyed.Log
	hosts []*testHost
}

type testHost struct {
	self   roster.Host
	link   *memkeyed.Link
	stream *Stream
	// cut is true if the host is disconnected from the other hosts.
	cut atomic.Bool
	// frozen is true if the host answers no other host.
	frozen atomic.Bool
	seen   atomic.Uint64 // offset after the newest applied record
}

func newTestFleet(t *testing.T, n, direct int) *testFleet {
	f := &testFleet{log: memkeyed.New()}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range n {
		h := &testHost{self: roster.Host{ID: record.HostID(fmt.Sprintf("h%d", i)), Cores: 0.4}, link: f.log.Link(uint64(i))}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		others := f.others(h)
		h.stream = New(Options{
			Log: h.link, Stream: testStream, Self: h.self, HostsKnown: func() bool { return true },
			Alive:       func() []roster.Host { return others },
			DirectHosts: func() int { return direct }, Ask: f.asker(h), Logger: logr.Discard(),
		})
	}
	for _, h := range f.hosts {
		follower := follow.New(follow.Options{
			Log: h.stream, Stream: testStream, Wait: time.Second, Pause: func() time.Duration { return 50 * time.Millisecond },
			Retry:    admission.Backoff{Initial: 250 * time.Millisecond, Max: 500 * time.Millisecond},
			Snapshot: h.apply, Records: h.apply, Logger: logr.Discard(),
		})
		go func() { _ = follower.Run(ctx) }()
	}
	t.Cleanup(func() { cancel(); time.Sleep(10 * time.Second) })
	return f
}

// others returns the other hosts.
func (f *testFleet) others(h *testHost) []roster.Host {
	var others []roster.Host
	for _, o := range f.hosts {
		if o != h {
			others = append(others, o.self)
		}
	}
	return others
}

func (h *testHost) apply(records []platform.KeyedRecord) {
	for _, r := range records {
		h.seen.Store(uint64(r.Offset) + 1)
	}
}

func (f *testFleet) asker(from *testHost) func(context.Context, roster.Host, platform.Position, time.Duration) (*Answer, error) {
	return func(ctx context.Context, h roster.Host, offset platform.Position, wait time.Duration) (*Answer, error) {
		for _, other := range f.hosts {
			if other.self.ID != h.ID {
				continue
			}
			if other.cut.Load() || from.cut.Load() {
				time.Sleep(50 * time.Millisecond)
				return nil, errors.New("no route to host")
			}
			if other.frozen.Load() {
				<-ctx.Done()
				return nil, context.Cause(ctx)
			}
			return other.stream.Page(ctx, offset, wait)
		}
		return nil, errors.New("unknown host")
	}
}

// put appends a record and returns how many hosts have applied it after a time.
func (f *testFleet) put(after time.Duration) int {
	end := f.log.Append(testStream, platform.KeyedRecord{Key: "config", Value: []byte("new")})
	time.Sleep(after)
	n := 0
	for _, h := range f.hosts {
		if h.seen.Load() >= uint64(end) {
			n++
		}
	}
	return n
}

// calls returns each host's number of calls to the log beyond those in before. Hosts
// without such calls are omitted.
func (f *testFleet) calls(before map[record.HostID]int) map[record.HostID]int {
	out := make(map[record.HostID]int)
	for _, h := range f.hosts {
		if n := h.link.Calls() - before[h.self.ID]; n > 0 {
			out[h.self.ID] = n
		}
	}
	return out
}

// TestFewHostsReadTheLog: all of 300 hosts apply each record within a few calls, and at
// most eight of them read it from the log.
func TestFewHostsReadTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 300, 100)
		time.Sleep(5 * time.Second)
		before := f.calls(nil)
		for range 10 {
			require.Equal(t, 300, f.put(200*time.Millisecond))
		}
		require.LessOrEqual(t, len(f.calls(before)), 8)
	})
}

// TestSmallFleetsReadTheLogThemselves: in a small fleet no host depends on another one.
func TestSmallFleetsReadTheLogThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 30, 100)
		for _, h := range f.hosts {
			h.cut.Store(true)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, 30, f.put(100*time.Millisecond))
	})
}

// TestReadersMayFail makes readers fail in each way: they are disconnected from the other
// hosts, the log refuses their calls, or the log does not answer. All hosts that reach the
// log must apply new settings within the two seconds that the platform requires.
func TestReadersMayFail(t *testing.T) {
	for name, fail := range map[string]func(*testHost){
		"cut off":     func(h *testHost) { h.cut.Store(true) },
		"log refuses": func(h *testHost) { h.link.Set(memkeyed.Faults{Unavailable: true}) },
		"log silent":  func(h *testHost) { h.link.Set(memkeyed.Faults{Silent: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 120, 100)
				time.Sleep(5 * time.Second)
				readers := f.calls(nil)
				failed := 0
				for _, h := range f.hosts {
					if readers[h.self.ID] > 3 && failed < 3 {
						fail(h)
						failed++
					}
				}
				require.Equal(t, 3, failed)
				time.Sleep(300 * time.Millisecond)
				reachable := len(f.hosts) - failed
				require.GreaterOrEqual(t, f.put(2*time.Second), reachable)
			})
		})
	}
}

// TestRestoredLogReachesAllHosts restores the log from an older copy. All of 300 hosts apply
// the record that is written next, although its offset was given out before.
func TestRestoredLogReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 300, 100)
		time.Sleep(5 * time.Second)
		copied := f.log.Copy()
		require.Equal(t, 300, f.put(3*time.Second))
		f.log.Restore(copied)
		for _, h := range f.hosts {
			h.seen.Store(0)
		}
		require.Equal(t, 300, f.put(8*time.Second))
	})
}

// TestReaderRefusesOffsetsBeforeItsOwnReads: a host that read the first
// part of the stream from others has not stored it, so it must not answer for it.
func TestReaderRefusesOffsetsBeforeItsOwnReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memkeyed.New()
		for range 5 {
			log.Append(testStream, platform.KeyedRecord{Key: "config", Value: []byte("old")})
		}
		s := New(Options{
			Log: log.Link(1), Stream: testStream, Alive: func() []roster.Host { return nil },
			HostsKnown: func() bool { return true }, DirectHosts: func() int { return 10 }, Logger: logr.Discard(),
		})
		_, _, err := s.Follow(t.Context(), testStream, platform.Position{Offset: 5}, 0)
		require.NoError(t, err)
		_, err = s.Page(t.Context(), platform.Position{}, 0)
		require.ErrorIs(t, err, errNotReading)
		page, err := s.Page(t.Context(), platform.Position{Offset: 5}, 0)
		require.NoError(t, err)
		require.Equal(t, platform.Position{Offset: 5}, page.Next)

		_, _, err = s.Newest(t.Context(), testStream)
		require.NoError(t, err)
		page, err = s.Page(t.Context(), platform.Position{}, 0)
		require.NoError(t, err)
		require.Len(t, page.Records, 1)

		time.Sleep(2 * maxReadAge)
		_, err = s.Page(t.Context(), platform.Position{Offset: 5}, 0)
		require.ErrorIs(t, err, errNotReading, "the log has not been read for some time")
	})
}

// TestPageOverHTTP reads a page from a host over HTTP.
func TestPageOverHTTP(t *testing.T) {
	log := memkeyed.New()
	value := strings.Repeat(`{"name":"r","host":"a.example"},`, 10_000)
	log.Append(testStream, platform.KeyedRecord{Key: "config", Value: []byte(value)})
	s := New(Options{
		Log: log.Link(1), Stream: testStream, Alive: func() []roster.Host { return nil },
		HostsKnown: func() bool { return true }, DirectHosts: func() int { return 10 }, Logger: logr.Discard(),
	})
	server := httptest.NewServer(s)
	defer server.Close()
	ask := NewAsker(server.Client(), func(time.Duration) bool { return false })
	host := roster.Host{Peer: netip.MustParseAddrPort(server.Listener.Addr().String())}
	_, err := ask(t.Context(), host, platform.Position{}, 0)
	require.ErrorIs(t, err, errNotReading)

	records, next, err := s.Newest(t.Context(), testStream)
	require.NoError(t, err)
	for range 2 { // the second time it is encoded already
		page, err := ask(t.Context(), host, platform.Position{}, 0)
		require.NoError(t, err)
		require.Equal(t, records, page.Records)
		require.Equal(t, next, page.Next)
	}
	page, err := ask(t.Context(), host, next, 10*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, page.Records)
	require.Less(t, len(s.encoded.data), len(value)/10, "compressed")
}

// Hosts that read from others learn that the operator has removed a record, with a record in between
// or with the newest ones.
func TestRemovedRecordReachesOtherHosts(t *testing.T) {
	log := memkeyed.New()
	log.Append(testStream, platform.KeyedRecord{Key: "config", Value: []byte("1")}, platform.KeyedRecord{Key: "evacuate/z", Value: []byte("{}")})
	s := New(Options{
		Log: log.Link(1), Stream: testStream, Alive: func() []roster.Host { return nil },
		HostsKnown: func() bool { return true }, DirectHosts: func() int { return 10 }, Logger: logr.Discard(),
	})
	server := httptest.NewServer(s)
	defer server.Close()
	ask := NewAsker(server.Client(), func(time.Duration) bool { return false })
	host := roster.Host{Peer: netip.MustParseAddrPort(server.Listener.Addr().String())}
	_, next, err := s.Newest(t.Context(), testStream)
	require.NoError(t, err)
	log.Append(testStream, platform.KeyedRecord{Key: "evacuate/z"})
	_, _, err = s.Follow(t.Context(), testStream, next, time.Second)
	require.NoError(t, err)
	for _, from := range []platform.Position{next, {}} {
		page, err := ask(t.Context(), host, from, 0)
		require.NoError(t, err)
		last := page.Records[len(page.Records)-1]
		require.Equal(t, "evacuate/z", last.Key)
		require.Nil(t, last.Value)
	}
}

// Two of four readers are frozen: they accept what they are asked and don't answer. New settings reach
// all other hosts in time.
func TestFrozenReadersDelaySettingsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 120, 100)
		time.Sleep(5 * time.Second)
		frozen := 0
		for _, h := range f.hosts {
			if _, reads := roster.LogReaders(h.self, f.others(h), 100); reads && frozen < 2 {
				frozen++
				h.frozen.Store(true)
				h.link.Set(memkeyed.Faults{Silent: true})
			}
		}
		require.Equal(t, 2, frozen)
		for range 6 {
			require.GreaterOrEqual(t, f.put(2*time.Second), len(f.hosts)-frozen)
		}
	})
}
