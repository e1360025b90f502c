package balance

import (
	"slices"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// What belongs to the whole fleet is divided by a hash that all hosts agree on, so that no message
// is needed: the slots of a brittle upstream and the rate of a cold one among hosts, the rate of a
// limited one among failure domains.

// rankAmong returns the number of members that come before one of them in the order that a key
// gives, or a negative number if it is no member.
func rankAmong(key, member string, members []string) int {
	if !slices.Contains(members, member) {
		return -1
	}
	k := rendezvous.KeyOf(key)
	own := rendezvous.Mix(k, rendezvous.KeyOf(member))
	rank := 0
	for _, m := range members {
		if rendezvous.Mix(k, rendezvous.KeyOf(m)) > own {
			rank++
		}
	}
	return rank
}

// shareOf returns the part of total that the member with a rank has. The first members get what
// can't be divided.
func shareOf(total, rank, members int) int {
	if rank < 0 || members == 0 {
		return 0
	}
	share := total / members
	if rank < total%members {
		share++
	}
	return share
}
