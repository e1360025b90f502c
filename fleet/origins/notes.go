package origins

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// note is a record of the log: a software version that a service has, or had until shortly
// before. After a restart of all hosts at once nobody else knows the versions that have left
// the list meanwhile.
type note struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Era is the latest era of the log in which the writer knew that no note is missing. Notes
	// of earlier builds have none.
	Era platform.Era `json:"era,omitempty"`
	// Earlier is true if hosts of a build that writes no notes before it serves were listed in
	// the [origin.Lifetime] before. Notes of versions may then be missing.
	Earlier bool `json:"earlier,omitempty"`
}

// key returns the key of the note's record.
func (n note) key() string { return n.Service + "/" + n.Version }

func (n note) version() origin.Version {
	return origin.VersionOf(catalog.Upstream{Service: n.Service, Version: n.Version})
}

// Times of notes.
const (
	// noteInterval is the time between two comparisons of the notes with the list. Each host
	// adds a random part, so that mostly one of them writes.
	noteInterval = 2 * time.Second
	// standInDelay is how long a host waits for the note of a new version that another host
	// writes. The host adds a random part of the same length.
	standInDelay = 150 * time.Millisecond
	// noteRetryDelay is the delay after a note could not be written.
	noteRetryDelay = 100 * time.Millisecond
	// noteWait bounds how long the first event of a stream waits for the note of its version.
	// A write of the log takes some milliseconds; callers expect a first event in a second.
	noteWait = time.Second
	// vouchDelay is how long after the log came back from an older copy a host waits before it
	// states that no note is missing. By then other hosts have written theirs again.
	vouchDelay = 5 * time.Second
	// vouchOutage is the longest outage of the log over which a host can state so.
	vouchOutage = origin.Lifetime / 2
)

// firstEra is the era in which the log has not come back from an older copy.
const firstEra platform.Era = 0

// ErrNotNoted reports that the log could not take a note of a software version in time.
var ErrNotNoted = errors.New("origins: the log has no note of the software version yet")

// Position records the position of the log up to which the next records reach. It is called
// before they are applied.
func (k *Keeper) Position(p platform.Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followEra = p.Era
}

// Snapshot applies the newest records of the log.
func (k *Keeper) Snapshot(records []platform.KeyedRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.snapshot(records, k.followEra)
}

// Records applies new records of the log.
func (k *Keeper) Records(records []platform.KeyedRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.followEra < k.notesEra {
		return // they were read before the log came back from an older copy
	}
	k.applyRecords(records)
	k.notesChanged()
}

// NotesRead records that the notes were read.
func (k *Keeper) NotesRead() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.followEra < k.notesEra {
		return
	}
	k.notedAt = time.Now()
	k.notesChanged()
}

// snapshot applies all notes, as read in an era. The caller holds mu.
func (k *Keeper) snapshot(records []platform.KeyedRecord, era platform.Era) {
	if !k.notedAt.IsZero() && era < k.notesEra {
		return
	}
	now := time.Now()
	if !k.notedAt.IsZero() && era > k.notesEra {
		k.vouches = !k.knewAt.IsZero() && now.Sub(k.knewAt) < vouchOutage
		k.rewoundAt = now
		for _, h := range k.histories {
			h.Rewind(now)
		}
		k.log.Info("Notes of software versions may be lost.", "era", era, "before", k.notesEra, "notes", len(records), "knew_all", k.vouches)
	}
	clear(k.notes)
	k.notesEra, k.notedAt = era, now
	k.applyRecords(records)
	k.notesChanged()
}

// applyRecords applies records of the log. The caller holds mu.
func (k *Keeper) applyRecords(records []platform.KeyedRecord) {
	for _, r := range records {
		var n note
		switch err := json.Unmarshal(r.Value, &n); {
		case r.Value == nil:
			delete(k.notes, r.Key)
		case err != nil:
			k.log.Info("Record of the log names no software version.", "key", r.Key, "offset", r.Offset, "error", err.Error())
		default:
			k.notes[r.Key] = n
			k.texts[n.version()] = n
		}
	}
	k.notedAt = time.Now()
}

