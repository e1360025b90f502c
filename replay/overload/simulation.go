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
	"github.com/hazelworks/hazelworks/core/rendezvous"
	"github.com/hazelworks/hazelworks/core/routes"
)

// Experiment configures one run of a policy at one load.
type Experiment struct {
	Policy Policy
	// Load is the multiple of the usual load.
	Load float64
	// Wave is the part by which the load rises and falls.
	Wave    float64
	Hosts   int
	Engines int
	// Length is the period during which requests arrive.
	Length time.Duration
	Seed   uint64
	// Kinds are the kinds of requests, by default the usual ones.
	Kinds []Kind
	// Speeds are the speeds of the engines, repeated, as factors on the usual one. If there are
	// any, each engine is also slowed down by noiseFactor in a share of the periods.
	Speeds []float64
}

func (x *Experiment) kinds() []Kind {
	if x.Kinds != nil {
		return x.Kinds
	}
	return usualKinds()
}

// Noise of engines that share their machines.
const (
	noisePeriod = 600 * time.Millisecond
	noiseShare  = 0.15
	noiseFactor = 2.5
)

// slowness returns the factor on the time of a step that begins now.
func (s *simulation) slowness(id int) float64 {
	speeds := s.experiment.Speeds
	if len(speeds) == 0 {
		return 1
	}
	return s.noise(id) / speeds[id%len(speeds)]
}

// noise returns how long work takes now at an engine that shares its machine, as a factor on its
// usual time.
func (s *simulation) noise(id int) float64 {
	if float64(rendezvous.Mix(uint64(id), uint64(s.now/noisePeriod))%1000) < 1000*noiseShare {
		return noiseFactor
	}
	return 1
}

// gossipDelay is the delay until other hosts learn of an event at one host.
const gossipDelay = 20 * time.Millisecond

// retryShare is the part of its timeout after which a caller retries that finds no memory free.
const retryShare = 4

// simulation runs one experiment in virtual time.
type simulation struct {
	experiment Experiment
	rng        *rand.Rand
	now        time.Duration
	queue      eventQueue
	engines    []*engine
	hosts      []*balance.Pool
	// roundRobin counts the placements by RoundRobin. inFlight counts, by host and
	// engine, the requests in flight that the host knows of.
	roundRobin int
	inFlight   [][]int
	// seen contains the prompt parts that any engine has prefilled.
	seen map[uint64]bool
	seq  uint64
}

