package relayhost

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/fleet/allocation"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

// renewalGrace is how long an entry that expired while the log was unreachable stays in
// use after the log is reachable again. The upstream needs that long to renew it.
const renewalGrace = 2 * time.Second

// lapseHeartbeats is the minimum duration of an outage, in heartbeats, in which entries
// can expire. They expire after three missed heartbeats.
const lapseHeartbeats = 2

// upstreamWatch holds the upstreams' entries, by ID.
type upstreamWatch struct {
	// heartbeat returns the interval at which an upstream renews its entry.
	heartbeat func() time.Duration
	decode    func(id string, value []byte) (catalog.Upstream, error)
	changed   func([]catalog.Upstream)
	log       logr.Logger

	mu      sync.Mutex
	entries map[string]catalog.Upstream
	// regainedAt is when the log was last reachable again after an outage. lapsed
	// holds the entries that were missing then.
	regainedAt time.Time
	lapsed     map[string]catalog.Upstream
	// offsets holds the offset of each entry's newest record.
	offsets map[string]record.Offset
	// gone holds the entries that were removed, by ID, for goneTTL.
	gone map[string]goneEntry
}

// goneEntry is an upstream whose entry was removed, and the offset of the entry's last
// record.
type goneEntry struct {
	up     catalog.Upstream
	offset record.Offset
	at     time.Time
}

// goneTTL is how long a removed entry is remembered. The log may come back from a copy of
// some seconds ago, in which the entry still exists.
const goneTTL = time.Minute

func newUpstreamWatch(heartbeat func() time.Duration, decode func(string, []byte) (catalog.Upstream, error), changed func([]catalog.Upstream), log logr.Logger) *upstreamWatch {
	return &upstreamWatch{
		heartbeat: heartbeat, decode: decode, changed: changed, log: log,
		entries: make(map[string]catalog.Upstream), lapsed: make(map[string]catalog.Upstream), offsets: make(map[string]record.Offset),
		gone: make(map[string]goneEntry),
	}
}

// regained records that the log is reachable again after an outage of a duration.
func (u *upstreamWatch) regained(lost time.Duration) {
	if lost < lapseHeartbeats*u.heartbeat() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.regainedAt = time.Now()
	time.AfterFunc(renewalGrace, u.dropLapsed)
}

// dropLapsed removes the entries that were not renewed in time.
func (u *upstreamWatch) dropLapsed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.regainedAt) < renewalGrace || len(u.lapsed) == 0 {
		return
	}
	for id, up := range u.lapsed {
		u.rememberGone(up, u.offsets[id])
		delete(u.offsets, id)
		u.log.Info("Upstream gone.", "upstream", id, "reason", "its entry was not renewed after the log's return")
	}
	clear(u.lapsed)
	u.publish()
}

func (u *upstreamWatch) snapshot(records []platform.KeyedRecord) {
	u.mu.Lock()
	defer u.mu.Unlock()
	seen := make(map[string]bool, len(records))
	updated := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.Key] = true
		updated[r.Key] = r.Offset != u.offsets[r.Key]
	}
	for id := range u.entries {
		updated[id] = updated[id] || !seen[id]
	}
	u.endGraceAfterLocalOutage(updated)
	for id := range u.entries {
		if !seen[id] {
			u.remove(id)
		}
	}
	for _, r := range records {
		u.apply(r)
	}
	u.publish()
}

// rewound applies the entries of a log that came back from an older copy. An entry that is
// missing may be written again soon, so it is kept for the renewal grace. An upstream that
// has left since the copy stays gone, and one that is leaving stays so.
func (u *upstreamWatch) rewound(records []platform.KeyedRecord) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.regainedAt = time.Now()
	time.AfterFunc(renewalGrace, u.dropLapsed)
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.Key] = true
	}
	for id := range u.entries {
		if !seen[id] {
			u.remove(id)
		}
	}
	for _, r := range records {
		if u.isGone(r) {
			u.log.Info("Entry of an upstream that has left is ignored.", "upstream", r.Key, "offset", r.Offset)
			continue
		}
		u.apply(r)
	}
	u.publish()
}

// isGone reports whether a record is the one of an entry that was removed since. A record
// at another offset was written again, by an upstream that lives.
func (u *upstreamWatch) isGone(r platform.KeyedRecord) bool {
	g, ok := u.gone[r.Key]
	if !ok || g.offset != r.Offset {
		return false
	}
	up, err := u.decode(r.Key, r.Value)
	return err == nil && up.SameStart(g.up)
}