// notesChanged passes the notes on to the histories and to whoever waits. The caller holds mu.
func (k *Keeper) notesChanged() {
	k.appliedWhole = k.whole()
	noted := make(map[origin.Version]bool, len(k.notes))
	for _, n := range k.notes {
		noted[n.version()] = true
	}
	k.noted.Store(&noted)
	for service := range k.histories {
		k.applyNotes(service)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// applyNotes passes the notes of a service on to its history. The caller holds mu.
func (k *Keeper) applyNotes(service string) {
	if k.notedAt.IsZero() {
		return
	}
	var versions []origin.Version
	for _, n := range k.notes {
		if n.Service == service {
			versions = append(versions, n.version())
		}
	}
	k.histories[service].Note(versions, k.whole(), k.notedAt)
}

// whole reports whether the log has a note of each version that has served: a host has stated
// so in the era of the log, or the log has never come back from an older copy; and no host of a
// build that begins streams without notes was listed in the last [origin.Lifetime], as far as this
// host and the notes tell. The caller holds mu.
func (k *Keeper) whole() bool {
	if k.buildsKnownAt.IsZero() || k.earlierListed(time.Now()) {
		return false
	}
	stated := k.notesEra == firstEra
	for _, n := range k.notes {
		if n.Earlier {
			return false
		}
		stated = stated || n.Era == k.notesEra
	}
	return stated
}

// observeBuilds records whether hosts of earlier builds are listed. The caller holds mu.
func (k *Keeper) observeBuilds(now time.Time) {
	lowest, known := k.opt.LowestBuild()
	if !known {
		return
	}
	if k.buildsKnownAt.IsZero() {
		k.buildsKnownAt = now
	}
	if lowest < build.Stated {
		k.earlierAt = now
	}
	if whole := k.whole(); whole != k.appliedWhole {
		k.notesChanged()
	}
}

// earlierListed reports whether this host has seen hosts of earlier builds in the list in the last
// [origin.Lifetime]. The caller holds mu.
func (k *Keeper) earlierListed(now time.Time) bool {
	return !k.earlierAt.IsZero() && now.Sub(k.earlierAt) < origin.Lifetime
}

// marksEarlier returns what a note has to state in place of [note.Earlier]. Only a host that has
// watched the lists for [origin.Lifetime] takes it back. The caller holds mu.
func (k *Keeper) marksEarlier(n note, now time.Time) bool {
	if k.earlierListed(now) {
		return true
	}
	watched := func(since time.Time) bool { return !since.IsZero() && now.Sub(since) >= origin.Lifetime }
	return n.Earlier && !(watched(k.buildsKnownAt) && watched(k.watchedSince))
}

// knows reports whether this host knows all versions that can have begun a stream. The caller
// holds mu.
func (k *Keeper) knows(now time.Time) bool {
	for _, h := range k.histories {
		if !h.Knows(now) {
			return false
		}
	}
	return !k.notedAt.IsZero()
}

// Noted returns the versions that the log has a note of. Streams begin at these first. The
// caller may not change it.
func (k *Keeper) Noted() map[origin.Version]bool {
	if noted := k.noted.Load(); noted != nil {
		return *noted
	}
	return nil
}

// isNoted reports whether a note of a version is in the log. The caller holds mu.
func (k *Keeper) isNoted(v origin.Version) bool {
	return k.Noted()[v] && k.notesEra == k.opt.Log.Era()
}

// AwaitNoted waits until the log has a note of the version of an upstream. Only then may the
// first event of a stream leave this host: if all hosts are lost, the log alone tells those
// that start which versions have served. The error is [ErrNotNoted].
func (k *Keeper) AwaitNoted(ctx context.Context, up catalog.Upstream) error {
	v := origin.VersionOf(up)
	k.mu.Lock()
	if k.isNoted(v) {
		k.mu.Unlock()
		return nil
	}
	k.texts[v] = note{Service: up.Service, Version: up.Version}
	k.waiting[v]++
	changed, rewound := k.changed, k.notesEra < k.opt.Log.Era()
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.waiting[v]--; k.waiting[v] == 0 {
			delete(k.waiting, v)
		}
	}()
	began := time.Now()
	timeout := time.NewTimer(noteWait)
	defer timeout.Stop()
	for {
		k.wake(rewound || k.writesFirst(v))
		select {
		case <-ctx.Done():
			return ErrNotNoted
		case <-timeout.C:
			k.log.Info("Stream does not begin.", "upstream", up.ID, "version", up.Version, "waited", time.Since(began), "reason", ErrNotNoted.Error())
			return ErrNotNoted
		case <-changed:
		}
		k.mu.Lock()
		noted := k.isNoted(v)
		changed, rewound = k.changed, k.notesEra < k.opt.Log.Era()
		k.mu.Unlock()
		if noted {
			return nil
		}
	}
}

// writesFirst reports whether this host is the one that notes a version. Others do after
// [standInDelay].
func (k *Keeper) writesFirst(v origin.Version) bool {
	own := rendezvous.Mix(uint64(v), rendezvous.KeyOf(string(k.opt.Self.ID)))
	for _, h := range k.opt.Alive() {
		if rendezvous.Mix(uint64(v), rendezvous.KeyOf(string(h.ID))) > own {
			return false
		}
	}
	return true
}

// restates reports whether this host states that no note is missing: mostly one host does.
func (k *Keeper) restates(v origin.Version) bool {
	return k.writesFirst(v) || rand.N(1+len(k.opt.Alive())) == 0
}

// wake has notes written, at once or after [standInDelay].
func (k *Keeper) wake(now bool) {
	c := k.soon
	if now {
		c = k.now
	}
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run writes notes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	delay := func() time.Duration { return noteInterval/2 + rand.N(noteInterval) }
	timer := time.NewTimer(delay())
	defer timer.Stop()
	at := time.Now().Add(noteInterval)
	now := k.now // nil after a failed call, until the next one is due
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.soon:
			if d := standInDelay + rand.N(standInDelay); time.Until(at) > d {
				at = time.Now().Add(d)
				timer.Reset(d)
			}
			continue
		case <-now:
		case <-timer.C:
		}
		next := delay()
		now = k.now
		if err := k.compare(ctx); err != nil && ctx.Err() == nil {
			k.log.Info("Software versions could not be noted.", "error", err.Error())
			now, next = nil, noteRetryDelay+rand.N(noteRetryDelay)
		}
		at = time.Now().Add(next)
		timer.Reset(next)
	}
}

