package route

import (
	"cmp"
	"slices"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Subset returns the indexes of the upstreams that host uses out of upstreams,
// in ascending order. Each host takes its best upstreams by rendezvous hash,
// while none is taken by more hosts than an even spread needs; so all upstreams
// are used about evenly, and all hosts compute the same spread. Both lists are
// hashes of IDs. If size is negative or not below the number of upstreams, or
// host is not in hosts, all or the best are returned.
func Subset(host uint64, hosts, upstreams []uint64, size int) []int {
	if size < 0 || size >= len(upstreams) {
		return allIndexes(len(upstreams))
	}
	ordered := slices.Clone(hosts)
	slices.Sort(ordered)
	ordered = slices.Compact(ordered)
	if !slices.Contains(ordered, host) {
		return bestOf(host, upstreams, size, nil)
	}
	// An upstream may be taken by this many hosts.
	quota := (len(ordered)*size + len(upstreams) - 1) / len(upstreams)
	left := make([]int, len(upstreams))
	for i := range left {
		left[i] = quota
	}
	for _, h := range ordered {
		taken := bestOf(h, upstreams, size, left)
		if h == host {
			return taken
		}
		for _, i := range taken {
			left[i]--
		}
	}
	return nil
}

func allIndexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// bestOf returns the size best upstreams for a host, those with quota left first.
func bestOf(host uint64, upstreams []uint64, size int, left []int) []int {
	order := allIndexes(len(upstreams))
	scores := make([]uint64, len(upstreams))
	for i, u := range upstreams {
		scores[i] = rendezvous.Mix(host, u)
	}
	slices.SortFunc(order, func(a, b int) int {
		if left != nil && (left[a] > 0) != (left[b] > 0) {
			if left[a] > 0 {
				return -1
			}
			return 1
		}
		return cmp.Compare(scores[b], scores[a])
	})
	best := order[:size]
	slices.Sort(best)
	return best
}