// Run runs the experiment until no event is left.
func Run(x Experiment) Result {
	s := &simulation{experiment: x, rng: rand.New(rand.NewPCG(x.Seed, 1)), seen: make(map[uint64]bool)}
	s.start()
	requests := generateRequests(x.kinds(), x.Load*float64(x.Engines)/usualEngines, x.Wave, x.Length, s.rng)
	for _, r := range requests {
		s.schedule(r.Arrived, func() { s.attempt(r) })
		s.schedule(r.Arrived+r.Kind.Timeout, func() { s.disconnect(r) })
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return summarize(x, requests, s.engines)
}

func (s *simulation) start() {
	settings := routes.Engine{CacheTokens: cacheTokens, TokenBytes: 163840, LinkBits: 1.1e12, EventTokens: eventTokens}
	var upstreams []catalog.Upstream
	for i := range s.experiment.Engines {
		s.engines = append(s.engines, &engine{})
		upstreams = append(upstreams, catalog.Upstream{
			ID: fmt.Sprintf("e%d", i), Slots: maxGenerations,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		})
	}
	for range s.experiment.Hosts {
		pool := balance.NewPool("", settings, s.rng)
		pool.Sync(upstreams)
		if s.experiment.Policy.UsualSpeeds {
			pool.UseUsualSpeeds()
		}
		s.hosts = append(s.hosts, pool)
		s.inFlight = append(s.inFlight, make([]int, s.experiment.Engines))
	}
}

// attempt sends a request to a random host, which places or sheds it.
func (s *simulation) attempt(r *Request) {
	if r.finished {
		return
	}
	r.host = s.rng.IntN(s.experiment.Hosts)
	id, choice := s.choose(r)
	if id < 0 {
		s.shed(r, r.Kind.Timeout/retryShare)
		return
	}
	if s.experiment.Policy.Shed {
		shed, retryAfter := admission.ShouldShed(admission.Arrival{
			Rank: r.Kind.Rank, Objective: r.Kind.Objective, Remaining: r.Arrived + r.Kind.Timeout - s.now,
			Retried: r.retried, Wait: choice.Wait, Read: choice.Read, Generate: choice.Generate,
		}, s.rng.Float64())
		if shed {
			s.shed(r, retryAfter)
			return
		}
	}
	r.engine, r.choice, r.sentAt = id, choice, s.now
	s.seq++
	attempt := balance.AttemptID{Host: "h", Run: 1, Seq: s.seq}
	r.ID = s.seq
	s.broadcast(r, func(host int, p *balance.Pool, at time.Time) {
		p.Begin(attempt, upstreamID(id), &r.Work, choice.UsualRead, at)
		s.inFlight[host][id]++
	})
	s.engines[id].add(r)
	s.startIfIdle(id)
}

// shed rejects an attempt. The caller retries once, after retryAfter.
func (s *simulation) shed(r *Request, retryAfter time.Duration) {
	if r.retried {
		r.finished = true
		return
	}
	r.retried = true
	r.Work.Rank = admission.Urgency(r.Kind.Rank, true)
	s.schedule(s.now+retryAfter, func() { s.attempt(r) })
}

// broadcast applies an event at the request's host now and at all other hosts after
// gossipDelay.
func (s *simulation) broadcast(r *Request, apply func(host int, p *balance.Pool, at time.Time)) {
	for host := range s.hosts {
		delay := gossipDelay
		if host == r.host {
			delay = 0
		}
		s.schedule(s.now+delay, func() { apply(host, s.hosts[host], s.clock()) })
	}
}

// clock returns the virtual time as a time.Time.
func (s *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func upstreamID(engine int) string { return fmt.Sprintf("e%d", engine) }

// disconnect cancels a request that is unfinished at its timeout.
func (s *simulation) disconnect(r *Request) {
	if r.finished || r.doneAt > 0 {
		return
	}
	r.finished = true
	if r.sentAt == 0 && r.firstAt == 0 && r.choice.Upstream.ID == "" {
		return
	}
	s.engines[r.engine].cancel(r)
	s.reportEnd(r)
}

// reportEnd reports to all hosts that an attempt ended. For a complete answer, the
// request's host also observes the mean interval between its events.
func (s *simulation) reportEnd(r *Request) {
	attempt := balance.AttemptID{Host: "h", Run: 1, Seq: r.ID}
	s.broadcast(r, func(host int, p *balance.Pool, at time.Time) {
		p.End(attempt, upstreamID(r.engine), balance.Succeeded, at)
		s.inFlight[host][r.engine]--
	})
	if gaps := r.Output/eventTokens - 1; r.firstAt > 0 && r.doneAt > 0 && gaps > 0 {
		s.hosts[r.host].ObserveEventInterval((r.doneAt - r.firstAt) / time.Duration(gaps))
	}
}

// reportFirstEvent records the start of an answer and reports it to all hosts.
func (s *simulation) reportFirstEvent(r *Request) {
	r.firstAt = s.now
	if len(s.experiment.Speeds) > 0 {
		s.hosts[r.host].ApplyNotice(r.choice.Upstream, balance.Notice{Load: balance.Load{Known: true, Percent: 100 * s.noise(r.engine)}}, s.clock())
	}
	s.hosts[r.host].ObserveLatency(r.choice, s.now-r.sentAt)
	attempt := balance.AttemptID{Host: "h", Run: 1, Seq: r.ID}
	s.broadcast(r, func(_ int, p *balance.Pool, at time.Time) { p.FirstEvent(attempt, upstreamID(r.engine), at) })
}

// startIfIdle starts a step unless the engine is in one. Each step's end starts the
// next.
func (s *simulation) startIfIdle(id int) {
	e := s.engines[id]
	if e.stepEnds > s.now {
		return
	}
	e.startStep(s.now, s.seen, s.slowness(id))
	if e.stepEnds == 0 {
		return
	}
	s.schedule(e.stepEnds, func() {
		begun, ended := e.finishStep()
		for _, r := range begun {
			s.reportFirstEvent(r)
		}
		for _, r := range ended {
			r.doneAt, r.finished = s.now, true
			s.reportEnd(r)
		}
		s.startIfIdle(id)
	})
}

// schedule queues an event for a virtual time.
func (s *simulation) schedule(t time.Duration, do func()) {
	heap.Push(&s.queue, event{at: t, order: s.queue.pushed, do: do})
	s.queue.pushed++
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// eventQueue implements heap.Interface. Events of the same time run in the order in
// which they were scheduled.
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