// compare reads the notes again if they may be too old, and writes those that are missing.
func (k *Keeper) compare(ctx context.Context) error {
	k.mu.Lock()
	k.observeBuilds(time.Now())
	stale := k.notedAt.IsZero() || k.notedAt.Before(k.watchedSince) || k.notesEra < k.opt.Log.Era()
	k.mu.Unlock()
	if stale {
		records, pos, err := k.opt.Log.Newest(ctx, k.opt.Stream)
		if err != nil {
			return fmt.Errorf("origins: read notes: %w", err)
		}
		k.mu.Lock()
		k.snapshot(records, pos.Era)
		k.mu.Unlock()
	}
	records := k.due()
	if len(records) == 0 {
		return nil
	}
	pos, err := k.opt.Log.Put(ctx, k.opt.Stream, platform.Writer{}, records)
	if err != nil {
		return fmt.Errorf("origins: write %d notes: %w", len(records), err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if pos.Era == k.notesEra {
		k.applyRecords(records)
		k.notesChanged()
	}
	return nil
}

// due returns the records by which the notes differ from the versions of the last
// [origin.Lifetime]. Nothing is removed while the list is out of reach.
func (k *Keeper) due() []platform.KeyedRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.notedAt.IsZero() {
		return nil
	}
	fresh := now.Sub(k.readAt) <= k.maxAge()
	era := platform.Era(0)
	states := k.knows(now) || k.vouches && now.Sub(k.rewoundAt) >= vouchDelay
	if fresh && states {
		era = k.notesEra
	}
	wanted := make(map[origin.Version]bool)
	stated := make(map[origin.Version]bool)
	for v := range k.waiting {
		wanted[v] = true
	}
	for _, h := range k.histories {
		for _, v := range h.Unnoted(now) {
			wanted[v] = true
		}
		for _, v := range h.Recent(now) {
			stated[v] = true
		}
	}
	var out []platform.KeyedRecord
	for v, n := range k.texts {
		noted := k.Noted()[v]
		restate := era > 0 && stated[v] && k.notes[n.key()].Era < era && k.restates(v)
		earlier := k.marksEarlier(k.notes[n.key()], now)
		remark := fresh && noted && earlier != k.notes[n.key()].Earlier && k.restates(v)
		if (!wanted[v] || noted) && !restate && !remark {
			continue
		}
		n.Era, n.Earlier = max(era, k.notes[n.key()].Era), earlier
		if value, err := json.Marshal(n); err == nil {
			out = append(out, platform.KeyedRecord{Key: n.key(), Value: value})
		}
	}
	if !fresh {
		return out
	}
	for key, n := range k.notes {
		if _, known := k.histories[n.Service]; !known {
			k.history(n.Service).Observe(nil, now)
		}
		if k.histories[n.Service].Left(n.version(), now) && k.waiting[n.version()] == 0 {
			out = append(out, platform.KeyedRecord{Key: key})
			delete(k.texts, n.version())
		}
	}
	return out
}
