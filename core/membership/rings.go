package membership

import (
	"cmp"
	"slices"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// point is a host's place on a ring.
type point struct {
	hash   uint64
	id     record.HostID
	domain string
}

// ringOrder returns the hosts in the order of a ring.
func ringOrder(hosts []point, ring uint64) []point {
	order := slices.Clone(hosts)
	for i := range order {
		order[i].hash = rendezvous.Mix(ring, rendezvous.KeyOf(string(order[i].id)))
	}
	slices.SortFunc(order, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	return order
}

// watchersOf assigns count watchers to each host: on each of count rings, the
// nearest host before it in another failure domain. So the loss of a domain is
// seen from outside, each host has the same number of watchers, and the load is
// spread evenly. All hosts with the same list find the same watchers.
func watchersOf(hosts []point, count int) map[record.HostID][]record.HostID {
	watchers := make(map[record.HostID][]record.HostID, len(hosts))
	for ring := range uint64(count) {
		order := ringOrder(hosts, ring+1)
		for i, target := range order {
			if w, ok := watcherBefore(order, i, watchers[target.id]); ok {
				watchers[target.id] = append(watchers[target.id], w)
			}
		}
	}
	return watchers
}

// watcherBefore returns the nearest host before index i that is not yet among
// taken, in another failure domain if there is one.
func watcherBefore(order []point, i int, assigned []record.HostID) (record.HostID, bool) {
	var sameDomain record.HostID
	for step := 1; step < len(order); step++ {
		candidate := order[(i-step+len(order))%len(order)]
		if slices.Contains(assigned, candidate.id) {
			continue
		}
		if candidate.domain != order[i].domain {
			return candidate.id, true
		}
		if sameDomain == "" {
			sameDomain = candidate.id
		}
	}
	return sameDomain, sameDomain != ""
}
