package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world plays accounts that share one service, over a fleet of hosts that tell each other of
// their use twice a second.
type world struct {
	rng    *rand.Rand
	hosts  []*Table
	lost   float64
	served []float64 // by account, in units of the service's room
	asked  []float64
}

const (
	accounts = 24
	// limit is the time for which a request of an account below its share waits.
	limit = 250 * time.Millisecond
	// cost is the room of one request; the service gives one unit a second.
	cost = 0.002
	step = 5 * time.Millisecond
	// length is the time that is played, from settled on with figures.
	length  = 14 * time.Second
	settled = 4 * time.Second
)

// size is the usual load of an account, in units a second: that of all is 0.85 of the service's
// room, and the largest has a tenth of it.
func size(account int) float64 { return 0.85 * math.Pow(float64(account+1), -0.7) / sizes }

var sizes = func() float64 {
	sum := 0.0
	for i := range accounts {
		sum += math.Pow(float64(i+1), -0.7)
	}
	return sum
}()

// play plays the load with one account at times its usual, at the host that at returns. capacity
// is the room of the service, in units a second.
func (w *world) play(heavy int, times, capacity float64, at func(now time.Time) int) {
	w.served, w.asked = make([]float64, accounts), make([]float64, accounts)
	backlog := 0.0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		backlog = max(0, backlog-capacity*step.Seconds())
		if now.Sub(start)%(500*time.Millisecond) == 0 {
			w.report(now)
		}
		for _, account := range w.rng.Perm(accounts) {
			load, host := size(account), func() int { return w.rng.IntN(len(w.hosts)) }
			if account == heavy {
				load *= times
				host = func() int { return at(now) }
			}
			for range w.arrivals(load * step.Seconds() / cost) {
				table := w.hosts[host()]
				id := AccountID(account)
				wait := time.Duration(backlog / capacity * float64(time.Second))
				admitted := wait <= time.Duration(table.Standing(id, nil, now).Factor*float64(limit))
				if admitted {
					backlog += cost
					table.Record(id, cost, now)
				}
				if now.Sub(start) < settled {
					continue
				}
				w.asked[account] += cost
				if admitted {
					w.served[account] += cost
				}
			}
		}
	}
}

// arrivals draws from a Poisson distribution.
func (w *world) arrivals(mean float64) int {
	n, p := 0, w.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= w.rng.Float64()
	}
	return n
}

func (w *world) report(now time.Time) {
	for i, from := range w.hosts {
		use := from.Own(now)
		if len(use.Largest) == 0 {
			continue
		}
		for j, to := range w.hosts {
			if i != j && w.rng.Float64() >= w.lost {
				to.Apply(fmt.Sprint("host-", i), use, now)
			}
		}
	}
}

func newWorld(hosts int, lost float64, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), lost: lost}
	for range hosts {
		w.hosts = append(w.hosts, NewTable())
	}
	return w
}

// othersShare returns the part of what the accounts but the heavy one are served in its burst, of
// what they are served without it.
func othersShare(hosts, heavy int, seed uint64, at func(w *world, now time.Time) int) (all, worst float64, heavyServed float64) {
	alone, burst := newWorld(hosts, 0.1, seed), newWorld(hosts, 0.1, seed)
	alone.play(heavy, 0, 1, func(time.Time) int { return 0 })
	burst.play(heavy, 10, 1, func(now time.Time) int { return at(burst, now) })
	sumAlone, sumBurst := 0.0, 0.0
	worst = 1
	for i := range accounts {
		if i == heavy {
			continue
		}
		sumAlone += alone.served[i] / alone.asked[i]
		sumBurst += burst.served[i] / burst.asked[i]
		worst = min(worst, (burst.served[i]/burst.asked[i])/(alone.served[i]/alone.asked[i]))
	}
	return sumBurst / sumAlone, worst, burst.served[heavy]
}

// An account that sends ten times its usual, at one host, at all or at one after the other, leaves
// the others 95% of what they would have had alone, with a tenth of the reports lost.
func TestBurstOfOneAccountLeavesOthersTheirRoom(t *testing.T) {
	places := map[string]func(w *world, now time.Time) int{
		"one host":  func(*world, time.Time) int { return 0 },
		"all hosts": func(w *world, _ time.Time) int { return w.rng.IntN(len(w.hosts)) },
		"moving":    func(w *world, now time.Time) int { return int(now.Sub(start)/(2*time.Second)) % len(w.hosts) },
	}
	for hosts, heavies := range map[int][]int{3: {0, 5, 20}, 30: {0, 5, 20}, 300: {5}} {
		for name, at := range places {
			if hosts == 300 && name != "moving" {
				continue // takes minutes under the race detector
			}
			for _, heavy := range heavies {
				all, worst, served := othersShare(hosts, heavy, uint64(hosts+heavy), at)
				t.Logf("%d hosts, account %d at %s: others %.3f, the worst of them %.3f, the account itself %.3f units", hosts, heavy, name, all, worst, served)
				require.GreaterOrEqual(t, worst, 0.95, "%d hosts, account %d at %s", hosts, heavy, name)
				require.Greater(t, served, 0.0, "it gets what the others leave")
			}
		}
	}
}

func TestAccountsHaveNoEffectWhileThereIsRoom(t *testing.T) {
	w := newWorld(3, 0, 1)
	w.play(0, 10, 3, func(time.Time) int { return 0 })
	require.InDelta(t, w.asked[0], w.served[0], cost/2)
	for i := range accounts {
		require.Equal(t, w.asked[i], w.served[i], "account %d", i)
	}
}

// The larger weight waits as long as the smaller ones while it uses no more than its part.
func TestSharesFollowWeights(t *testing.T) {
	const large, small, tiny, fresh = AccountID(1), AccountID(2), AccountID(3), AccountID(4)
	table := NewTable()
	weight := func(account AccountID) float64 { return map[AccountID]float64{large: 3}[account] }
	table.Record(large, 3, start)
	table.Record(small, 1, start)
	table.Record(tiny, 0.001, start)
	require.InDelta(t, 1, table.Standing(large, weight, start).Used, 0.01)
	require.Equal(t, 1.0, table.Standing(large, weight, start).Factor)
	require.Less(t, table.Standing(large, nil, start).Factor, 1.0, "it has used more than an equal share")
	require.Equal(t, 1.0, table.Standing(fresh, weight, start).Factor)
}

// A host that starts, or hears nothing, has its own use only. What others reported is forgotten.
func TestReportsLapse(t *testing.T) {
	table := NewTable()
	table.Apply("other", Report{Largest: []Use{{1, 10}, {2, 1}, {3, math.NaN()}, {4, -1}}}, start)
	require.Less(t, table.Standing(1, nil, start).Factor, 1.0)
	require.Len(t, table.Fleet(start), 2)
	later := start.Add(reportLifetime)
	require.Equal(t, 1.0, table.Standing(1, nil, later).Factor)
	require.Empty(t, table.Fleet(later))
}

// Of 1,300 accounts a report names the largest only. The others still count.
func TestReportOfManyAccountsIsSmall(t *testing.T) {
	from, to := NewTable(), NewTable()
	for i := range 1300 {
		from.Record(AccountID(i), 1, start)
	}
	from.Record(7, 50, start)
	r := from.Own(start)
	require.Len(t, r.Largest, maxReported)
	to.Apply("from", r, start)
	for _, table := range []*Table{from, to} {
		s := table.Standing(7, nil, start)
		require.InDelta(t, 1300, s.Accounts, 1)
		require.InDelta(t, 49, s.Used, 1)
	}
}
