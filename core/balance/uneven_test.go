package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/rendezvous"
	"github.com/hazelworks/hazelworks/core/routes"
)

// A plain service with upstreams of different speeds, in virtual time. Each upstream runs
// unevenSlots requests at once, queues unevenQueue, and turns the others away. Its work takes
// noiseFactor times as long in a share of the periods. Hosts hear of each other's requests late.
const (
	unevenUpstreams = 14
	unevenHosts     = 12
	unevenSlots     = 6
	unevenQueue     = 24
	unevenWork      = 60 * time.Millisecond
	unevenAim       = 300 * time.Millisecond
	unevenTimeout   = 800 * time.Millisecond
	unevenDelay     = 100 * time.Millisecond
	unevenLength    = 5 * time.Second
	noisePeriod     = 600 * time.Millisecond
	noiseShare      = 0.15
	noiseFactor     = 2.5
	// unevenCapacity is what the upstreams serve in a second.
	unevenCapacity = unevenUpstreams * unevenSlots * (0.55 + 1.2 + 0.85 + 1.0) / 4 / 0.06 / (1 + noiseShare*(noiseFactor-1))
)

var unevenSpeeds = []float64{0.55, 1.2, 0.85, 1.0}

type unevenSim struct {
	rng       *rand.Rand
	now       time.Duration
	events    unevenEvents
	order     int
	pools     []*Pool
	queues    [unevenUpstreams][]*unevenRequest
	running   [unevenUpstreams]int
	choose    func(s *unevenSim, host int, q *Query) string
	states    bool
	turn      int
	latencies []time.Duration
	worth     float64
	failed    int
	away      int
}

type unevenRequest struct {
	host, tries int
	arrived     time.Duration
	work        float64
	exclude     []string
	attempt     AttemptID
}

// result is the goodput a second, the 99th percentile of the answers' latencies, and the shares of
// requests that failed and of attempts that were turned away.
type unevenResult struct {
	goodput      float64
	p99          time.Duration
	failed, away float64
}

