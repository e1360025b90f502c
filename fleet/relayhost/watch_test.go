package relayhost

import (
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// upstreamList is a watch with the list that it has published.
type upstreamList struct {
	*upstreamWatch
	published sync.Mutex
	leaving   map[string]bool // by ID
}

// now returns the list that was published last.
func (l *upstreamList) now() map[string]bool {
	l.published.Lock()
	defer l.published.Unlock()
	return l.leaving
}

func newUpstreamList() *upstreamList {
	l := &upstreamList{}
	decode := func(id string, value []byte) (catalog.Upstream, error) {
		run, state, _ := strings.Cut(string(value), " ")
		return catalog.Upstream{ID: id, Started: int64(len(run)), Addr: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: state == "leaving"}, nil
	}
	l.upstreamWatch = newUpstreamWatch(func() time.Duration { return time.Second }, decode, func(all []catalog.Upstream) {
		l.published.Lock()
		defer l.published.Unlock()
		l.leaving = make(map[string]bool)
		for _, up := range all {
			l.leaving[up.ID] = up.Leaving
		}
	}, logr.Discard())
	return l
}

func entryAt(offset record.Offset, id, value string) platform.KeyedRecord {
	r := platform.KeyedRecord{Key: id, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// The list comes back from a copy in which one upstream had not announced yet that it
// leaves, one had not left yet, and one had not started yet.
func TestRestoredListDoesNotReviveUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newUpstreamList()
		copied := []platform.KeyedRecord{entryAt(0, "stays", "r"), entryAt(1, "leaves", "r"), entryAt(2, "left", "r")}
		l.snapshot(copied)
		time.Sleep(time.Minute)
		l.records([]platform.KeyedRecord{entryAt(3, "leaves", "r leaving"), entryAt(4, "left", ""), entryAt(5, "new", "r")})
		require.Equal(t, map[string]bool{"stays": false, "leaves": true, "new": false}, l.now())

		l.rewound(copied)
		require.Equal(t, map[string]bool{"stays": false, "leaves": true, "new": false}, l.now())

		// Within the grace, the entries are written again. A late old one changes nothing.
		l.records([]platform.KeyedRecord{entryAt(3, "new", "r")})
		l.records([]platform.KeyedRecord{entryAt(4, "leaves", "r leaving")})
		time.Sleep(2 * renewalGrace)
		require.Equal(t, map[string]bool{"stays": false, "leaves": true, "new": false}, l.now())

		// The next start under the same ID is another upstream.
		l.records([]platform.KeyedRecord{entryAt(5, "leaves", "r2"), entryAt(6, "left", "r2")})
		require.Equal(t, map[string]bool{"stays": false, "leaves": false, "left": false, "new": false}, l.now())
	})
}

// An upstream whose entry is not written again after the list came back is gone. One that
// had lapsed and writes its entry again under the same start is used.
func TestEntriesMissingFromTheRestoredListAreGoneInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newUpstreamList()
		l.snapshot([]platform.KeyedRecord{entryAt(0, "stays", "r"), entryAt(1, "lost", "r")})
		time.Sleep(time.Minute)
		l.rewound([]platform.KeyedRecord{entryAt(0, "stays", "r")})
		require.Equal(t, map[string]bool{"stays": false, "lost": false}, l.now())
		time.Sleep(renewalGrace + time.Millisecond)
		require.Equal(t, map[string]bool{"stays": false}, l.now())

		l.rewound([]platform.KeyedRecord{entryAt(0, "stays", "r"), entryAt(1, "lost", "r")})
		require.Equal(t, map[string]bool{"stays": false}, l.now(), "the copy has the entry of before")
		l.rewound([]platform.KeyedRecord{entryAt(0, "stays", "r"), entryAt(2, "lost", "r")})
		require.Equal(t, map[string]bool{"stays": false, "lost": false}, l.now(), "written again")
	})
}
