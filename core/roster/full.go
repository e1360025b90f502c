package roster

import (
	"net/netip"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// FullTTL is how long a host counts as full after it has said so. It says so again while it lasts.
const FullTTL = 2 * time.Second

// SetFull records that a run of a host has said that it is full, or that it is so no more.
func (t *Table) SetFull(id record.HostID, run uint64, full bool, now time.Time) {
	e, ok := t.hosts[id]
	if !ok || e.host.Run != run {
		return
	}
	e.fullUntil = time.Time{}
	if full {
		e.fullUntil = now.Add(FullTTL)
	}
}

// SetSelfFull sets whether this host is full.
func (t *Table) SetSelfFull(full bool) { t.selfFull = full }

func (t *Table) isFull(h Host, now time.Time) bool {
	if h.ID == t.self.ID {
		return t.selfFull
	}
	e, ok := t.hosts[h.ID]
	return ok && now.Before(e.fullUntil)
}

// FullHosts returns the number of hosts that are full.
func (t *Table) FullHosts(now time.Time) int {
	n := 0
	for _, h := range t.Alive(now) {
		if t.isFull(h, now) {
			n++
		}
	}
	return n
}

// replaceFull returns the addresses of the large hosts of the caller's failure domain. Each full one
// is replaced by one host with room: a small one of the domain, or else a large one of another
// domain. Each answer takes another one, as the hosts are shuffled, so that the load of a full host
// is spread. If no large host of the domain has room, the full ones stay beside their replacements:
// they still carry most.
func (t *Table) replaceFull(hosts []Host, near, large func(Host) bool, now time.Time) []netip.AddrPort {
	has := func(h Host) bool { return !t.isFull(h, now) }
	first := addresses(hosts, func(h Host) bool { return near(h) && large(h) })
	roomy := addresses(hosts, func(h Host) bool { return near(h) && large(h) && has(h) })
	full := len(first) - len(roomy)
	if full == 0 {
		return first
	}
	others := addresses(hosts, func(h Host) bool { return near(h) && !large(h) && has(h) })
	if len(others) < full {
		others = append(others, addresses(hosts, func(h Host) bool { return !near(h) && large(h) && has(h) })...)
	}
	others = others[:min(full, len(others))]
	if len(roomy) == 0 {
		return append(first, others...)
	}
	return append(roomy, others...)
}
