package balance

import (
	"math"

	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// ConnLimit is what limits the connections to an upstream.
type ConnLimit struct {
	// Max is the number of connections that the upstream accepts from all hosts
	// together; 0 means any number.
	Max int
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Hosts is the number of hosts that may be alive.
	Hosts int
}

// idle returns the number of connections that may be idle at all hosts together, at most
// half: the hosts' shares are random and may sum up to more. The rest is left to requests,
// of which as many may wait at the upstream as run.
func (l ConnLimit) idle() int {
	return min(l.Max/2, max(l.Max-2*l.Slots, l.Max/4))
}

// IdleConns returns the number of idle connections that a host may keep to an upstream. If
// the hosts' equal share is not a whole number, some of them keep one more than others.
func (l ConnLimit) IdleConns(host, upstream string) int {
	if l.Max <= 0 {
		return math.MaxInt
	}
	share := float64(l.idle()) / float64(max(l.Hosts, 1))
	hash := rendezvous.Mix(rendezvous.KeyOf(host), rendezvous.KeyOf(upstream))
	return int(share + float64(hash)/math.MaxUint64)
}
