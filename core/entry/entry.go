// Package entry chooses the hosts that a client account should connect to, in
// order of preference. All hosts compute the same order from the same host list
// and accounts.
package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Host is a host in the view of the host that answers a client.
type Host struct {
	ID            string
	Address       string
	FailureDomain string
	Region        string
	// Suspected hosts come last.
	Suspected bool
	// Leaving hosts are left out unless there are no others.
	Leaving bool
}

// maxLoadRatio limits the number of accounts for which one host comes first, in
// proportion to the mean over all hosts.
const maxLoadRatio = 1.25

// Plan assigns a first host to each account by rendezvous hashing with bounded
// loads: no host comes first for many more accounts than others. The plan depends
// on the IDs of the hosts but not on whether they are suspected, so a suspicion
// moves only the accounts of the suspected host. It is immutable.
type Plan struct {
	// first is the ID of the first host, by account.
	first map[string]string
}

// NewPlan assigns accounts to hosts. The accounts are processed in the order of
// their hashes. Each gets the host with the highest rendezvous score among those
// with free capacity.
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

// hashedID is an account with its hash.
type hashedID struct {
	id   string
	hash uint64
}

// sortByHash returns the IDs with their hashes, in the order of the hashes.
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

// bestWithCapacity returns the index of the host with the highest rendezvous score
// for a key among those with free capacity, or -1 if there is none.
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

// Order returns at most limit hosts for an account, best first: the planned first
// host, then one in another failure domain, then the others by rendezvous score.
// Hosts of the given region come before those of other regions; an empty region
// makes no difference. Suspected hosts come last and leaving ones are left out. If
// all hosts are leaving, they are returned.
func (p *Plan) Order(account, region string, hosts []Host, limit int) []Host {
	ranked := rank(account, region, p.first[account], hosts)
	if len(ranked) > 1 {
		promoteOtherDomain(ranked)
	}
	return ranked[:min(limit, len(ranked))]
}

// rank returns the hosts that Order may return, by tier and then by rendezvous score.
// The planned first host has the highest score.
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

// promoteOtherDomain moves the best host outside the first host's failure domain to
// the second place, unless it is suspected and the second host is not.
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
