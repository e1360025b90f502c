package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

// heartbeatFleet exchanges heartbeats between tables. Time advances in steps, and each
// host sends in its own step of an interval.
type heartbeatFleet struct {
	now    time.Time
	rng    *rand.Rand
	tables map[record.HostID]*Table
	order  []record.HostID
	down   map[record.HostID]bool
	// lost reports whether a message between two hosts is lost.
	lost func(from, to Host) bool
	// sent and bytes are the heartbeats and the digest bytes that each host has sent.
	sent      map[record.HostID]int
	bytes     map[record.HostID]int
	crossings int // bytes between failure domains
}

const stepsPerInterval = 10

// heartbeatBytes is the size of a heartbeat without a digest, without the headers of its
// datagram. fleet/gossip checks it.
const heartbeatBytes = 60

// maxControlBytes is the users' limit on a host's control traffic, in bytes per second.
const maxControlBytes = 2048

func newHeartbeatFleet(hosts, domains, large int) *heartbeatFleet {
	f := &heartbeatFleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, uint64(hosts))), tables: make(map[record.HostID]*Table),
		down: make(map[record.HostID]bool), lost: func(_, _ Host) bool { return false },
	}
	var all []Host
	for i := range hosts {
		cores := 0.19
		if i < large {
			cores = 0.8
		}
		all = append(all, Host{ID: record.HostID(fmt.Sprintf("h%03d", i)), Run: uint64(i), FailureDomain: fmt.Sprintf("d%d", i%domains), Cores: cores})
	}
	for _, self := range all {
		t := NewTable(self)
		for _, other := range all {
			t.Upsert(other, f.now)
		}
		f.tables[self.ID] = t
		f.order = append(f.order, self.ID)
	}
	f.resetCounts()
	return f
}

func (f *heartbeatFleet) resetCounts() {
	f.sent, f.bytes, f.crossings = make(map[record.HostID]int), make(map[record.HostID]int), 0
}

func (f *heartbeatFleet) run(d time.Duration) {
	step := HeartbeatInterval / stepsPerInterval
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		phase := int(f.now.UnixNano()/int64(step)) % stepsPerInterval
		for i, id := range f.order {
			if i%stepsPerInterval == phase && !f.down[id] {
				f.beat(f.tables[id])
			}
		}
	}
}

func (f *heartbeatFleet) beat(from *Table) {
	self := from.Self()
	for _, b := range from.Heartbeats(f.now) {
		f.sent[self.ID]++
		f.bytes[self.ID] += len(b.Digest)
		if b.To.FailureDomain != self.FailureDomain {
			f.crossings += heartbeatBytes + len(b.Digest)
		}
		if f.down[b.To.ID] || f.lost(self, b.To) {
			continue
		}
		to := f.tables[b.To.ID]
		if !to.RecordHeartbeat(self.ID, self.Run, State{Active: self.Cores > 0.5}, f.now) {
			continue
		}
		if b.Watch {
			to.RecordWatch(self.ID, f.now)
		}
		to.ApplyDigest(self.ID, b.Digest, f.now)
	}
}

// missing returns the number of pairs of running hosts of which one does not count the
// other as alive, and ghosts that of running and stopped hosts of which the first counts
// the second as alive.
// It looks at every seventh host.
func (f *heartbeatFleet) missing() (missing, ghosts int) {
	for i, id := range f.order {
		t := f.tables[id]
		if f.down[id] || i%7 != 0 {
			continue
		}
		alive := make(map[record.HostID]bool)
		for _, h := range t.Alive(f.now) {
			alive[h.ID] = true
		}
		for other := range f.tables {
			switch {
			case f.down[other] && alive[other]:
				ghosts++
			case !f.down[other] && !alive[other]:
				missing++
			}
		}
	}
	return missing, ghosts
}

// Heartbeats of all hosts to all others cost 174,000 datagrams a second with 295 hosts.
// Through observers, a host's cost stays flat as the fleet grows, and all hosts still know
// which others are alive.
func TestHeartbeatsThroughObservers(t *testing.T) {
	const seconds = 5
	for _, hosts := range []int{100, 295, 617} {
		f := newHeartbeatFleet(hosts, 6, max(4, hosts/16))
		f.run(5 * time.Second)
		missing, _ := f.missing()
		require.Zero(t, missing, "%d hosts", hosts)
		f.resetCounts()
		f.run(seconds * time.Second)
		missing, _ = f.missing()
		require.Zero(t, missing, "%d hosts", hosts)
		most, bytes := 0, 0
		for id, n := range f.sent {
			most = max(most, n)
			bytes += n*heartbeatBytes + f.bytes[id]
		}
		perHost := float64(bytes) / seconds / float64(hosts)
		t.Logf("%d hosts: %.0f bytes/s a host, %.0f heartbeats/s at the busiest, %.0f bytes/s between domains",
			hosts, perHost, float64(most)/seconds, float64(f.crossings)/seconds)
		require.Less(t, perHost, float64(maxControlBytes), "%d hosts", hosts)
	}
}

// Forty hosts stop at once, with all observers of a domain among them. The others notice
// within some seconds, none is kept alive by digests that go round, and none that runs is
// given up for long. When they are back, they are known again.
func TestObserversAreReplaced(t *testing.T) {
	f := newHeartbeatFleet(295, 6, 18)
	f.run(5 * time.Second)
	for _, id := range f.order {
		h := f.tables[id].Self()
		if h.FailureDomain == "d2" && h.Cores > 0.5 {
			f.down[id] = true
		}
	}
	for len(f.down) < 40 {
		f.down[f.order[f.rng.IntN(len(f.order))]] = true
	}
	f.run(directTimeout + relayDelay + 3*HeartbeatInterval)
	_, ghosts := f.missing()
	require.Zero(t, ghosts)
	f.run(3 * time.Second)
	missing, ghosts := f.missing()
	require.Zero(t, missing)
	require.Zero(t, ghosts)

	clear(f.down)
	f.run(4 * time.Second)
	missing, _ = f.missing()
	require.Zero(t, missing)
}

// In each interval, one in twenty messages is lost. Hosts that run must hardly ever be
// given up.
func TestLostHeartbeatsDoNotEndHosts(t *testing.T) {
	f := newHeartbeatFleet(295, 6, 18)
	f.lost = func(_, _ Host) bool { return f.rng.Float64() < 0.05 }
	f.run(5 * time.Second)
	pairs, given := 0, 0
	for range 10 {
		f.run(time.Second)
		missing, _ := f.missing()
		given += missing
		pairs += 295 * 294 / 7
	}
	require.Less(t, float64(given)/float64(pairs), 0.001)
}

// A failure domain is cut off from the others for 20 s. Each side keeps its own hosts and
// gives up the others, and both are whole again soon after.
func TestHeartbeatsAfterACutBetweenDomains(t *testing.T) {
	f := newHeartbeatFleet(295, 6, 18)
	f.run(5 * time.Second)
	f.lost = func(from, to Host) bool { return (from.FailureDomain == "d1") != (to.FailureDomain == "d1") }
	f.run(20 * time.Second)
	self := f.tables["h001"]
	require.Equal(t, "d1", self.Self().FailureDomain)
	for _, h := range self.Alive(f.now) {
		require.Equal(t, "d1", h.FailureDomain)
	}
	require.Len(t, self.Alive(f.now), 49)
	f.lost = func(_, _ Host) bool { return false }
	f.run(4 * time.Second)
	missing, _ := f.missing()
	require.Zero(t, missing)
}
