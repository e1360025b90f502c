package membership

import (
	"cmp"
	"slices"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// point is a host on a hash ring.
type point struct {
	hash   uint64
	id     record.HostID
	domain string
}

// ringOrder returns the hosts in their order on a ring. Each ring number gives
// another order.
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

// watchersOf assigns at most count watchers to each host: on each of count
// rings, the nearest preceding host in another failure domain. Thus the loss of
// a failure domain is detected from outside, each host has the same number of
// watchers, and the load of probing is spread evenly. All hosts with the same
// list compute the same watchers.
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

// watcherBefore returns the nearest host before index i that is not yet
// assigned, preferably in another failure domain. It returns false if every
// other host is assigned.
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
