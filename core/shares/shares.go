// Package shares decides how client accounts compete for the room of one service. While the
// service has room, accounts have no effect on each other. When requests have to wait, an account
// that has used more than its weighted share of late waits for a shorter time before it is
// rejected, so that its requests leave their room to accounts below their shares. What others
// leave unused is lent: an account is never held to its share while nothing waits.
//
// The load that this answers: one of many accounts sends several times its usual, at one host or
// at all.
package shares

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// window is the time constant of the recent use. It covers several answers, and is short
	// against a burst.
	window = 3 * time.Second
	// reportLifetime is how long another host's report of its use counts.
	reportLifetime = 2 * time.Second
	// activeShare is the part of an equal share from which an account counts as one that
	// competes. One that sends a request now and then takes no share from the others.
	activeShare = 0.05
	// refreshTime is the age up to which the sum over all hosts is used again.
	refreshTime = 50 * time.Millisecond
	// minFactor is the least part of the usual wait that is left to an account.
	minFactor = 0.2
	// tolerance is the use, in shares, up to which an account waits as long as any other.
	// Recent use varies by chance.
	tolerance = 1.25
)

// AccountID identifies an account in reports.
type AccountID uint32

// IDOf returns the ID of an account.
func IDOf(account string) AccountID { return AccountID(xxhash.Sum64String(account)) }

// Use is what an account has used of late, in units of the service's room a second: the time
// that a request keeps an upstream busy.
type Use struct {
	Account   AccountID
	PerSecond float64
}

// Report is what the requests of one host have used of late.
type Report struct {
	// Largest are the accounts with the most use.
	Largest []Use
	// RestPerSecond is the use of all others, and Rest their number.
	RestPerSecond float64
	Rest          int
}

// maxReported bounds the accounts in a report, so that it fits into one packet.
const maxReported = 32

// Table is one host's picture of the use of one service by all hosts. It is not safe for
// concurrent use. The zero value is not usable; see [NewTable].
type Table struct {
	own map[AccountID]*meter
	// others holds the latest report of each other host.
	others map[string]received
	// totals is the use by all hosts as of totalAt. It is computed anew once in refreshTime,
	// because it takes time for each host.
	totals  totals
	totalAt time.Time
}

type received struct {
	Report
	at time.Time
}

// totals is the use by the requests of all hosts.
type totals struct {
	// use is that of the accounts of which it is known. rest is that of all others in reports,
	// and restCount their number, at most as large as it is.
	use       map[AccountID]float64
	rest      float64
	restCount int
	sum       float64
}

// meter is a rate that decays exponentially.
type meter struct {
	sum float64
	at  time.Time
}

func (m *meter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-max(0, now.Sub(m.at).Seconds())/window.Seconds())
}

func (m *meter) add(amount float64, now time.Time) {
	m.sum, m.at = m.decayed(now)+amount, now
}

// NewTable returns a table without use.
func NewTable() *Table {
	return &Table{own: make(map[AccountID]*meter), others: make(map[string]received)}
}

// Record records that this host has sent a request of an account, which takes amount of the
// service's room.
func (t *Table) Record(account AccountID, amount float64, now time.Time) {
	if !(amount > 0) || math.IsInf(amount, 0) {
		return
	}
	m, ok := t.own[account]
	if !ok {
		m = &meter{at: now}
		t.own[account] = m
	}
	m.add(amount, now)
}

// minRate is the use, in units a second, below which an account is forgotten.
const minRate = 1e-6

// Own returns the report on this host's requests.
func (t *Table) Own(now time.Time) Report {
	var all []Use
	for account, m := range t.own {
		rate := m.decayed(now) / window.Seconds()
		if rate < minRate {
			delete(t.own, account)
			continue
		}
		all = append(all, Use{Account: account, PerSecond: rate})
	}
	slices.SortFunc(all, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Account, b.Account))
	})
	r := Report{Largest: all[:min(len(all), maxReported)]}
	for _, u := range all[len(r.Largest):] {
		r.RestPerSecond += u.PerSecond
		r.Rest++
	}
	return r
}

// Apply applies the report of another host, which replaces its earlier one. Use that is negative
// or no number is ignored.
func (t *Table) Apply(host string, r Report, now time.Time) {
	r.Largest = slices.DeleteFunc(slices.Clone(r.Largest), func(u Use) bool { return !validRate(u.PerSecond) })
	if !validRate(r.RestPerSecond) || r.Rest < 0 {
		r.RestPerSecond, r.Rest = 0, 0
	}
	t.others[host] = received{Report: r, at: now}
}

func validRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 0) }

// Fleet returns the recent use by the requests of all hosts, by account. The map must not be
// changed.
func (t *Table) Fleet(now time.Time) map[AccountID]float64 { return t.fleet(now).use }

func (t *Table) fleet(now time.Time) *totals {
	if t.totals.use != nil && now.Sub(t.totalAt) < refreshTime {
		return &t.totals
	}
	all := totals{use: make(map[AccountID]float64, len(t.own))}
	all.add(t.Own(now))
	for host, r := range t.others {
		if now.Sub(r.at) >= reportLifetime {
			delete(t.others, host)
			continue
		}
		all.add(r.Report)
	}
	t.totals, t.totalAt = all, now
	return &t.totals
}

func (a *totals) add(r Report) {
	for _, u := range r.Largest {
		a.use[u.Account] += u.PerSecond
		a.sum += u.PerSecond
	}
	a.rest += r.RestPerSecond
	a.sum += r.RestPerSecond
	a.restCount = max(a.restCount, r.Rest)
}

// Standing tells how an account stands against its share.
type Standing struct {
	// Used is the account's recent use in shares: 1 is its whole share.
	Used float64
	// Factor is the part of the usual wait after which a request of the account is rejected.
	Factor float64
	// Accounts is the number of accounts that compete.
	Accounts int
}

// Standing returns how an account stands. weight returns the weight of an account; nil means that
// all weigh the same.
func (t *Table) Standing(account AccountID, weight func(AccountID) float64, now time.Time) Standing {
	all := t.fleet(now)
	weights, accounts := all.competing(account, weight)
	s := Standing{Factor: 1, Accounts: accounts}
	if accounts < 2 || all.sum <= 0 {
		return s
	}
	s.Used = all.use[account] / (all.sum * weightOf(weight, account) / weights)
	if s.Used > tolerance {
		s.Factor = max(minFactor, tolerance/s.Used)
	}
	return s
}

// competing returns the number and the weights of the accounts that compete: the asked one, and
// those that use at least a part of an equal share.
func (a *totals) competing(asked AccountID, weight func(AccountID) float64) (weights float64, accounts int) {
	least := activeShare * a.sum / float64(max(1, len(a.use)+a.restCount))
	for account, rate := range a.use {
		if rate >= least && account != asked {
			weights += weightOf(weight, account)
			accounts++
		}
	}
	if a.restCount > 0 && a.rest/float64(a.restCount) >= least {
		weights += float64(a.restCount)
		accounts += a.restCount
	}
	return weights + weightOf(weight, asked), accounts + 1
}

func weightOf(weight func(AccountID) float64, account AccountID) float64 {
	if weight == nil {
		return 1
	}
	if w := weight(account); w > 0 && !math.IsInf(w, 0) {
		return w
	}
	return 1
}

// leastWaitShare is the part of a latency objective up to which any account's request may wait.
const leastWaitShare = 0.04

// Scarce reports whether a wait is so long that shares may decide. objective is the latency
// objective of the request.
func Scarce(wait, objective time.Duration) bool {
	return objective > 0 && wait > time.Duration(leastWaitShare*float64(objective))
}
