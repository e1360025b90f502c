package admission

import (
	"slices"
	"strings"
	"time"
)

// Item is a waiting request.
type Item struct {
	Firm    string
	Account string
	// Class groups requests that the same upstreams can serve.
	Class string
	// Priority orders the requests of one account; higher goes first.
	Priority int
	// Deadline is when the request stops waiting, without success.
	Deadline time.Time
	// FirmWeight is the firm's share among firms, AccountWeight the account's share
	// within its firm. Zero or less means 1.
	FirmWeight    float64
	AccountWeight float64

	arrival uint64
	queued  bool
}

// Queue is a bounded queue with start-time fair queueing at two levels. Firms share
// the service by weight, and accounts share their firm's part by weight. Within an
// account, requests are served by priority, then by arrival.
type Queue struct {
	limit   int
	length  int
	arrival uint64
	firms   flowSet[*firm]
}

type firm struct {
	flow
	accounts flowSet[*account]
}

type account struct {
	flow
	items []*Item
}

// flow holds the tags of start-time fair queueing.
type flow struct {
	name   string
	weight float64
	start  float64
	finish float64
	length int
}

func (f *flow) tags() *flow { return f }

// flowSet schedules flows. It keeps a flow while it has requests or a finish tag
// ahead of the virtual time, so that a short idle time does not reset its share.
type flowSet[F interface{ tags() *flow }] struct {
	virtual float64
	flows   []F
}

// NewQueue returns an empty queue for at most limit requests, and at least one.
func NewQueue(limit int) *Queue {
	return &Queue{limit: max(1, limit)}
}

// SetLimit changes the maximum length. Requests above it stay until they are served
// or removed.
func (q *Queue) SetLimit(limit int) {
	q.limit = max(1, limit)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// maxAccountShare is the share of the queue that one account may fill.
const maxAccountShare = 0.5

// Push adds it. If the queue is full, it evicts a request of the firm with the
// longest queue for its weight, if that is longer than the queue of its own
// firm would be. Push returns the evicted request, or nil. ok is false if it was not added.
func (q *Queue) Push(it *Item) (evicted *Item, ok bool) {
	f := q.firm(it)
	a := f.account(it)
	if a.length >= max(1, int(maxAccountShare*float64(q.limit))) {
		return nil, false
	}
	if q.length >= q.limit {
		evicted = q.evictFor(f)
		if evicted == nil {
			return nil, false
		}
	}
	q.arrival++
	it.arrival = q.arrival
	it.queued = true
	q.firms.schedule(f)
	f.accounts.schedule(a)
	f.length++
	a.length++
	q.length++
	at, _ := slices.BinarySearchFunc(a.items, it, compareItems)
	a.items = slices.Insert(a.items, at, it)
	return evicted, true
}

func compareItems(a, b *Item) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	if a.arrival < b.arrival {
		return -1
	}
	if a.arrival > b.arrival {
		return 1
	}
	return 0
}

// evictFor makes room for a request of f. It selects the firm with the longest queue
// for its weight, if that is longer than f's would be, and in it the account with
// the longest queue for its weight. It removes and returns that account's last
// request, or returns nil.
func (q *Queue) evictFor(f *firm) *Item {
	var longestFirm *firm
	for _, other := range q.firms.flows {
		if longestFirm == nil || other.lengthPerWeight(0) > longestFirm.lengthPerWeight(0) {
			longestFirm = other
		}
	}
	if longestFirm == nil || longestFirm == f || longestFirm.lengthPerWeight(0) <= f.lengthPerWeight(1) {
		return nil
	}
	var longestAccount *account
	for _, a := range longestFirm.accounts.flows {
		if longestAccount == nil || a.lengthPerWeight(0) > longestAccount.lengthPerWeight(0) {
			longestAccount = a
		}
	}
	it := longestAccount.items[len(longestAccount.items)-1]
	q.Remove(it)
	return it
}

func (f *flow) lengthPerWeight(extra int) float64 {
	return float64(f.length+extra) / f.weight
}

