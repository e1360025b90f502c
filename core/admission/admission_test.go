package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func item(firm, account string) *Item {
	return &Item{Firm: firm, Account: account, Class: "m"}
}

func always(*Item) bool { return true }

func push(t *testing.T, q *Queue, it *Item) {
	t.Helper()
	_, ok := q.Push(it)
	require.True(t, ok)
}

func TestFirmsShareByWeight(t *testing.T) {
	q := NewQueue(1000)
	for i := range 100 {
		a := item("a", fmt.Sprint("x", i%3))
		a.FirmWeight = 3
		push(t, q, a)
		push(t, q, item("b", "y"))
	}
	counts := make(map[string]int)
	for range 80 {
		counts[q.Pop(always).Firm]++
	}
	require.Equal(t, map[string]int{"a": 60, "b": 20}, counts)
}

func TestAccountsShareWhatTheirFirmGets(t *testing.T) {
	q := NewQueue(1000)
	for range 100 {
		push(t, q, item("a", "many"))
	}
	for range 20 {
		push(t, q, item("a", "few"))
		push(t, q, item("b", "other"))
	}
	counts := make(map[string]int)
	for range 40 {
		counts[q.Pop(always).Account]++
	}
	require.Equal(t, map[string]int{"many": 10, "few": 10, "other": 20}, counts)
}

func TestPriorityThenArrivalWithinAnAccount(t *testing.T) {
	q := NewQueue(10)
	first, second, urgent := item("a", "x"), item("a", "x"), item("a", "x")
	urgent.Priority = 5
	for _, it := range []*Item{first, second, urgent} {
		push(t, q, it)
	}
	for _, want := range []*Item{urgent, first, second} {
		require.Same(t, want, q.Pop(always))
	}
	require.Nil(t, q.Pop(always))
}

func TestPopSkipsClassesWithoutAFreeUpstream(t *testing.T) {
	q := NewQueue(10)
	blocked, free := item("a", "x"), item("b", "y")
	blocked.Class = "busy"
	push(t, q, blocked)
	push(t, q, free)
	fit := func(it *Item) bool { return it.Class != "busy" }
	require.Same(t, free, q.Pop(fit))
	require.Nil(t, q.Pop(fit))
	require.Equal(t, 1, q.Len())
}

func TestFullQueueEvictsFromTheLongest(t *testing.T) {
	q := NewQueue(4)
	push(t, q, item("heavy", "x"))
	push(t, q, item("heavy", "x"))
	push(t, q, item("heavy", "y"))
	last := item("heavy", "y")
	push(t, q, last)
	_, ok := q.Push(item("heavy", "z"))
	require.False(t, ok, "the firm itself has filled the queue")
	evicted, ok := q.Push(item("light", "z"))
	require.True(t, ok)
	require.Equal(t, "heavy", evicted.Firm)
	require.False(t, q.Remove(evicted))
	require.Equal(t, 4, q.Len())
}

func TestOneAccountCannotFillTheQueue(t *testing.T) {
	q := NewQueue(10)
	for range 5 {
		push(t, q, item("a", "x"))
	}
	_, ok := q.Push(item("a", "x"))
	require.False(t, ok)
	push(t, q, item("a", "y"))
}

// TestQueueInvariantsUnderRandomOperations checks, over random operations, that the
// queue stays within its limit and that each admitted request leaves exactly once.
func TestQueueInvariantsUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(rt, "limit")
		q := NewQueue(limit)
		queued := make(map[*Item]bool)
		removed := func(it *Item) {
			require.True(rt, queued[it])
			delete(queued, it)
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "firm"), rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "account"))
				it.Priority = rapid.IntRange(0, 2).Draw(rt, "priority")
				evicted, ok := q.Push(it)
				if evicted != nil {
					removed(evicted)
				}
				if ok {
					queued[it] = true
				}
			case 2:
				if it := q.Pop(always); it != nil {
					removed(it)
				} else {
					require.Empty(rt, queued)
				}
			case 3:
				for it := range queued {
					require.True(rt, q.Remove(it))
					delete(queued, it)
					break
				}
			}
			require.Len(rt, q.Waiting(), len(queued))
			require.Equal(rt, len(queued), q.Len())
			require.LessOrEqual(rt, q.Len(), limit)
		}
	})
}