func (u *upstreamWatch) rememberGone(up catalog.Upstream, offset record.Offset) {
	now := time.Now()
	maps.DeleteFunc(u.gone, func(_ string, g goneEntry) bool { return now.Sub(g.at) >= goneTTL })
	u.gone[up.ID] = goneEntry{up: up, offset: offset, at: now}
}

// endGraceAfterLocalOutage ends the grace for missing entries if only this host had lost
// the log. In an outage of the log itself all entries expire and are written again as
// new records. If most entries are unchanged, a missing one was removed. updated holds
// the IDs of entries that are missing or have a new record.
func (u *upstreamWatch) endGraceAfterLocalOutage(updated map[string]bool) {
	unchanged := 0
	for id := range u.entries {
		if !updated[id] {
			unchanged++
		}
	}
	if 2*unchanged > len(u.entries)+len(u.lapsed) {
		u.regainedAt = time.Time{}
	}
}

func (u *upstreamWatch) records(records []platform.KeyedRecord) {
	u.mu.Lock()
	defer u.mu.Unlock()
	updated := make(map[string]bool, len(records))
	for _, r := range records {
		updated[r.Key] = true
	}
	u.endGraceAfterLocalOutage(updated)
	for _, r := range records {
		u.apply(r)
	}
	u.publish()
}

// apply applies one record. An entry that can't be decoded is removed.
func (u *upstreamWatch) apply(r platform.KeyedRecord) {
	if r.Value == nil {
		u.remove(r.Key)
		return
	}
	u.offsets[r.Key] = r.Offset
	old, known := u.entries[r.Key]
	up, err := u.decode(r.Key, r.Value)
	if err != nil {
		u.log.Info("Entry names no upstream.", "entry", r.Key, "offset", r.Offset, "error", err.Error())
		delete(u.entries, r.Key)
		return
	}
	if lapsed, ok := u.lapsed[r.Key]; ok && !known {
		old = lapsed
	}
	if old.Leaving && old.SameStart(up) {
		up.Leaving = true // an older record, since no upstream takes its leave back
	}
	up.ReadAt = time.Now()
	if up.ColdLeft > 0 && (old.ColdLeft <= 0 || !old.SameStart(up)) {
		u.log.Info("Upstream is cold.", "upstream", up.ID, "service", up.Service, "for", up.ColdLeft, "offset", r.Offset)
	}
	if !known || !old.SameFacts(up) {
		u.log.Info("Upstream changed.", "upstream", up.ID, "service", up.Service, "version", up.Version, "address", up.Addr, "leaving", up.Leaving, "offset", r.Offset)
	}
	u.entries[r.Key] = up
	delete(u.lapsed, r.Key)
}

// remove removes an entry. One that is missing just after an outage of the log may only
// have expired, so it is kept as lapsed.
func (u *upstreamWatch) remove(id string) {
	up, known := u.entries[id]
	if !known {
		return
	}
	delete(u.entries, id)
	if time.Since(u.regainedAt) < renewalGrace {
		u.lapsed[id] = up
		u.log.Info("Upstream's entry lapsed.", "upstream", id)
		return
	}
	u.rememberGone(up, u.offsets[id])
	delete(u.offsets, id)
	u.log.Info("Upstream gone.", "upstream", id, "reason", "its entry was removed")
}

func (u *upstreamWatch) publish() {
	all := make([]catalog.Upstream, 0, len(u.entries)+len(u.lapsed))
	for _, up := range u.entries {
		all = append(all, up)
	}
	for _, up := range u.lapsed {
		up.Lapsed = true
		all = append(all, up)
	}
	slices.SortFunc(all, func(a, b catalog.Upstream) int { return strings.Compare(a.ID, b.ID) })
	u.changed(all)
}

// hostWatch holds the other hosts.
type hostWatch struct {
	log logr.Logger
	// started is called with each new run of another host.
	started func(roster.Host)
	// replaced is called when another run's entry has taken the place of this host's own. It must not
	// block.
	replaced func(run uint64, offset record.Offset)
	// lowestBuild is the fleet's lowest build level.
	lowestBuild metrics.Gauge

	mu    sync.Mutex
	table *roster.Table
	// written is the offset after this host's own entry, or zero before the log has it. other is the
	// offset of the last entry of another run of this host, otherRun that run.
	written, other record.Offset
	otherRun       roster.Host
	// known is true once the entries of the other hosts were read from the log.
	known bool
	// knownAt is when they were first read, grownAt when a host was last added to the list.
	knownAt time.Time
	grownAt time.Time
	// lowest is the lowest build that was logged last, if lowestKnown.
	lowest      build.Info
	lowestKnown bool
}

