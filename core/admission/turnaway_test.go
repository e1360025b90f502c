package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTurnAway(t *testing.T) {
	const objective, patience = 600 * time.Millisecond, 6 * time.Second
	calm := Arrival{Objective: objective, Left: patience, Read: 50 * time.Millisecond, Generate: 200 * time.Millisecond}
	change := func(f func(a *Arrival)) Arrival {
		a := calm
		f(&a)
		return a
	}
	cases := []struct {
		name string
		a    Arrival
		away bool
	}{
		{"no wait", calm, false},
		{"a wait that leaves time to read", change(func(a *Arrival) { a.Wait = 250 * time.Millisecond }), false},
		{"a wait that does not", change(func(a *Arrival) { a.Wait = 350 * time.Millisecond }), true},
		{"a less urgent one first", change(func(a *Arrival) { a.Wait, a.Rank = 250*time.Millisecond, 2 }), true},
		{"one that came back later", change(func(a *Arrival) { a.Wait, a.Returned = 350*time.Millisecond, true }), false},
		{"an answer that would not end in time", change(func(a *Arrival) { a.Generate = patience }), true},
		{"a large prompt on an idle upstream", change(func(a *Arrival) { a.Read = time.Second }), false},
		{"no objective", change(func(a *Arrival) { a.Objective, a.Wait = 0, time.Minute }), false},
		{"no bound on the answer", change(func(a *Arrival) { a.Left, a.Generate = 0, time.Hour }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			away, comeBack := TurnAway(c.a, 0.5)
			require.Equal(t, c.away, away)
			require.Equal(t, c.away, comeBack > 0)
		})
	}
}

func TestReturnsAreSpreadAndLeaveTimeForTheAnswer(t *testing.T) {
	a := Arrival{Objective: 400 * time.Millisecond, Left: 6 * time.Second, Wait: time.Second}
	_, first := TurnAway(a, 0)
	_, last := TurnAway(a, 0.999)
	require.Equal(t, time.Second, first)
	require.InDelta(t, 2*time.Second, last, float64(10*time.Millisecond))
	a.Left = 0
	_, unknown := TurnAway(a, 0)
	require.Equal(t, usualReturn/2, unknown)

	require.Equal(t, 1500*time.Millisecond, ReturnAfterOutage(6*time.Second, 0))
	require.InDelta(t, 2*time.Second, ReturnAfterOutage(6*time.Second, 1), float64(time.Millisecond))
	require.Equal(t, usualReturn, ReturnAfterOutage(0, 0.5))
	require.Equal(t, minReturn, ReturnAfterOutage(time.Millisecond, 0.5))
}
