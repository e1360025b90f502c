package roster

import (
	"cmp"
	"slices"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

const (
	// maxFullGossip is the number of hosts up to which each host sends the events
	// of its requests to all others. Each host then receives three messages for
	// each request of the fleet: with 50 hosts and 10 requests/s each, 1,500
	// messages/s.
	maxFullGossip = 50
	// maxGossipTargets limits the receivers of these messages in a larger fleet.
	maxGossipTargets = 64
	// minReaders is the least number of hosts that read settings from the log, so
	// that some remain if others fail.
	minReaders = 4
	// hostsPerReader is the number of hosts that one reader serves. With a link of
	// 1 Gbit/s and settings of 4 MB, 1 MB compressed, this takes a third of a
	// second.
	hostsPerReader = 40
)

// LogReaders returns the hosts that read from the log, in the order in which this
// host should ask them, and whether this host is one of them. In a fleet of at most
// maxDirect hosts every host reads from the log, and the list is nil. Readers are
// large hosts that don't leave. If there are none, this host reads itself.
func LogReaders(self Host, others []Host, maxDirect int) ([]Host, bool) {
	hosts := 1 + len(others)
	if hosts <= maxDirect {
		return nil, true
	}
	all := append([]Host{self}, others...)
	// The hosts that a leaving reader serves would soon need another.
	all = slices.DeleteFunc(all, func(h Host) bool { return h.Leaving })
	large := LargeHosts(all)
	slices.SortFunc(large, byScore(""))
	readers := large[:min(len(large), max(minReaders, hosts/hostsPerReader))]
	if slices.ContainsFunc(readers, func(h Host) bool { return h.ID == self.ID }) {
		return readers, true
	}
	slices.SortFunc(readers, byScore(string(self.ID)))
	return readers, len(readers) == 0
}

// GossipTargets returns those of the serving hosts that receive the events of a
// host's requests. In a large fleet these are hosts of its failure domain, because
// they mostly choose from the same upstreams. What hosts of other failure domains
// send to these upstreams shows in the upstreams' own reports.
func GossipTargets(self Host, serving []Host) []Host {
	if len(serving) < maxFullGossip {
		return serving
	}
	near := slices.DeleteFunc(slices.Clone(serving), func(h Host) bool { return h.FailureDomain != self.FailureDomain })
	if len(near) > maxGossipTargets {
		slices.SortFunc(near, byScore(string(self.ID)))
		near = near[:maxGossipTargets]
	}
	return near
}

// EventTargets returns those of the [GossipTargets] that receive the events of a host's requests. Small
// hosts receive those of their failure domain only: the events of a whole fleet take a small host more
// time than the requests of its callers. What others send to an upstream shows in its statements.
func EventTargets(self Host, serving []Host) []Host {
	large := isLargeAmong(append([]Host{self}, serving...))
	return slices.DeleteFunc(slices.Clone(GossipTargets(self, serving)), func(h Host) bool {
		return !large(h) && h.FailureDomain != self.FailureDomain
	})
}

// LimitGroup returns the hosts that a host tells of its requests to upstreams that have a
// limit, and of what upstreams state about themselves: all hosts, and in a large fleet those
// of its failure domain. Unlike [GossipTargets] it includes hosts that serve few requests.
func LimitGroup(self Host, hosts []Host) []Host {
	if len(hosts) < maxFullGossip {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.FailureDomain != self.FailureDomain })
}

// LimitDomains returns the failure domains, in order, that are a [LimitGroup] each, or nil
// if all hosts are one group.
func LimitDomains(self Host, hosts []Host) []string {
	if len(hosts) < maxFullGossip {
		return nil
	}
	domains := []string{self.FailureDomain}
	for _, h := range hosts {
		domains = append(domains, h.FailureDomain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// noticeTellers is the number of hosts that tell a new run of a host what upstreams have
// stated. One of them may be starting itself.
const noticeTellers = 2

// TellsNotices reports whether this host is one of those that tell a new run of a host what
// upstreams have stated about themselves. others are the hosts that are alive.
func TellsNotices(self, started Host, others []Host) bool {
	tellers := LimitGroup(started, append([]Host{self}, others...))
	tellers = slices.DeleteFunc(slices.Clone(tellers), func(h Host) bool { return h.ID == started.ID })
	slices.SortFunc(tellers, byScore(string(started.ID)))
	tellers = tellers[:min(len(tellers), noticeTellers)]
	return slices.ContainsFunc(tellers, func(h Host) bool { return h.ID == self.ID })
}

// crashCollectors is the number of hosts that collect reports of crashes in a large fleet. One
// may fail, and another may not have heard who serves.
const crashCollectors = 3

// CrashCollectors returns the hosts that a host tells of crashes of upstreams: all others, and
// in a large fleet a few that all agree on, of those that serve, as they know which requests
// are answered. peers are the other hosts, alive those of them that are.
func CrashCollectors(self Host, peers, alive []Host) []Host {
	if len(peers) < maxFullGossip {
		return peers
	}
	hosts := slices.DeleteFunc(append([]Host{self}, alive...), func(h Host) bool { return h.Leaving })
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(compareBool(!a.State.Active, !b.State.Active), byScore("crashes")(a, b))
	})
	hosts = hosts[:min(len(hosts), crashCollectors)]
	return slices.DeleteFunc(hosts, func(h Host) bool { return h.ID == self.ID })
}

// Lenders returns hosts in the order in which to ask them for a part of a budget: first
// those with access to the log, which can claim more, then those that serve callers, then
// those with more cores. In a large fleet most hosts hold no part of any budget. shuffle has
// the signature of rand.Shuffle and spreads the requests over equal hosts.
func Lenders(hosts []Host, shuffle func(n int, swap func(i, j int))) []Host {
	out := slices.Clone(hosts)
	shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Host) int {
		return cmp.Or(
			compareBool(a.State.Isolated, b.State.Isolated),
			compareBool(!a.State.Active, !b.State.Active),
			cmp.Compare(b.Cores, a.Cores),
		)
	})
	return out
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// byScore returns a comparison that orders hosts by their rendezvous score for a
// key, highest first.
func byScore(key string) func(a, b Host) int {
	keyHash := rendezvous.KeyOf(key)
	score := func(h Host) uint64 { return rendezvous.Mix(keyHash, rendezvous.KeyOf(string(h.ID))) }
	return func(a, b Host) int { return cmp.Compare(score(b), score(a)) }
}

// streamHolders is the number of hosts that remember, in a large fleet, which software version
// has begun a stream. A failure domain or half of the hosts may be lost at once.
const streamHolders = 3

// StreamHolders returns the hosts that remember the origin of a stream and are asked for it,
// best first. All hosts agree on them, as far as they agree on who is alive; which hosts serve
// does not matter, because those that do now may be lost together. all is true if every host of
// the fleet is told. self is this host, peers are the other hosts, alive those of them that are.
func StreamHolders(self Host, peers, alive []Host, key uint64) (holders []Host, all bool) {
	all = len(peers) < maxFullGossip
	type scored struct {
		host  Host
		score uint64
	}
	list := make([]scored, 0, len(alive)+1)
	for _, h := range append([]Host{self}, alive...) {
		if !all || h.ID != self.ID {
			list = append(list, scored{host: h, score: rendezvous.Mix(key, rendezvous.KeyOf(string(h.ID)))})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for _, s := range list[:min(len(list), streamHolders)] {
		if s.host.ID != self.ID {
			holders = append(holders, s.host)
		}
	}
	return holders, all
}
