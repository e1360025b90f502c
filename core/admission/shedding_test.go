package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The retries of an account that has used more than its share keep to the shorter wait too.
func TestRetriesOfAnAccountBeyondItsShareWaitShorter(t *testing.T) {
	a := Arrival{Objective: 600 * time.Millisecond, Remaining: 4 * time.Second, Retried: true, Wait: 300 * time.Millisecond, ShareFactor: 0.2}
	shed, _ := ShouldShed(a, 0)
	require.True(t, shed)
	a.ShareFactor = 0
	shed, _ = ShouldShed(a, 0)
	require.False(t, shed)
}

func TestRequestsThatMissTheirObjectiveAreShed(t *testing.T) {
	const objective, remaining = 600 * time.Millisecond, 6 * time.Second
	idle := Arrival{Objective: objective, Remaining: remaining, Read: 50 * time.Millisecond, Generate: 200 * time.Millisecond}
	with := func(f func(a *Arrival)) Arrival {
		a := idle
		f(&a)
		return a
	}
	cases := []struct {
		name string
		a    Arrival
		shed bool
	}{
		{"no wait", idle, false},
		{"a wait that leaves time to read", with(func(a *Arrival) { a.Wait = 250 * time.Millisecond }), false},
		{"a wait that leaves no time to read", with(func(a *Arrival) { a.Wait = 350 * time.Millisecond }), true},
		{"a less urgent request is shed first", with(func(a *Arrival) { a.Wait, a.Rank = 250*time.Millisecond, 2 }), true},
		{"a retry after shedding", with(func(a *Arrival) { a.Wait, a.Retried = 350*time.Millisecond, true }), false},
		{"an answer that would not end in time", with(func(a *Arrival) { a.Generate = remaining }), true},
		{"a large prompt on an idle upstream", with(func(a *Arrival) { a.Read = time.Second }), false},
		{"no objective", with(func(a *Arrival) { a.Objective, a.Wait = 0, time.Minute }), false},
		{"no bound on the answer", with(func(a *Arrival) { a.Remaining, a.Generate = 0, time.Hour }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shed, retryAfter := ShouldShed(c.a, 0.5)
			require.Equal(t, c.shed, shed)
			require.Equal(t, c.shed, retryAfter > 0)
		})
	}
}

func TestRetryAfterIsJitteredAndLeavesTimeForTheAnswer(t *testing.T) {
	a := Arrival{Objective: 400 * time.Millisecond, Remaining: 6 * time.Second, Wait: time.Second}
	_, earliest := ShouldShed(a, 0)
	_, latest := ShouldShed(a, 0.999)
	require.Equal(t, time.Second, earliest)
	require.InDelta(t, 2*time.Second, latest, float64(10*time.Millisecond))
	a.Remaining = 0
	_, unbounded := ShouldShed(a, 0)
	require.Equal(t, defaultRetryAfter/2, unbounded)

	require.Equal(t, 1500*time.Millisecond, RetryAfterOutage(6*time.Second, 0))
	require.InDelta(t, 2*time.Second, RetryAfterOutage(6*time.Second, 1), float64(time.Millisecond))
	require.Equal(t, defaultRetryAfter, RetryAfterOutage(0, 0.5))
	require.Equal(t, minRetryAfter, RetryAfterOutage(time.Millisecond, 0.5))
}

// A retry is late already: it waits behind the new requests of its rank, and before less urgent
// ones, and longer than these may.
func TestRetriesWaitBehindNewRequestsOfTheirRank(t *testing.T) {
	for rank := range 4 {
		require.Less(t, Urgency(rank, false), Urgency(rank, true))
		require.Less(t, Urgency(rank, true), Urgency(rank+1, false))
	}
	a := Arrival{Objective: 600 * time.Millisecond, Remaining: 4 * time.Second, Retried: true, Wait: 900 * time.Millisecond, Read: 100 * time.Millisecond}
	shed, _ := ShouldShed(a, 0)
	require.False(t, shed)
	a.Wait = 1100 * time.Millisecond
	shed, _ = ShouldShed(a, 0)
	require.True(t, shed, "it may be answered too late at last")
}

// A request whose objective is for its whole answer may wait as long as the answer is in time,
// less urgent ones a little less; it is shed if the answer would be late.
func TestWholeAnswersMayWaitUntilTheyWouldBeLate(t *testing.T) {
	a := Arrival{Objective: 300 * time.Millisecond, Remaining: 800 * time.Millisecond, Whole: true, Read: 60 * time.Millisecond}
	shed := func(rank int, wait time.Duration) bool {
		a.Rank, a.Wait = rank, wait
		shed, _ := ShouldShed(a, 0)
		return shed
	}
	require.False(t, shed(0, 239*time.Millisecond))
	require.True(t, shed(0, 241*time.Millisecond))
	require.False(t, shed(2, 179*time.Millisecond))
	require.True(t, shed(2, 181*time.Millisecond))
	a.Read = 400 * time.Millisecond
	require.False(t, shed(0, 50*time.Millisecond), "slow work is not a reason by itself")
	a.Read = 900 * time.Millisecond
	require.True(t, shed(0, 0), "it can't end before the caller leaves")
}
