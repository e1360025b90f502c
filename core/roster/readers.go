package roster

import (
	"cmp"
	"slices"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

const (
	// maxFullGossip is the number of hosts up to which each tells all others of its
	// requests. Each host then takes in three messages for each request of the
	// fleet: with 50 hosts and 10 requests/s each, 1,500 a second.
	maxFullGossip = 50
	// maxGossipTargets bounds the hosts that are told in a larger fleet.
	maxGossipTargets = 64
	// minReaders is the least number of hosts that read from the log, so that the
	// loss of some leaves others.
	minReaders = 4
	// hostsPerReader is the number of hosts that one reader serves: with 1 Gbit/s
	// and settings of 4 MB, a quarter of that when compressed, it takes a third of
	// a second.
	hostsPerReader = 40
)

// LogReaders returns the hosts that read from the log, in the order in which this host asks
// them, and whether this host is one. Up to some number of hosts all are.
func LogReaders(self Host, others []Host, maxDirect int) ([]Host, bool) {
	hosts := 1 + len(others)
	if hosts <= maxDirect {
		return nil, true
	}
	all := append([]Host{self}, others...)
	// News of a leaving host would soon have to come from another.
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

// GossipTargets returns those of the hosts that serve which are told of a host's requests. In
// a large fleet these are hosts of its failure domain, that mostly choose from the same
// upstreams. What the others send there is seen in the upstreams' own reports.
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

// byScore orders hosts by rendezvous hashing, the highest score first.
func byScore(key string) func(a, b Host) int {
	keyHash := rendezvous.KeyOf(key)
	score := func(h Host) uint64 { return rendezvous.Mix(keyHash, rendezvous.KeyOf(string(h.ID))) }
	return func(a, b Host) int { return cmp.Compare(score(b), score(a)) }
}
