package roster

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Heartbeats of a fleet. In a small fleet each host sends its heartbeats to all others.
// In a larger one this would cost each host a message to and from each other host, so a
// host sends them to a few observers in its failure domain. The observers answer with
// digests: which hosts they have heard from, and when. They exchange digests of their own
// domain with observers of the other domains. What a host sends and receives then depends
// on the size of its failure domain only if it is an observer, and the size of a digest
// on the number of hosts that serve or are down.
//
// A heartbeat is relayed at most twice: an observer reports on the hosts that send it
// heartbeats, and on those on which an observer of their own domain has reported to it. So
// reports do not circulate after a host has died.
const (
	// maxFullHeartbeats is the number of hosts up to which all send heartbeats to all.
	maxFullHeartbeats = 50
	// domainObservers is the number of observers to which a host of the same failure
	// domain sends heartbeats, so that one may fail without a gap.
	domainObservers = 2
	// remoteObservers is the number of observers in each other failure domain to which
	// an observer sends heartbeats.
	remoteObservers = 2
	// maxSilentObservers bounds the candidates that don't answer and are still sent
	// heartbeats, so that they are used again once they answer.
	maxSilentObservers = 3
	// relayDelay is the additional age of a heartbeat that arrives in digests: two
	// observers pass it on, each with its own next heartbeat.
	relayDelay = 2 * HeartbeatInterval
)

// Heartbeat is a heartbeat to one host.
type Heartbeat struct {
	To Host
	// Watch asks the receiver, an observer, for digests.
	Watch bool
	// Digest is the digest for the receiver, or nil.
	Digest []byte
}

// largeFleet reports whether heartbeats go through observers.
func (t *Table) largeFleet() bool { return 1+len(t.hosts) > maxFullHeartbeats }

// heartbeatTimeout returns the time without a sign of life after which a host no longer
// counts as alive.
func (t *Table) heartbeatTimeout() time.Duration {
	if t.largeFleet() {
		return directTimeout + relayDelay
	}
	return directTimeout
}

// Heartbeats returns the heartbeats that are due now. It must be called once in each
// [HeartbeatInterval].
func (t *Table) Heartbeats(now time.Time) []Heartbeat {
	if !t.largeFleet() {
		var all []Heartbeat
		for _, h := range t.Peers() {
			all = append(all, Heartbeat{To: h})
		}
		return all
	}
	out := make(map[record.HostID]*Heartbeat)
	beat := func(h Host) *Heartbeat {
		b, ok := out[h.ID]
		if !ok {
			b = &Heartbeat{To: h}
			out[h.ID] = b
		}
		return b
	}
	t.watchObservers(beat, now)
	t.answerWatchers(beat, now)
	ids := make([]record.HostID, 0, len(out))
	for id := range out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	list := make([]Heartbeat, 0, len(ids))
	for _, id := range ids {
		list = append(list, *out[id])
	}
	return list
}

// watchObservers adds the heartbeats to this host's observers: those of its own domain
// and, if it is an observer itself, some of each other domain.
func (t *Table) watchObservers(beat func(Host) *Heartbeat, now time.Time) {
	observes := t.isObserver(now)
	domains := make(map[string][]*entry)
	for _, e := range t.hosts {
		if domain := e.host.FailureDomain; observes || domain == t.self.FailureDomain {
			domains[domain] = append(domains[domain], e)
		}
	}
	for domain, hosts := range domains {
		wanted := remoteObservers
		if domain == t.self.FailureDomain {
			wanted = domainObservers
		}
		for _, e := range t.observers(hosts, wanted, now) {
			beat(e.host).Watch = true
			if e.watchedSince.IsZero() {
				e.watchedSince = now
			}
		}
	}
}

// isObserver reports whether a host of this host's failure domain watches it.
func (t *Table) isObserver(now time.Time) bool {
	for _, e := range t.hosts {
		if e.host.FailureDomain == t.self.FailureDomain && t.watches(e, now) {
			return true
		}
	}
	return false
}

// observers returns the observers to watch among the hosts of a failure domain. In an order
// that all hosts use, with the hosts with the most cores first, these are the first ones
// that answer, and those before them that do not. While too few answer, twice as many as
// are missing are tried at once.
func (t *Table) observers(hosts []*entry, wanted int, now time.Time) []*entry {
	slices.SortFunc(hosts, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.host.Cores, a.host.Cores), cmp.Compare(b.score, a.score))
	})
	var out []*entry
	missing, untried, silent := wanted, 0, 0
	for _, e := range hosts {
		if missing == 0 {
			return out
		}
		switch {
		case e.host.Leaving:
			continue
		case now.Sub(e.directAt) < directTimeout:
			missing--
		case e.watchedSince.IsZero() || now.Sub(e.watchedSince) < directTimeout:
			if untried++; untried%2 == 0 {
				missing--
			}
		case silent == maxSilentObservers:
			continue
		default:
			silent++
		}
		out = append(out, e)
	}
	if missing == wanted && untried == 0 {
		// None answers: this host may have been cut off itself. All are tried again.
		for _, e := range hosts {
			e.watchedSince = time.Time{}
		}
	}
	return out
}

