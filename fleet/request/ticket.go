package request

import (
	"container/list"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Tickets is the set of request IDs that a host has issued and that are not used
// yet. Each may be used once, and only on this host, so it needs no claim in the
// log: no host runs an ID that another host has issued.
type Tickets struct {
	host  record.HostID
	limit int
	ttl   time.Duration

	mu     sync.Mutex
	unused map[string]*list.Element
	order  *list.List // of ticket, oldest first
}

type ticket struct {
	id      string
	account string
	expires time.Time
}

// NewTickets returns an empty set that keeps at most limit unused tickets, each
// for ttl. Beyond the limit the oldest tickets become invalid.
func NewTickets(host record.HostID, limit int, ttl time.Duration) *Tickets {
	return &Tickets{host: host, limit: limit, ttl: ttl, unused: make(map[string]*list.Element), order: list.New()}
}

// Issue returns a new ticket for an account and the time at which it expires.
func (t *Tickets) Issue(account string) (string, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	tk := ticket{id: NewID(t.host), account: account, expires: now.Add(t.ttl)}
	t.add(tk, now)
	return tk.id, tk.expires
}

// Return makes a used ticket usable again for the ttl, after its request did not
// run.
func (t *Tickets) Return(account, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.unused[id]; ok {
		return
	}
	now := time.Now()
	t.add(ticket{id: id, account: account, expires: now.Add(t.ttl)}, now)
}

func (t *Tickets) add(tk ticket, now time.Time) {
	t.expire(now)
	t.unused[tk.id] = t.order.PushBack(tk)
	for t.order.Len() > t.limit {
		t.remove(t.order.Front())
	}
}

// Take marks a ticket as used. It returns true if the ticket was issued to the
// account and is neither used nor expired.
func (t *Tickets) Take(account, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	e, ok := t.unused[id]
	if !ok || e.Value.(ticket).account != account {
		return false
	}
	t.remove(e)
	return true
}

func (t *Tickets) expire(now time.Time) {
	for e := t.order.Front(); e != nil && now.After(e.Value.(ticket).expires); e = t.order.Front() {
		t.remove(e)
	}
}

func (t *Tickets) remove(e *list.Element) {
	delete(t.unused, e.Value.(ticket).id)
	t.order.Remove(e)
}
