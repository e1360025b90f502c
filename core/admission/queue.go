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
	// Deadline is when waiting ends without success.
	Deadline time.Time
	// FirmWeight and AccountWeight are the shares; zero means 1.
	FirmWeight    float64
	AccountWeight float64

	arrival uint64
	queued  bool
}

// Queue is a bounded queue with start-time fair queueing at two levels: firms
// share by their weights, and accounts share what their firm gets. Within an
// account requests go by priority, then by arrival.
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

// flowSet schedules flows. Flows are kept while they have requests or a finish
// tag ahead of the virtual time, so that an idle moment does not reset a share.
type flowSet[F interface{ tags() *flow }] struct {
	virtual float64
	flows   []F
}

// NewQueue returns an empty queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: max(1, limit)}
}

// SetLimit changes the bound. Requests in excess stay until they are served.
func (q *Queue) SetLimit(limit int) {
	q.limit = max(1, limit)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// maxAccountShare is the part of the queue that one account may fill.
const maxAccountShare = 0.5

// Push adds it. If the queue is full and another firm holds more than its share,
// that firm's newest request is evicted in favour of it. It returns the evicted
// request, or ok = false if it was not taken.
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

// evictFor removes the last request of the account that holds most of the firm
// with the longest queue for its weight, if that is longer than f's would be.
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

// Pop removes and returns the next request for which fit returns true, or nil.
// Fit is asked once for each class and decides whether an upstream is free.
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

// ChargeUnqueued charges a request that was served without waiting, so that it counts
// against the share of its firm and account.
func (q *Queue) ChargeUnqueued(it *Item) {
	f := q.firm(it)
	a := f.account(it)
	q.firms.schedule(f)
	f.accounts.schedule(a)
	q.firms.charge(&f.flow)
	f.accounts.charge(&a.flow)
}

// Remove takes it out of the queue. It returns false if it was not waiting.
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

// Position estimates the place in the fair order of a new request of the account,
// from 1.
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

// schedule makes sure that f is scheduled. A flow that begins to wait starts at the
// virtual time, or where its last service ended if that is later.
func (s *flowSet[F]) schedule(f F) {
	t := f.tags()
	if t.length == 0 {
		t.start = max(s.virtual, t.finish)
	}
	if !slices.ContainsFunc(s.flows, func(o F) bool { return o.tags() == t }) {
		s.flows = append(s.flows, f)
	}
}

// charge advances the tags for one served request.
func (s *flowSet[F]) charge(t *flow) {
	s.virtual = max(s.virtual, t.start)
	t.finish = t.start + 1/t.weight
	t.start = t.finish
}

// prune drops flows that neither wait nor are ahead of the virtual time.
func (s *flowSet[F]) prune() {
	s.flows = slices.DeleteFunc(s.flows, func(f F) bool {
		t := f.tags()
		return t.length == 0 && t.finish <= s.virtual
	})
}

// ordered returns the flows that wait, by start tag, then by name.
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
