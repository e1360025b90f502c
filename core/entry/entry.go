// Package entry orders the hosts that a client account is told to connect to.
// Every host computes the same order from the same host list and accounts.
package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Host is a host as the answering host sees it.
type Host struct {
	ID            string
	Address       string
	FailureDomain string
	Region        string
	// Suspected hosts come last, and leaving ones are not given out.
	Suspected bool
	Leaving   bool
}

// maxLoadRatio is the ratio to the mean number of accounts that a host may be the
// first address of.
const maxLoadRatio = 1.25

// Plan holds the first host of each account, bounded so that no host is first
// for many more accounts than others. It depends on the IDs of the hosts but
// not on whether they are suspected, so suspicion moves only the accounts of
// the suspected host. It is immutable.
type Plan struct {
	first map[string]string
}

// NewPlan assigns accounts to hosts. Accounts choose in the order of their
// hashes; each takes its best host by rendezvous hash that has room.
func NewPlan(accounts []string, hosts []Host) *Plan {
	plan := &Plan{first: make(map[string]string, len(accounts))}
	if len(hosts) == 0 {
		return plan
	}
	capacity := int(math.Ceil(maxLoadRatio * float64(len(accounts)) / float64(len(hosts))))
	free := make([]int, len(hosts))
	hashes := make([]uint64, len(hosts))
	for i, h := range hosts {
		free[i] = capacity
		hashes[i] = rendezvous.KeyOf(h.ID)
	}
	for _, a := range sortByHash(accounts) {
		best := bestWithCapacity(a.hash, hashes, free)
		free[best]--
		plan.first[a.id] = hosts[best].ID
	}
	return plan
}

type hashedID struct {
	id   string
	hash uint64
}

func sortByHash(ids []string) []hashedID {
	out := make([]hashedID, len(ids))
	for i, id := range ids {
		out[i] = hashedID{id: id, hash: rendezvous.KeyOf(id)}
	}
	slices.SortFunc(out, func(a, b hashedID) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	return out
}

func bestWithCapacity(key uint64, hashes []uint64, free []int) int {
	best := -1
	var bestScore uint64
	for i, h := range hashes {
		if free[i] <= 0 {
			continue
		}
		if s := rendezvous.Mix(key, h); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Order returns at most limit hosts for an account, best first: the planned
// host, then one in another failure domain, then the others by rendezvous hash.
// Hosts of the given region come before those of others, suspected hosts come
// last and leaving ones are left out. If there are only leaving hosts, those
// are returned.
func (p *Plan) Order(account, region string, hosts []Host, limit int) []Host {
	ranked := rank(account, region, p.first[account], hosts)
	if len(ranked) > 1 {
		promoteOtherDomain(ranked)
	}
	return ranked[:min(limit, len(ranked))]
}

func rank(account, region, first string, hosts []Host) []Host {
	type scored struct {
		host  Host
		tier  int
		score uint64
	}
	key := rendezvous.KeyOf(account)
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		s := scored{host: h, tier: tierOf(h, region), score: rendezvous.Mix(key, rendezvous.KeyOf(h.ID))}
		if h.ID == first {
			s.score = math.MaxUint64
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.score, a.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	onlyLeaving := len(all) > 0 && all[0].host.Leaving
	out := make([]Host, 0, len(all))
	for _, s := range all {
		if !s.host.Leaving || onlyLeaving {
			out = append(out, s.host)
		}
	}
	return out
}

// Tiers of hosts, best first.
const (
	tierSameRegion = iota
	tierOtherRegion
	tierSuspected
	tierLeaving
)

func tierOf(h Host, region string) int {
	switch {
	case h.Leaving:
		return tierLeaving
	case h.Suspected:
		return tierSuspected
	case region != "" && h.Region != region:
		return tierOtherRegion
	}
	return tierSameRegion
}

// promoteOtherDomain moves the best host of another failure domain than the first's to the
// second place, unless it is suspected.
func promoteOtherDomain(hosts []Host) {
	for i := 1; i < len(hosts); i++ {
		if hosts[i].Suspected && !hosts[1].Suspected {
			return
		}
		if hosts[i].FailureDomain != hosts[0].FailureDomain {
			second := hosts[i]
			copy(hosts[2:i+1], hosts[1:i])
			hosts[1] = second
			return
		}
	}
}