func runUneven(load float64, seed uint64, states bool, choose func(s *unevenSim, host int, q *Query) string) unevenResult {
	s := &unevenSim{rng: rand.New(rand.NewPCG(seed, 7)), choose: choose, states: states}
	ups := make([]catalog.Upstream, unevenUpstreams)
	for i := range ups {
		ups[i] = upstream(i)
		ups[i].Slots = unevenSlots
	}
	for range unevenHosts {
		p := NewPool("", routes.Engine{}, s.rng)
		p.Sync(ups)
		s.pools = append(s.pools, p)
	}
	n := 0
	for at := 0.0; at < unevenLength.Seconds(); at += s.rng.ExpFloat64() / (load * unevenCapacity) {
		n++
		r := &unevenRequest{host: s.rng.IntN(unevenHosts), arrived: time.Duration(at * 1e9), work: math.Exp(0.5*s.rng.NormFloat64() - 0.125)}
		r.attempt = AttemptID{Host: fmt.Sprint("h", r.host), Run: 1, Seq: uint64(n)}
		s.at(r.arrived, func() { s.send(r) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(unevenEvent)
		s.now = e.at
		e.do()
	}
	slices.Sort(s.latencies)
	return unevenResult{goodput: s.worth / unevenLength.Seconds(), p99: s.latencies[len(s.latencies)*99/100],
		failed: float64(s.failed) / float64(n), away: float64(s.away) / float64(n)}
}

func (s *unevenSim) clock() time.Time { return start.Add(s.now) }

func (s *unevenSim) send(r *unevenRequest) {
	r.tries++
	id := s.choose(s, r.host, &Query{Exclude: r.exclude})
	if id == "" {
		// Waits at the host for a place.
		r.tries--
		if s.now-r.arrived < unevenAim/2 {
			s.at(s.now+5*time.Millisecond, func() { s.send(r) })
			return
		}
		s.failed++
		return
	}
	if id == "shed" {
		s.failed++
		return
	}
	var i int
	_, _ = fmt.Sscanf(id, "e%d", &i)
	r.exclude = append(r.exclude, id)
	s.tell(r.host, func(p *Pool) { p.Begin(r.attempt, id, nil, 0, s.clock()) })
	if s.running[i] == unevenSlots && len(s.queues[i]) >= unevenQueue {
		s.away++
		s.end(r, i, Refused)
		if r.tries < 2 {
			r.attempt.Run++
			s.send(r)
			return
		}
		s.failed++
		return
	}
	s.queues[i] = append(s.queues[i], r)
	s.startNext(i)
}

// tell applies an event at a host at once, and later at the others.
func (s *unevenSim) tell(host int, do func(*Pool)) {
	do(s.pools[host])
	s.at(s.now+unevenDelay, func() {
		for h, p := range s.pools {
			if h != host {
				do(p)
			}
		}
	})
}

func (s *unevenSim) end(r *unevenRequest, i int, o Outcome) {
	attempt, id := r.attempt, upstream(i).ID
	if s.states {
		s.pools[r.host].ApplyNotice(s.pools[0].upstreams[id].up, Notice{Load: Load{Known: true, Running: s.running[i],
			Waiting: len(s.queues[i]), Slots: unevenSlots, Percent: 100 * s.noise(i)}}, s.clock())
	}
	s.tell(r.host, func(p *Pool) {
		if o == Succeeded {
			p.FirstEvent(attempt, id, s.clock())
		}
		p.End(attempt, id, o, s.clock())
	})
}

func (s *unevenSim) noise(i int) float64 {
	if float64(rendezvous.Mix(uint64(i), uint64(s.now/noisePeriod))%1000) < 1000*noiseShare {
		return noiseFactor
	}
	return 1
}

func (s *unevenSim) startNext(i int) {
	if s.running[i] == unevenSlots || len(s.queues[i]) == 0 {
		return
	}
	r := s.queues[i][0]
	s.queues[i] = s.queues[i][1:]
	s.running[i]++
	took := time.Duration(r.work * float64(unevenWork) * s.noise(i) / unevenSpeeds[i%len(unevenSpeeds)])
	s.at(s.now+took, func() {
		s.running[i]--
		s.end(r, i, Succeeded)
		switch latency := s.now - r.arrived; {
		case latency <= unevenAim:
			s.worth++
			s.latencies = append(s.latencies, latency)
		case latency <= unevenTimeout:
			s.worth += 0.5
			s.latencies = append(s.latencies, latency)
		default:
			s.failed++
			s.latencies = append(s.latencies, latency)
		}
		s.startNext(i)
	})
}

func (s *unevenSim) at(at time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, unevenEvent{at: at, order: s.order, do: do})
}

type unevenEvent struct {
	at    time.Duration
	order int
	do    func()
}

type unevenEvents []unevenEvent

func (q unevenEvents) Len() int { return len(q) }
func (q unevenEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q unevenEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *unevenEvents) Push(x any)   { *q = append(*q, x.(unevenEvent)) }
func (q *unevenEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Rules of choice to compare with. choose52c14a2 is the one before speeds were known: requests
// count against slots, and a refusal is avoided for a moment.
func roundRobin(s *unevenSim, _ int, _ *Query) string {
	s.turn++
	return upstream(s.turn % unevenUpstreams).ID
}

func (s *unevenSim) least(q *Query, ups []*upstreamState, cost func(*upstreamState) time.Duration) string {
	best, bestCost := "", time.Duration(math.MaxInt64)
	for _, i := range s.rng.Perm(len(ups)) {
		if c := cost(ups[i]); c < bestCost && !slices.Contains(q.Exclude, ups[i].up.ID) {
			best, bestCost = ups[i].up.ID, c
		}
	}
	return best
}

func runningCost(u *upstreamState) time.Duration {
	return time.Duration(len(u.running)) * slotCost / time.Duration(u.up.Slots)
}

func leastLoad(s *unevenSim, host int, q *Query) string {
	return s.least(q, s.pools[host].ordered, runningCost)
}

func twoChoices(s *unevenSim, host int, q *Query) string {
	ups := slices.Clone(s.pools[host].ordered)
	s.rng.Shuffle(len(ups), func(i, j int) { ups[i], ups[j] = ups[j], ups[i] })
	ups = slices.DeleteFunc(ups, func(u *upstreamState) bool { return slices.Contains(q.Exclude, u.up.ID) })
	return s.least(q, ups[:2], runningCost)
}

func choose52c14a2(s *unevenSim, host int, q *Query) string {
	return s.least(q, s.pools[host].ordered, func(u *upstreamState) time.Duration {
		return runningCost(u) + u.health.cost(0, s.clock())
	})
}

func chooseNow(s *unevenSim, host int, q *Query) string {
	c, ok := s.pools[host].Choose(q, s.clock())
	if !ok {
		return ""
	}
	shed, _ := admission.ShouldShed(admission.Arrival{Objective: unevenAim, Remaining: unevenTimeout, Whole: true, Wait: c.Wait, Read: c.Read}, 0)
	if shed && len(q.Exclude) == 0 {
		return "shed"
	}
	return c.Upstream.ID
}

// At each load, the choice earns no less than the other rules, with and without statements of the
// upstreams, and up to the capacity it has a lower 99th percentile than 52c14a2.
func TestUnevenUpstreamsEarnNoLess(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 1, 1.5, 2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			now, stated := runUneven(load, 1, false, chooseNow), runUneven(load, 1, true, chooseNow)
			before := runUneven(load, 1, false, choose52c14a2)
			others := map[string]unevenResult{"52c14a2": before, "round robin": runUneven(load, 1, false, roundRobin),
				"least load": runUneven(load, 1, false, leastLoad), "two choices": runUneven(load, 1, false, twoChoices)}
			t.Logf("now %+v", now)
			t.Logf("stated %+v", stated)
			for name, r := range others {
				t.Logf("%s %+v", name, r)
				require.GreaterOrEqual(t, now.goodput, r.goodput, name)
				require.GreaterOrEqual(t, stated.goodput, r.goodput, name)
			}
			if load <= 1 {
				require.Less(t, now.p99, before.p99)
				require.Less(t, stated.p99, before.p99)
			}
		})
	}
}
