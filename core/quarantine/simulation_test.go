package quarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation plays the requests of one service. An upstream that crashes takes along all its
// requests; those whose answers have not begun are reported. Callers repeat what was lost.
type simulation struct {
	rng       *rand.Rand
	tracker   *Tracker
	now       time.Time
	upstreams []*simUpstream
	starts    uint64
	crashes   int
	begun     []Quarantine
	rejected  map[bool]int // by whether the request is guilty
	answered  int
	// fifthAt is the time of the fifth crash, and late the guilty requests that were sent
	// to an upstream later than learnTime after it.
	fifthAt time.Time
	late    int
}

type simUpstream struct {
	start    uint64
	upAt     time.Time
	requests []*simRequest
}

type simRequest struct {
	id       uint64
	parts    []uint64
	guilty   bool
	repeated bool
	beginsAt time.Time
	endsAt   time.Time
}

// simulationSeeds is the number of seeds of each test.
const simulationSeeds = 100

const simStep = 10 * time.Millisecond

// learnTime is the time after the fifth crash in which the part must become known.
const learnTime = 3 * time.Second

func newSimulation(seed uint64, upstreams int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), tracker: NewTracker(), now: start, rejected: make(map[bool]int)}
	for range upstreams {
		s.starts++
		s.upstreams = append(s.upstreams, &simUpstream{start: s.starts, upAt: start})
	}
	return s
}

// send sends a request to the upstream with the fewest requests of two.
func (s *simulation) send(r *simRequest) {
	if _, ok := s.tracker.Find(parts(r.parts...), testAccount, s.now); ok {
		s.rejected[r.guilty]++
		return
	}
	up := slices.DeleteFunc(slices.Clone(s.upstreams), func(u *simUpstream) bool { return s.now.Before(u.upAt) })
	if len(up) == 0 {
		return
	}
	a, b := up[s.rng.IntN(len(up))], up[s.rng.IntN(len(up))]
	if len(b.requests) < len(a.requests) {
		a = b
	}
	r.beginsAt = s.now.Add(50*time.Millisecond + time.Duration(s.rng.Int64N(int64(450*time.Millisecond))))
	r.endsAt = r.beginsAt.Add(100*time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second))))
	a.requests = append(a.requests, r)
	if r.guilty && !s.fifthAt.IsZero() && s.now.Sub(s.fifthAt) > learnTime {
		s.late++
	}
}

func (s *simulation) crash(u *simUpstream) {
	if s.crashes++; s.crashes == 5 {
		s.fifthAt = s.now
	}
	var found []Suspect
	var repeats []*simRequest
	for _, r := range u.requests {
		if s.now.Before(r.beginsAt) || r.guilty {
			found = append(found, suspects(r.id, r.parts...)...)
		}
		if !r.guilty && !r.repeated {
			repeats = append(repeats, &simRequest{id: r.id, parts: r.parts, repeated: s.rng.IntN(2) == 0})
		}
	}
	s.begun = append(s.begun, s.tracker.Crashed(Upstream{Hash: u.start}, "llm", found, s.now).Begun...)
	s.starts++
	*u = simUpstream{start: s.starts, upAt: s.now.Add(3 * time.Second)}
	for _, r := range repeats {
		s.send(r)
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for _, u := range s.upstreams {
		if slices.ContainsFunc(u.requests, func(r *simRequest) bool { return r.guilty && !s.now.Before(r.beginsAt) }) {
			s.crash(u)
		}
		u.requests = slices.DeleteFunc(u.requests, func(r *simRequest) bool {
			if s.now.Before(r.endsAt) {
				return false
			}
			s.answered++
			answer(s.tracker, parts(r.parts...), s.now)
			return true
		})
	}
}

// sound returns a request of 3 or 4 parts, of which the last is not reported. The first is
// shared by all, the second by a kind of request, and the third, if any, by a subject, of which
// new ones come all the time.
func (s *simulation) sound(subjects int) []uint64 {
	kind := uint64(s.rng.IntN(3))
	out := []uint64{1, 10 + kind}
	if kind > 0 {
		fresh := uint64(s.now.Sub(start)/(2*time.Second)) * 10
		out = append(out, 1000+fresh+uint64(s.rng.IntN(subjects)))
	}
	return out
}

const guiltyPart = 7

// run plays requests at rates per second. Guilty requests share all their other parts with
// sound ones.
func (s *simulation) run(d time.Duration, soundRate, guiltyRate, crashRate float64) {
	due := func(rate float64) bool { return s.rng.Float64() < rate*simStep.Seconds() }
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
		if due(soundRate) {
			s.send(&simRequest{id: s.rng.Uint64(), parts: s.sound(20)})
		}
		if due(guiltyRate) {
			s.send(&simRequest{id: s.rng.Uint64(), parts: append(s.sound(20), guiltyPart), guilty: true})
		}
		if due(crashRate) {
			s.crash(s.upstreams[s.rng.IntN(len(s.upstreams))])
		}
	}
}

// A request names three or four parts, and an upstream that crashes takes several with it.
func TestFewCrashesNameThePart(t *testing.T) {
	counts := make(map[int]int)
	for seed := range uint64(simulationSeeds) {
		s := newSimulation(seed, []int{4, 9, 40}[seed%3])
		s.run(5*time.Second, 50, 0, 0)
		s.run(40*time.Second, 50, []float64{0.7, 2, 6}[seed/3%3], 0)
		require.NotEmpty(t, s.begun, "seed %d", seed)
		counts[s.crashes]++
		for _, q := range s.begun {
			require.Equal(t, parts(guiltyPart)[0], q.Subject, "seed %d", seed)
		}
		require.LessOrEqual(t, s.late, 3, "seed %d", seed)
		require.Zero(t, s.rejected[false], "seed %d", seed)
	}
	t.Logf("crashes until all requests with the part were rejected: %v", counts)
}

// deniedShare is the number of proper requests of which one may be rejected, as the users'
// pages state it.
const deniedShare = 500

// Upstreams crash by themselves, one after the other or in bursts, beside many requests with
// new parts.
func TestCrashesByThemselvesBlameNothing(t *testing.T) {
	blamed, rejected, answered, crashes := 0, 0, 0, 0
	for seed := range uint64(simulationSeeds) {
		s := newSimulation(seed, []int{4, 9, 40}[seed%3])
		s.run(60*time.Second, []float64{10, 50, 200}[seed/3%3], 0, []float64{0.3, 1, 3}[seed/9%3])
		blamed, rejected, answered, crashes = blamed+len(s.begun), rejected+s.rejected[false], answered+s.answered, crashes+s.crashes
	}
	t.Logf("%d crashes, %d answers: %d quarantines, %d requests rejected", crashes, answered, blamed, rejected)
	require.Less(t, rejected, answered/deniedShare)
}