func TestPositionInTheFairOrder(t *testing.T) {
	q := NewQueue(100)
	for range 40 {
		push(t, q, item("heavy", "x"))
	}
	require.Equal(t, 41, q.Position(item("heavy", "x")))
	require.Equal(t, 2, q.Position(item("heavy", "y")))
	require.Equal(t, 2, q.Position(item("light", "z")))
}

func TestRetryBudgetIsAShareOfAttempts(t *testing.T) {
	b := NewRetryBudget(0.1)
	allowed := 0
	for range 1000 {
		b.RecordAttempt()
		for range 3 {
			if b.AllowRetry(time.Time{}) {
				allowed++
			}
		}
	}
	require.InDelta(t, 100, allowed, 2)
	require.False(t, NewRetryBudget(0).AllowRetry(time.Time{}))
}

// TestFleetRetriesStayWithinTheLimitInAnyWindow guards against hosts that together
// exceed the fleet's retry limit. All hosts retry whenever they may, and all restart
// at times. The test counts the retries in each window.
func TestFleetRetriesStayWithinTheLimitInAnyWindow(t *testing.T) {
	const hosts, share, slack, window = 8, 0.2, 54.0, 10 * time.Second
	const step, perHost = 20 * time.Millisecond, 0.25 // first attempts of a host in a step
	limits := FleetRetryLimits(share, slack, window, hosts)
	budgets := make([]*RetryBudget, hosts)
	for i := range budgets {
		budgets[i] = NewFleetRetryBudget(limits, time.Unix(0, 0))
	}
	var attempts, retries []float64 // in each step
	credit, now := 0.0, time.Unix(0, 0)
	for n := range int(6 * window / step) {
		now = now.Add(step)
		attempts, retries = append(attempts, 0), append(retries, 0)
		if n%700 == 0 {
			for i := range budgets {
				budgets[i] = NewFleetRetryBudget(limits, now)
			}
		}
		credit += perHost
		busy := n/1000%2 == 0 // first attempts stop at times
		for _, b := range budgets {
			for range int(credit) {
				if busy {
					b.RecordAttempt()
					attempts[n]++
				}
			}
			for b.AllowRetry(now) {
				retries[n]++
			}
		}
		credit -= float64(int(credit))
	}
	span := int(window / step)
	most := 0.0
	for end := span; end <= len(retries); end++ {
		used := sum(retries[end-span : end])
		most = max(most, used)
		require.LessOrEqual(t, used, share*sum(attempts[end-span:end])+slack, "window that ends at step %d", end)
	}
	require.Greater(t, most, share*perHost*hosts*float64(span), "the budget allows retries beyond the share")
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func TestLimitFallsAsDelayRisesAndRecovers(t *testing.T) {
	l := NewLimiter(LimiterConfig{Initial: 8, Max: 16})
	now := time.Unix(1000, 0)
	observe := func(n int, delay time.Duration) {
		for range n {
			now = now.Add(delay)
			l.Observe(delay, l.Limit(), now)
		}
	}
	observe(300, 100*time.Millisecond)
	require.Equal(t, 16, l.Limit())
	observe(30, 500*time.Millisecond)
	low := l.Limit()
	require.LessOrEqual(t, low, 4)
	observe(600, 100*time.Millisecond)
	require.Greater(t, l.Limit(), low)
	before := l.Limit()
	l.ObserveOverload(now.Add(time.Minute))
	require.Less(t, l.Limit(), before)
}

// TestLimitToleratesVaryingDelays guards against a limit that falls although delays
// differ only as much as those of short and long prompts do.
func TestLimitToleratesVaryingDelays(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	l := NewLimiter(LimiterConfig{Initial: 8, Max: 8})
	now := time.Unix(1000, 0)
	low := 8
	for range 20000 {
		delay := time.Duration(rng.ExpFloat64() * float64(200*time.Millisecond))
		now = now.Add(delay / 8)
		l.Observe(delay, 8, now)
		low = min(low, l.Limit())
	}
	require.GreaterOrEqual(t, low, 6)
}

func TestLimitDoesNotGrowWhileUnused(t *testing.T) {
	l := NewLimiter(LimiterConfig{Initial: 8, Max: 16})
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(time.Second)
		l.Observe(100*time.Millisecond, 2, now)
	}
	require.Equal(t, 8, l.Limit())
}

func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := NewQueue(2 * waiting)
			for i := range waiting {
				q.Push(item(fmt.Sprint("f", i%4), fmt.Sprint("a", i%40)))
			}
			b.ReportAllocs()
			for b.Loop() {
				it := q.Pop(always)
				q.Push(it)
			}
		})
	}
}
