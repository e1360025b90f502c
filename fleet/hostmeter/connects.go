package hostmeter

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/hostload"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

const (
	// connectWindow is the time over which the shortest one is taken. If none or too few were
	// opened in it, those before count, up to maxConnectAge: while packets wait for long, the
	// attempts to connect fail.
	connectWindow = 500 * time.Millisecond
	maxConnectAge = 1500 * time.Millisecond
	// minPeers is the number of machines to which connections must have been opened: a single one
	// may be slow.
	minPeers = 2
)

const (
	// minStuckPeers is the number of machines to which connections must have timed out, and none must
	// have been opened quickly, for this host's own link to be full.
	minStuckPeers = 3
	// minStuckKinds is the number of kinds of machines, such as upstreams and other hosts, of which
	// minStuckPeers each must have timed out if others still answer on open connections.
	minStuckKinds = 2
	// timeoutsPerAnswer is the least number of timeouts for each read from another machine.
	timeoutsPerAnswer = 4
	// quickConnect is the time in which a connection is opened while no packets wait.
	quickConnect = hostload.FullLate
	// logSilence is the time in which the log answers a host whose link is free. Reads wait for
	// records for a second at most.
	logSilence = 1500 * time.Millisecond
)

// connects are the connections that this host has opened lately.
type connects []connect

type connect struct {
	peer string
	// kind is what kind of machine the peer is.
	kind string
	at   time.Time
	took time.Duration
	// probed is true if it was opened again with a longer timeout.
	probed bool
}

// timeouts are the connections that this host has failed to open in time.
type timeouts []connect

func (t *timeouts) add(one connect) {
	for len(*t) > 0 && one.at.Sub((*t)[0].at) >= maxConnectAge {
		*t = (*t)[1:]
	}
	*t = append(*t, one)
}

// stuck returns the longest time for which a connection was tried in vain lately, if that shows that
// packets wait at this host's own link, or zero. Single machines may be down or cut off, while others
// answer on the connections that are open; but not machines of all kinds at once. answers is the number of
// reads from open connections in connectWindow.
func (t timeouts) stuck(opened connects, answers int64, now time.Time) time.Duration {
	quickAt := opened.lastQuick()
	peers, recent := make(map[string]bool), make(map[string]bool)
	kinds := make(map[string]int)
	var longest time.Duration
	var failed int64
	for _, one := range t {
		age := now.Sub(one.at)
		if age > maxConnectAge || !one.at.After(quickAt) {
			continue
		}
		longest = max(longest, one.took)
		if age <= connectWindow {
			failed++
			recent[one.peer] = true
		}
		if !peers[one.peer] {
			peers[one.peer] = true
			kinds[one.kind]++
		}
	}
	all := 0
	for _, n := range kinds {
		if n >= minStuckPeers {
			all++
		}
	}
	if failed == 0 || now.Sub(quickAt) <= connectWindow || all < minStuckKinds && (len(recent) < minStuckPeers || failed < timeoutsPerAnswer*answers) {
		return 0
	}
	return longest
}

// lastQuick returns when a connection was last opened quickly.
func (c connects) lastQuick() time.Time {
	for _, one := range slices.Backward(c) {
		if one.took < quickConnect {
			return one.at
		}
	}
	return time.Time{}
}

func (c *connects) add(one connect) {
	c.drop(one.at)
	*c = append(*c, one)
}

func (c *connects) drop(now time.Time) {
	for len(*c) > 0 && now.Sub((*c)[0].at) >= maxConnectAge {
		*c = (*c)[1:]
	}
}

// shortest returns the shortest time in which a connection was opened, or zero if there were too
// few. It counts those that were probed if asked to.
func (c *connects) shortest(now time.Time, probed bool) time.Duration {
	c.drop(now)
	if len(*c) == 0 {
		return 0
	}
	from := now
	if last := (*c)[len(*c)-1].at; now.Sub(last) > connectWindow {
		from = last
	}
	peers := make(map[string]bool, minPeers)
	var least time.Duration
	for _, one := range slices.Backward(*c) {
		if from.Sub(one.at) > connectWindow && len(peers) >= minPeers {
			break
		}
		if one.probed && !probed {
			continue
		}
		if len(peers) == 0 || one.took < least {
			least = one.took
		}
		peers[one.peer] = true
	}
	if len(peers) < minPeers {
		return 0
	}
	return least
}

// connected records a connection that was opened.
func (m *Meter) connected(peer string, took time.Duration, probed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connects.add(connect{peer: peer, at: time.Now(), took: took, probed: probed})
}

const (
	// probeTimeout bounds a connection that is opened after a timeout. Packets wait at a full link
	// for about a second at most.
	probeTimeout = 1500 * time.Millisecond
	// maxProbes is the number of such connections at a time.
	maxProbes = minPeers
)

// timeout records a connection that was not opened in time.
func (m *Meter) timeout(kind, peer string, took time.Duration) {
	m.timedOut.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timeouts.add(connect{peer: peer, kind: kind, at: time.Now(), took: took})
}

// stuckDialSpacing is the least time between two attempts to open a connection while none is opened in
// time. They show when the link is free again; more of them would keep it full.
const stuckDialSpacing = 50 * time.Millisecond

// mayDial reports whether this host tries to open a connection. Those to the log are not asked about.
func (m *Meter) mayDial(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	answers := m.answers.Load() - m.answersAt[0]
	if now.Sub(m.logAnsweredAt) >= logSilence && m.timeouts.stuck(m.connects, answers, now) > 0 && now.Sub(m.dialledAt) < stuckDialSpacing {
		return false
	}
	m.dialledAt = now
	return true
}

// LogAnswered records that the log has answered a call at once.
func (m *Meter) LogAnswered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logAnsweredAt = time.Now()
}

// stuck returns how long packets wait at this host's link at least, if nothing comes through: no
// connection is opened, and the log, which answers all the while, has not. It is called with each
// sample. The caller holds mu.
func (m *Meter) stuck(now time.Time) time.Duration {
	total := m.answers.Load()
	answers := total - m.answersAt[0]
	copy(m.answersAt[:], m.answersAt[1:])
	m.answersAt[len(m.answersAt)-1] = total
	if now.Sub(m.logAnsweredAt) < logSilence {
		return 0
	}
	return m.timeouts.stuck(m.connects, answers, now)
}

// probe opens a connection again that was not opened in time, with a longer timeout. If that
// succeeds, it was late and not lost.
func (m *Meter) probe(dial sockets.DialFunc, network, address string, err error) {
	if !isTimeout(err) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probed[address] || len(m.probed) >= maxProbes {
		return
	}
	m.probed[address] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		began := time.Now()
		c, err := dial(ctx, network, address)
		if err == nil {
			_ = c.Close()
			m.connected(address, time.Since(began), true)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.probed, address)
	}()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