// settleTime is the time without a new host, beyond the pause between reads of the list,
// after which the list counts as complete. Hosts that start together write their entries
// within a few hundred milliseconds.
const settleTime = 300 * time.Millisecond

// fleet returns the hosts among which budgets are divided. readPause is the pause between
// reads of the list of hosts.
func (h *hostWatch) fleet(readPause time.Duration) allocation.Fleet {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts, serves := h.table.Serving()
	return allocation.Fleet{Hosts: hosts, Serves: serves, Settled: h.known && time.Since(h.grownAt) >= readPause+settleTime}
}

func (h *hostWatch) snapshot(records []platform.KeyedRecord) {
	h.apply(records)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known {
		h.known, h.knownAt = true, time.Now()
	}
	h.noteLowestBuild()
}

// members returns the hosts, with this one, that may send to upstreams, in touch or not: all that
// are listed and don't leave. It is nil while this host leaves, and until the others had the time
// readTime to read this host's entry.
func (h *hostWatch) members(readTime time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := h.table.Self()
	if !h.known || time.Since(h.knownAt) < readTime || self.Leaving {
		return nil
	}
	members := []string{string(self.ID)}
	for _, o := range h.table.Peers() {
		if !o.Leaving {
			members = append(members, string(o.ID))
		}
	}
	return members
}

// count returns the number of hosts that may be alive, including this one, or false if
// it is not known yet. Hosts without recent heartbeats count too: they may be on the
// other side of a partition.
func (h *hostWatch) count() (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Len(), h.known
}

func (h *hostWatch) apply(records []platform.KeyedRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		id := record.HostID(r.Key)
		if r.Value == nil {
			h.table.Remove(id)
			continue
		}
		var host roster.Host
		if err := json.Unmarshal(r.Value, &host); err != nil {
			h.log.Error(err, "Host entry could not be read.", "host", r.Key, "offset", r.Offset)
			continue
		}
		if host.ID == h.table.Self().ID && host.Run != h.table.Self().Run {
			h.otherRun, h.other = host, r.Offset
			h.checkReplaced()
		}
		before := h.table.Len()
		if h.table.Upsert(host, time.Now()) && h.known {
			h.started(host)
		}
		if h.table.Len() > before {
			h.grownAt = time.Now()
		}
		h.log.Info("Host listed.", "host", host.ID, "run", host.Run, "leaving", host.Leaving, "build", host.Build.Level, "revision", host.Build.Revision, "offset", r.Offset)
	}
	if h.known {
		h.noteLowestBuild()
	}
}

// entryWritten records that the log has this host's own entry before an offset.
func (h *hostWatch) entryWritten(end record.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.written = end
	h.checkReplaced()
}

// forgetEntries forgets where entries of this host are: offsets of an older copy of the log are given out
// again.
func (h *hostWatch) forgetEntries() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.written, h.other, h.otherRun = 0, 0, roster.Host{}
}

// checkReplaced finds an entry of another run that the log has after this host's own. The caller holds mu.
func (h *hostWatch) checkReplaced() {
	if h.written > 0 && h.otherRun.Run != 0 && h.other >= h.written && h.table.ReplacedBy(h.otherRun) {
		h.replaced(h.otherRun.Run, h.other)
	}
}

// heartbeats returns the heartbeats that are due.
func (h *hostWatch) heartbeats() []roster.Heartbeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Heartbeats(time.Now())
}

// receive applies a message of another host. It reports whether that run of the host is
// known.
func (h *hostWatch) receive(m *gossip.Message) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.table.RecordHeartbeat(m.Host, m.Run, m.State, now) {
		return false
	}
	if m.Watch {
		h.table.RecordWatch(m.Host, now)
	}
	h.table.ApplyDigest(m.Host, m.Digest, now)
	return true
}

func (h *hostWatch) peers() []roster.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Peers()
}

// others returns the other hosts with recent heartbeats.
func (h *hostWatch) others() []roster.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := h.table.Self().ID
	return slices.DeleteFunc(h.table.Alive(time.Now()), func(o roster.Host) bool { return o.ID == self })
}
