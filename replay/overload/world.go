package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/routes"
)

// Experiment is one run of a policy against a load.
type Experiment struct {
	Policy Policy
	// Times is the multiple of the usual load.
	Times   float64
	Hosts   int
	Engines int
	Length  time.Duration
	Seed    uint64
}

// gossipDelay is the time until the other hosts know what one has sent.
const gossipDelay = 20 * time.Millisecond

// world plays one experiment under virtual time.
type world struct {
	x       Experiment
	rng     *rand.Rand
	now     time.Duration
	queue   eventQueue
	engines []*engine
	hosts   []*balance.Pool
	// turn is the next engine of round robin; sent counts, at each host, what it
	// knows to be under way at each engine.
	turn int
	sent [][]int
	seen map[uint64]bool
	seq  uint64
}

// Run plays the experiment.
func Run(x Experiment) Result {
	w := &world{x: x, rng: rand.New(rand.NewPCG(x.Seed, 1)), seen: make(map[uint64]bool)}
	w.start()
	requests := draw(usualKinds(), x.Times*float64(x.Engines)/usualEngines, x.Length, w.rng)
	for _, r := range requests {
		w.at(r.Arrived, func() { w.arrive(r) })
		w.at(r.Arrived+r.Kind.Patience, func() { w.leave(r) })
	}
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return summarize(x, requests, w.engines)
}

func (w *world) start() {
	settings := routes.Engine{CacheTokens: cacheTokens, TokenBytes: 163840, LinkBits: 1.1e12, EventTokens: eventTokens}
	var ups []catalog.Upstream
	for i := range w.x.Engines {
		w.engines = append(w.engines, &engine{})
		ups = append(ups, catalog.Upstream{
			ID: fmt.Sprintf("e%d", i), Slots: maxRuns,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		})
	}
	for range w.x.Hosts {
		pool := balance.NewPool("", settings, w.rng)
		pool.Sync(ups)
		w.hosts = append(w.hosts, pool)
		w.sent = append(w.sent, make([]int, w.x.Engines))
	}
}

// arrive is an attempt of a caller, at any host.
func (w *world) arrive(r *Request) {
	if r.over {
		return
	}
	r.host = w.rng.IntN(w.x.Hosts)
	id, choice := w.choose(r)
	if w.x.Policy.Gate {
		away, comeBack := admission.ShouldShed(admission.Arrival{
			Rank: r.Kind.Rank, Objective: r.Kind.Objective, Remaining: r.Arrived + r.Kind.Patience - w.now,
			Retried: r.returned, Wait: choice.Wait, Read: choice.Read, Generate: choice.Generate,
		}, w.rng.Float64())
		if away {
			w.turnAway(r, comeBack)
			return
		}
	}
	r.engine, r.choice, r.sentAt = id, choice, w.now
	w.seq++
	ticket := balance.AttemptID{Host: "h", Run: 1, Seq: w.seq}
	r.ID = w.seq
	w.tell(r, func(host int, p *balance.Pool, at time.Time) {
		p.Begin(ticket, upstreamID(id), &r.Work, choice.Read, at)
		w.sent[host][id]++
	})
	w.engines[id].add(r)
	w.wake(id)
}

// turnAway ends an attempt; callers come back once.
func (w *world) turnAway(r *Request, comeBack time.Duration) {
	if r.returned {
		r.over = true
		return
	}
	r.returned = true
	w.at(w.now+comeBack, func() { w.arrive(r) })
}

// tell applies an event at the request's host, and at the others a little later.
func (w *world) tell(r *Request, apply func(host int, p *balance.Pool, at time.Time)) {
	for host := range w.hosts {
		delay := gossipDelay
		if host == r.host {
			delay = 0
		}
		w.at(w.now+delay, func() { apply(host, w.hosts[host], w.clock()) })
	}
}

// clock returns the virtual time as the decisions take it.
func (w *world) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

func upstreamID(engine int) string { return fmt.Sprintf("e%d", engine) }

// leave ends a request whose caller has waited long enough.
func (w *world) leave(r *Request) {
	if r.over || r.doneAt > 0 {
		return
	}
	r.over = true
	if r.sentAt == 0 && r.firstAt == 0 && r.choice.Upstream.ID == "" {
		return
	}
	w.engines[r.engine].cancel(r)
	w.ended(r)
}

func (w *world) ended(r *Request) {
	ticket := balance.AttemptID{Host: "h", Run: 1, Seq: r.ID}
	w.tell(r, func(host int, p *balance.Pool, at time.Time) {
		p.End(ticket, upstreamID(r.engine), balance.Succeeded, at)
		w.sent[host][r.engine]--
	})
	if gaps := r.Output/eventTokens - 1; r.firstAt > 0 && r.doneAt > 0 && gaps > 0 {
		w.hosts[r.host].ObserveEventInterval((r.doneAt - r.firstAt) / time.Duration(gaps))
	}
}

func (w *world) begun(r *Request) {
	r.firstAt = w.now
	w.hosts[r.host].ObserveLatency(r.choice, w.now-r.sentAt)
	ticket := balance.AttemptID{Host: "h", Run: 1, Seq: r.ID}
	w.tell(r, func(_ int, p *balance.Pool, at time.Time) { p.FirstEvent(ticket, upstreamID(r.engine), at) })
}

// wake begins a step of an idle engine.
func (w *world) wake(id int) {
	e := w.engines[id]
	if e.stepEnds > w.now {
		return
	}
	e.begin(w.now, w.seen)
	if e.stepEnds == 0 {
		return
	}
	w.at(e.stepEnds, func() {
		begun, ended := e.end()
		for _, r := range begun {
			w.begun(r)
		}
		for _, r := range ended {
			r.doneAt, r.over = w.now, true
			w.ended(r)
		}
		w.wake(id)
	})
}

// at plans an event.
func (w *world) at(t time.Duration, do func()) {
	heap.Push(&w.queue, event{at: t, order: w.queue.pushed, do: do})
	w.queue.pushed++
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// eventQueue implements heap.Interface; events of one time keep their order.
type eventQueue struct {
	events []event
	pushed int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || (a.at == b.at && a.order < b.order)
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
