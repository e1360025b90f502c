package route

import (
	"cmp"
	"slices"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Subset returns the indexes, in ascending order, of the upstreams that a host uses. hosts
// and upstreams are hashes of IDs. Each host takes its best upstreams by rendezvous hash,
// but prefers those that are not yet taken by as many hosts as an even spread needs. So
// the upstreams are used about evenly, and all hosts compute the same spread. If size is
// negative or not below the number of upstreams, Subset returns all. If host is not in
// hosts, it returns the best by hash alone.
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
	remaining := quotas(len(ordered)*size, upstreams)
	for _, h := range ordered {
		taken := bestOf(h, upstreams, size, remaining)
		if h == host {
			return taken
		}
		for _, i := range taken {
			remaining[i]--
		}
	}
	return nil
}

// quotas distributes a number of uses over upstreams, so that no two differ by more than
// one.
func quotas(uses int, upstreams []uint64) []int {
	order := allIndexes(len(upstreams))
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(upstreams[a], upstreams[b]) })
	remaining := make([]int, len(upstreams))
	for rank, i := range order {
		remaining[i] = uses / len(upstreams)
		if rank < uses%len(upstreams) {
			remaining[i]++
		}
	}
	return remaining
}

func allIndexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// bestOf returns the best upstreams for a host, at most size, and first those with
// remaining quota. If remaining is nil, there are no quotas.
func bestOf(host uint64, upstreams []uint64, size int, remaining []int) []int {
	type scored struct {
		score uint64
		index int
	}
	best := make([]scored, 0, size+1)
	for i, u := range upstreams {
		score := rendezvous.Mix(host, u) >> 1
		if remaining == nil || remaining[i] > 0 {
			score |= 1 << 63
		}
		if len(best) == size && score <= best[size-1].score {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].score < score {
			at--
		}
		best = slices.Insert(best, at, scored{score: score, index: i})
		best = best[:min(len(best), size)]
	}
	indexes := make([]int, len(best))
	for i, b := range best {
		indexes[i] = b.index
	}
	slices.Sort(indexes)
	return indexes
}