// Pop removes and returns the next request for which fit returns true, or nil. fit
// reports whether an upstream is free for the request's class. It is called once
// per class.
func (q *Queue) Pop(fit func(*Item) bool) *Item {
	var results []classResult
	fitsClass := func(it *Item) bool {
		for _, c := range results {
			if c.class == it.Class {
				return c.fits
			}
		}
		fits := fit(it)
		results = append(results, classResult{class: it.Class, fits: fits})
		return fits
	}
	for _, f := range q.firms.ordered() {
		for _, a := range f.accounts.ordered() {
			for _, it := range a.items {
				if fitsClass(it) {
					q.dequeue(f, a, it)
					return it
				}
			}
		}
	}
	return nil
}

type classResult struct {
	class string
	fits  bool
}

func (q *Queue) dequeue(f *firm, a *account, it *Item) {
	q.firms.charge(&f.flow)
	f.accounts.charge(&a.flow)
	q.Remove(it)
}

// ChargeUnqueued charges a request that was served without waiting to the shares of
// its firm and account.
func (q *Queue) ChargeUnqueued(it *Item) {
	f := q.firm(it)
	a := f.account(it)
	q.firms.schedule(f)
	f.accounts.schedule(a)
	q.firms.charge(&f.flow)
	f.accounts.charge(&a.flow)
}

// Remove removes it from the queue. It returns false if it was not waiting.
func (q *Queue) Remove(it *Item) bool {
	if !it.queued {
		return false
	}
	it.queued = false
	f := q.firm(it)
	a := f.account(it)
	at, found := slices.BinarySearchFunc(a.items, it, compareItems)
	if found {
		a.items = slices.Delete(a.items, at, at+1)
	}
	a.length--
	f.length--
	q.length--
	f.accounts.prune()
	q.firms.prune()
	return true
}

// Position estimates the position, from 1, that a new request of the same account
// would have in the fair order.
func (q *Queue) Position(it *Item) int {
	f := q.firm(it)
	a := f.account(it)
	inAccount := float64(a.length + 1)
	inFirm := inAccount
	for _, other := range f.accounts.flows {
		if other != a {
			inFirm += min(float64(other.length), inAccount*other.weight/a.weight)
		}
	}
	total := 0.0
	for _, other := range q.firms.flows {
		if other != f {
			total += min(float64(other.length), inFirm*other.weight/f.weight)
		}
	}
	return int(total + inFirm + 0.5)
}

// Waiting returns all waiting requests, in no particular order.
func (q *Queue) Waiting() []*Item {
	var all []*Item
	for _, f := range q.firms.flows {
		for _, a := range f.accounts.flows {
			all = append(all, a.items...)
		}
	}
	return all
}

func (q *Queue) firm(it *Item) *firm {
	for _, f := range q.firms.flows {
		if f.name == it.Firm {
			f.weight = weightOf(it.FirmWeight)
			return f
		}
	}
	return &firm{flow: flow{name: it.Firm, weight: weightOf(it.FirmWeight)}}
}

func (f *firm) account(it *Item) *account {
	for _, a := range f.accounts.flows {
		if a.name == it.Account {
			a.weight = weightOf(it.AccountWeight)
			return a
		}
	}
	return &account{flow: flow{name: it.Account, weight: weightOf(it.AccountWeight)}}
}

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// schedule adds f to the set unless it is in it. A flow without waiting requests
// starts at the virtual time, or at its finish tag if that is later.
func (s *flowSet[F]) schedule(f F) {
	t := f.tags()
	if t.length == 0 {
		t.start = max(s.virtual, t.finish)
	}
	if !slices.ContainsFunc(s.flows, func(o F) bool { return o.tags() == t }) {
		s.flows = append(s.flows, f)
	}
}

// charge advances the virtual time and the flow's tags for one served request.
func (s *flowSet[F]) charge(t *flow) {
	s.virtual = max(s.virtual, t.start)
	t.finish = t.start + 1/t.weight
	t.start = t.finish
}

// prune drops flows that have no requests and no finish tag ahead of the virtual time.
func (s *flowSet[F]) prune() {
	s.flows = slices.DeleteFunc(s.flows, func(f F) bool {
		t := f.tags()
		return t.length == 0 && t.finish <= s.virtual
	})
}

// ordered returns the flows with waiting requests, by start tag, then by name.
func (s *flowSet[F]) ordered() []F {
	out := make([]F, 0, len(s.flows))
	for _, f := range s.flows {
		if f.tags().length > 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b F) int {
		x, y := a.tags(), b.tags()
		switch {
		case x.start < y.start:
			return -1
		case x.start > y.start:
			return 1
		}
		return strings.Compare(x.name, y.name)
	})
	return out
}
