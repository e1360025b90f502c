// Package connlimit decides how many connections a host keeps open for others, and which of
// them yield to a new one.
package connlimit

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Phase is what a connection is used for at the moment.
type Phase uint8

// Phases of a connection.
const (
	// Unfinished means that no whole head of a request was read since the connection was opened
	// or last idle.
	Unfinished Phase = iota
	// Idle means that the last request was answered and nothing of the next one has arrived.
	Idle
	// Ended means that the last answer was sent and the connection is about to be closed.
	Ended
	// Receiving means that the body of a request is being read. It counts as begun when the caller
	// fell behind, see [Lateness].
	Receiving
	// Busy means that a request is handled whose body has arrived.
	Busy
)

// Conn describes an open connection.
type Conn struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// Address is the remote host, which may be that of many callers.
	Address netip.Addr
}

// youngAge is how long a caller may take to send a head before its connection yields first.
// It is TCP's initial retransmission timeout, after which a lost segment is sent again.
const youngAge = time.Second

// Yielding returns the indices of at most n connections to close so that others can be opened, in
// this order: unfinished ones that are no longer young, ended ones, idle ones, those whose body is late by a
// second, young unfinished ones. Of each kind those in the phase for longest go first; among those that
// differ by less than a second, those of the address with most connections. Busy connections yield only
// with busy set, last of all.
func Yielding(conns []Conn, n int, now time.Time, busy bool) []int {
	held := make(map[netip.Addr]int)
	var order []int
	for i, c := range conns {
		held[c.Address]++
		if rank(c, now) < working || busy {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := conns[a], conns[b]
		return cmp.Or(
			cmp.Compare(rank(x, now), rank(y, now)),
			cmp.Compare(age(y, now)/time.Second, age(x, now)/time.Second),
			cmp.Compare(held[y.Address], held[x.Address]),
			x.Since.Compare(y.Since),
			cmp.Compare(a, b),
		)
	})
	return order[:min(n, len(order))]
}

func age(c Conn, now time.Time) time.Duration { return max(0, now.Sub(c.Since)) }

// rank returns the place of a connection's kind in the order of yielding.
func rank(c Conn, now time.Time) int {
	switch {
	case c.Phase == Busy, c.Phase == Receiving && age(c, now) < youngAge:
		return working
	case c.Phase == Receiving:
		return 3
	case c.Phase == Idle:
		return 2
	case c.Phase == Ended:
		return 1
	case age(c, now) < youngAge:
		return 4
	}
	return 0
}

// working is the rank of connections that are at work.
const working = 5

// leastRate is the rate, in bytes per second, below which a body is late.
const leastRate = 64 << 10

// Lateness returns how late a body is of which some bytes have arrived, if the host has waited for it for
// a time.
func Lateness(waited time.Duration, received int64) time.Duration {
	return max(0, waited-time.Duration(float64(received)/leastRate*float64(time.Second)))
}

// Batch returns how many connections to close at once when all of a limit are open, so that the
// connections needn't be compared for each new one.
func Batch(limit int) int { return max(1, limit/16) }
