// Package rendezvous implements weighted rendezvous (highest random weight) hashing. Every
// caller that scores the same nodes for the same key gets the same order. The loss of a
// node moves only the keys for which it was first.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a weighted member of the set that keys are distributed over.
type Node struct {
	// ID identifies the node.
	ID string
	// Weight is the node's share relative to others. Nodes with a weight of
	// zero or less score below all others.
	Weight float64
}

// KeyOf returns the hash of a string key.
func KeyOf(key string) uint64 {
	return xxhash.Sum64String(key)
}

// Score returns the score of a node of the given weight for a key. Higher scores come
// first. idHash is [KeyOf] of the node's ID, which callers may cache.
func Score(key, idHash uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	// The upper 53 bits of the mix give a uniform value in (0, 1).
	u := (float64(Mix(key, idHash)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// Mix combines two hashes into one that is uniform in both. For equal weights it orders
// nodes in the same way as [Score] and is cheaper.
func Mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Order returns the indexes of nodes for a key, best first. Equal scores are
// ordered by ID.
func Order(key uint64, nodes []Node) []int {
	scores := make([]float64, len(nodes))
	order := make([]int, len(nodes))
	for i, n := range nodes {
		scores[i] = Score(key, KeyOf(n.ID), n.Weight)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if c := cmp.Compare(scores[b], scores[a]); c != 0 {
			return c
		}
		return cmp.Compare(nodes[a].ID, nodes[b].ID)
	})
	return order
}

// Best returns the index of the best node for a key, or -1 if there is none.
func Best(key uint64, nodes []Node) int {
	best := -1
	var topScore float64
	for i, n := range nodes {
		s := Score(key, KeyOf(n.ID), n.Weight)
		if best < 0 || s > topScore || (s == topScore && n.ID < nodes[best].ID) {
			best, topScore = i, s
		}
	}
	return best
}