// answerWatchers adds the heartbeats to the hosts that watch this host. Those of other
// domains receive a digest of this domain only.
func (t *Table) answerWatchers(beat func(Host) *Heartbeat, now time.Time) {
	var full, local []byte
	for _, e := range t.hosts {
		if !t.watches(e, now) {
			continue
		}
		b := beat(e.host)
		if e.host.FailureDomain == t.self.FailureDomain {
			if full == nil {
				full = t.digest(now, func(*entry) bool { return true })
			}
			b.Digest = full
			continue
		}
		if local == nil {
			local = t.digest(now, func(e *entry) bool { return e.host.FailureDomain == t.self.FailureDomain })
		}
		b.Digest = local
	}
}

func (t *Table) watches(e *entry, now time.Time) bool {
	return !e.watchAt.IsZero() && now.Sub(e.watchAt) < directTimeout
}

// RecordWatch records that a host asks for digests with a heartbeat.
func (t *Table) RecordWatch(id record.HostID, now time.Time) {
	if e, ok := t.hosts[id]; ok {
		e.watchAt = now
	}
}

// A digest lists the hosts whose last heartbeat is older than usual or whose state is not
// the zero State. All other hosts in its scope have been heard within freshAge, or within
// remoteFreshAge if they are of another failure domain than the observer. The scope is the
// whole fleet, and the observer's own failure domain towards other domains.
// Layout of an entry: the hash of the host's run, the age of its last heartbeat in units of
// digestAgeUnit, and its state.
const (
	freshAge         = HeartbeatInterval + HeartbeatInterval/2
	remoteFreshAge   = 2 * freshAge
	digestEntryBytes = 6
	digestAgeUnit    = 20 * time.Millisecond
	maxDigestAge     = math.MaxUint8 * digestAgeUnit
	flagLeaving      = 1 << 0
	flagIsolated     = 1 << 1
	flagActive       = 1 << 2
)

// runHash identifies a run of a host in digests.
func runHash(h Host) uint32 {
	hash := fnv.New32a()
	// Writing to a hash does not fail.
	_, _ = hash.Write([]byte(string(h.ID) + "/" + strconv.FormatUint(h.Run, 16)))
	return hash.Sum32()
}

// usualAge returns the age up to which an observer does not list a host's heartbeat.
func usualAge(observer, h Host) time.Duration {
	if h.FailureDomain == observer.FailureDomain {
		return freshAge
	}
	return remoteFreshAge
}

// digest returns a digest of the hosts that match.
func (t *Table) digest(now time.Time, match func(*entry) bool) []byte {
	out := []byte{}
	for hash, e := range t.byRun {
		if !match(e) {
			continue
		}
		age, flags := min(now.Sub(e.firsthandAt), maxDigestAge), e.host.State.flags(e.host.Leaving)
		if age <= usualAge(t.self, e.host) && flags == 0 {
			continue
		}
		out = binary.BigEndian.AppendUint32(out, hash)
		out = append(out, byte((age+digestAgeUnit-1)/digestAgeUnit), flags)
	}
	return out
}

func (s State) flags(leaving bool) byte {
	flags := byte(0)
	if leaving || s.Leaving {
		flags |= flagLeaving
	}
	if s.Isolated {
		flags |= flagIsolated
	}
	if s.Active {
		flags |= flagActive
	}
	return flags
}

// ApplyDigest applies a digest of an observer; nil is none. Entries of runs that are not
// known are ignored, as is a truncated entry at the end.
func (t *Table) ApplyDigest(from record.HostID, digest []byte, now time.Time) {
	sender, ok := t.hosts[from]
	if !ok || digest == nil {
		return
	}
	listed := make(map[uint32][]byte, len(digest)/digestEntryBytes)
	for ; len(digest) >= digestEntryBytes; digest = digest[digestEntryBytes:] {
		listed[binary.BigEndian.Uint32(digest)] = digest[4:digestEntryBytes]
	}
	foreign := sender.host.FailureDomain != t.self.FailureDomain
	for hash, e := range t.byRun {
		sameDomain := e.host.FailureDomain == sender.host.FailureDomain
		if e == sender || foreign && !sameDomain {
			continue
		}
		at, flags := now.Add(-usualAge(sender.host, e.host)), byte(0)
		if item, ok := listed[hash]; ok {
			at, flags = now.Add(-time.Duration(item[0])*digestAgeUnit), item[1]
		}
		if foreign && at.After(e.firsthandAt) {
			e.firsthandAt = at
		}
		if at.After(e.heardAt) {
			e.heardAt = at
			e.host.State = State{Leaving: flags&flagLeaving != 0, Isolated: flags&flagIsolated != 0, Active: flags&flagActive != 0}
			e.host.Leaving = e.host.Leaving || e.host.State.Leaving
		}
	}
}
