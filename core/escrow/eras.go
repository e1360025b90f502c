package escrow

import (
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// Budgets and eras of the log. When the log comes back from an older copy of itself, the
// claims of the last seconds are gone. Each host that runs writes its claims again and
// confirms the new era in its host record, after which its claims are exact. The claims of
// a host that does not, because it has died or is cut off, may be higher than the log
// shows. They are bounded: within the age of a copy, a run of a host raises its claim on a
// budget by at most a fraction of the budget. That bound counts as claimed for each era
// that a host has missed.
const (
	// maxCopyAge is the age up to which the log may come back from a copy.
	maxCopyAge = 10 * time.Second
	// runsPerCopyAge is the number of runs of a host within maxCopyAge that are counted.
	runsPerCopyAge = 2
	// growthShare is the fraction of a budget by which a host may raise its claim within
	// maxCopyAge. It is large, because the callers of an account may all keep to one host.
	growthShare = 0.75
	// minGrowth is the least limit, in tokens: some requests of usual size.
	minGrowth record.Tokens = 20_000
)

// HostRecord states which runs of a host have ended in order and which eras of the log the
// host has confirmed.
type HostRecord struct {
	Host record.HostID
	// Epoch and Seq order the host's records.
	Epoch uint64
	Seq   uint64
	// Closed is true if the run of the epoch has given back all of its allocations.
	Closed bool
	// Era is the latest era in which the host has written all of its claims.
	Era platform.Era
	// Missed is the number of eras before it that began while a run of the host had not
	// confirmed its claims and never did.
	Missed uint64
}

// missed returns the number of eras up to the given one after which the claims of a host
// may be higher than its records show. A host that closed had given back its allocations.
func (h HostRecord) missed(era platform.Era) uint64 {
	missed := h.Missed
	if era > h.Era && !h.Closed {
		missed += uint64(era - h.Era)
	}
	return missed
}

// NextMissed returns the value of Missed for the next run of the host, which begins in an
// era and reads h as the newest record of the runs before.
func (h HostRecord) NextMissed(era platform.Era) uint64 {
	if h.Epoch == 0 {
		return 0
	}
	return h.missed(era)
}

// growthLimit returns the amount by which one run of a host may raise its claim on a budget
// within maxCopyAge.
func growthLimit(prepaid record.Tokens) record.Tokens {
	return min(prepaid, max(minGrowth, record.Tokens(growthShare*float64(prepaid))))
}

// SetEra sets the latest era of the log.
func (t *ClaimTable) SetEra(era platform.Era) { t.era = era }

// Unconfirmed returns the amount of a budget with a prepaid amount that hosts may have
// claimed in addition to their records, because these were lost with an era.
func (t *ClaimTable) Unconfirmed(prepaid record.Tokens) record.Tokens {
	sum := record.Tokens(0)
	for _, h := range t.hosts {
		sum = sum.Plus(growthLimit(prepaid).Times(h.missed(t.era)).Times(runsPerCopyAge))
	}
	return sum
}

// UnconfirmedHosts returns the number of hosts with records that have not confirmed the
// latest era.
func (t *ClaimTable) UnconfirmedHosts() int {
	n := 0
	for _, h := range t.hosts {
		if h.Era < t.era {
			n++
		}
	}
	return n
}

// Growth keeps a run's claim on one budget within its limit. The zero value has no
// history.
type Growth struct {
	// points are the totals of the last maxCopyAge, and the one before it, in order.
	points []growthPoint
}

type growthPoint struct {
	at    time.Time
	total record.Tokens
}

// Record records the total of the claim as of a time.
func (g *Growth) Record(total record.Tokens, now time.Time) {
	g.points = append(g.points, growthPoint{now, total})
	for len(g.points) > 1 && now.Sub(g.points[1].at) >= maxCopyAge {
		g.points = g.points[1:]
	}
}

// Allowed returns the amount by which the claim may be raised now. A copy of the log may
// have any of the totals of the last maxCopyAge, so the lowest one counts.
func (g *Growth) Allowed(prepaid record.Tokens, now time.Time) record.Tokens {
	if len(g.points) == 0 {
		return growthLimit(prepaid)
	}
	lowest, latest := g.points[0], g.points[len(g.points)-1].total
	for i, p := range g.points {
		if i+1 < len(g.points) && now.Sub(g.points[i+1].at) >= maxCopyAge {
			lowest = g.points[i+1]
			continue
		}
		if p.total < lowest.total {
			lowest = p
		}
	}
	return max(0, lowest.total+growthLimit(prepaid)-latest)
}
