package relayhost

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/knownfault"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/core/settingsage"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

// tableWatch holds the routing configuration in force. It never applies a version
// older than the one in force.
type tableWatch struct {
	key    string
	decode func([]byte) (*routes.Table, error)
	// version returns the version of a configuration, or zero if it states none.
	version func([]byte) int64
	changed func(*routes.Table)
	// applyTime returns the time within which a version must be in force.
	applyTime func() time.Duration
	log       logr.Logger
	current   atomic.Pointer[routes.Table]

	mu  sync.Mutex
	age settingsage.Age
	// wasBehind is the last result of behind.
	wasBehind bool
}

// positionRepeat is the time after which the position is told again, to hosts that have missed it.
const positionRepeat = time.Second

// settingsRead records the position up to which the settings were read. The readers of the log tell it
// to all hosts.
func (h *Host) settingsRead(p platform.Position) {
	if !h.table.setPosition(p) {
		return
	}
	if _, reads := roster.LogReaders(h.self, h.hosts.others(), 0); !reads {
		return
	}
	tell := func() {
		h.gossip.BroadcastReport(gossip.Report{Host: h.self.ID, Settings: &gossip.SettingsPosition{Era: p.Era, Offset: p.Offset}})
	}
	tell()
	time.AfterFunc(positionRepeat, tell)
}

// read records that the stream was read to its end, as it was a time ago.
func (t *tableWatch) read(ago time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.age.Confirm(time.Now().Add(-ago))
}

// setPosition records the position up to which the stream was read. It reports whether that is further
// than before.
func (t *tableWatch) setPosition(p platform.Position) (further bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age.SetPosition(p)
}

// hear records the position up to which another host has read the stream.
func (t *tableWatch) hear(p platform.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.age.Hear(p, time.Now())
}

// behind reports whether a version that another host has must be in force by now, and is not.
func (t *tableWatch) behind() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	behind := t.age.Behind(time.Now(), t.applyTime())
	if behind != t.wasBehind {
		t.wasBehind = behind
		text := "Settings are up to date again."
		if behind {
			text = "Settings are older than those of other hosts; requests are rejected."
		}
		t.log.Info(text, "confirmed_ago", t.age.ConfirmedAgo(time.Now()))
	}
	return behind
}

// confirmedAgo returns the time since the settings were last known to be the newest, or a negative
// time if they never were.
func (t *tableWatch) confirmedAgo() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age.ConfirmedAgo(time.Now())
}

// confirmed reports whether no newer version can have had to be in force by now.
func (t *tableWatch) confirmed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age.Confirmed(time.Now(), t.applyTime())
}

// apply brings the newest configuration into force that can be read. A thousand routes take tens of
// milliseconds to decode on a small host, so older ones are skipped.
func (t *tableWatch) apply(records []platform.KeyedRecord) {
	for _, r := range t.newestFirst(records) {
		table, err := t.decode(r.Value)
		if err != nil {
			t.log.Error(err, "Configuration could not be read; the old one stays in force.", "offset", r.Offset)
			continue
		}
		old := t.current.Load()
		if old != nil && (table.Version <= old.Version || knownfault.KeepOldSettings) {
			return
		}
		t.current.Store(table)
		t.changed(table)
		t.log.Info("Configuration in force.", "version", table.Version, "routes", len(table.Routes), "accounts", len(table.Accounts),
			"offset", r.Offset, "bytes", len(r.Value), "confirmed_ago", t.confirmedAgo())
		return
	}
}

// newestFirst returns the records of configurations, those of higher versions first.
func (t *tableWatch) newestFirst(records []platform.KeyedRecord) []platform.KeyedRecord {
	var found []platform.KeyedRecord
	for _, r := range records {
		if r.Key == t.key && r.Value != nil {
			found = append(found, r)
		}
	}
	if len(found) < 2 {
		return found
	}
	versions := make(map[record.Offset]int64, len(found))
	for _, r := range found {
		versions[r.Offset] = t.version(r.Value)
	}
	slices.SortStableFunc(found, func(a, b platform.KeyedRecord) int { return cmp.Compare(versions[b.Offset], versions[a.Offset]) })
	return found
}
