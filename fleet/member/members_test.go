package member

import (
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
)

// maxDetectionTime is the time within which traffic must move off a dead host.
const maxDetectionTime = 3 * time.Second

func TestDeadHostIsSuspectedEverywhere(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T) {
				f := newFixture(t, 16, 4)
				time.Sleep(10 * time.Second)
				require.Equal(t, 16, f.countObserved(hostID(3), StateLive))
				f.kill(hostID(3), silent)
				took := f.waitUntil(maxDetectionTime, func() bool { return f.countObserved(hostID(3), StateSuspected) == 15 })
				t.Log("suspected by all after", took)
				time.Sleep(time.Minute)
				for id := range f.hosts {
					require.Equal(t, 15, f.countObserved(id, StateLive))
				}
				f.list.Remove(hostID(3))
				f.waitUntil(2*time.Second, func() bool { return f.countKnown(hostID(3)) == 0 })
			})
		})
	}
}

func TestRestartClearsSuspicion(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 8, 4)
		time.Sleep(5 * time.Second)
		f.kill(hostID(2), false)
		f.waitUntil(maxDetectionTime, func() bool { return f.countObserved(hostID(2), StateSuspected) == 7 })
		f.start(f.hostInfo(2, 4), 2)
		f.waitUntil(5*time.Second, func() bool { return f.countObserved(hostID(2), StateLive) == 8 })
		for _, h := range f.hosts[hostID(1)].members.Hosts() {
			if h.ID == hostID(2) {
				require.EqualValues(t, 2, h.Incarnation)
			}
		}
	})
}

func TestWholeFailureDomainDies(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 20, 5)
		time.Sleep(10 * time.Second)
		for i := 1; i < 20; i += 5 {
			f.kill(hostID(i), true)
		}
		f.waitUntil(maxDetectionTime, func() bool {
			for i := 1; i < 20; i += 5 {
				if f.countObserved(hostID(i), StateSuspected) < 16 {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Minute)
		require.Equal(t, 16, f.countObserved(hostID(0), StateLive))
	})
}

// One witness is not enough: a host that only one other host cannot reach must stay
// in use by the rest.
func TestOneWayPartitionBetweenTwoHosts(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 12, 4)
		time.Sleep(5 * time.Second)
		watcher := string(f.watchers(hostID(5))[0])
		f.network.Cut(watcher, string(hostID(5)))
		for range 60 {
			time.Sleep(time.Second)
			require.LessOrEqual(t, f.countObserved(hostID(5), StateSuspected), 1, "at most the host that is cut off")
		}
		f.network.Heal(watcher, string(hostID(5)))
		f.waitUntil(10*time.Second, func() bool { return f.countObserved(hostID(5), StateLive) == 12 })
	})
}

func TestFlappingLinksAreDamped(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 8, 4)
		time.Sleep(5 * time.Second)
		changes := func() int64 { return f.hosts[hostID(7)].members.meters.transitions.Count() }
		for range 30 {
			f.isolate(hostID(3))
			time.Sleep(4 * time.Second)
			for id := range f.hosts {
				f.network.Heal(string(id), string(hostID(3)))
				f.network.Heal(string(hostID(3)), string(id))
			}
			time.Sleep(4 * time.Second)
		}
		require.LessOrEqual(t, changes(), int64(10), "30 flaps without damping are 60 transitions")
		f.waitUntil(2*time.Minute, func() bool { return f.countObserved(hostID(3), StateLive) == 8 })
	})
}

func TestHostsThatAnswerStayWithoutList(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 5, 5)
		time.Sleep(5 * time.Second)
		f.list.SetDown(true)
		f.kill(hostID(1), true)
		f.waitUntil(maxDetectionTime, func() bool { return f.countObserved(hostID(1), StateSuspected) == 4 })
		time.Sleep(5 * time.Minute)
		require.Equal(t, 4, f.countObserved(hostID(2), StateLive))
		f.list.SetDown(false)

		for i := range 5 { // the list becomes empty
			f.list.Remove(hostID(i))
		}
		time.Sleep(5 * time.Minute)
		require.Equal(t, 4, f.countObserved(hostID(2), StateLive), "hosts that answer stay")
		require.Equal(t, 0, f.countKnown(hostID(1)))
	})
}

func TestLeavingHostIsKnownEverywhereSoon(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 16, 4)
		time.Sleep(5 * time.Second)
		f.hosts[hostID(4)].members.SetLeaving()
		f.waitUntil(maxDetectionTime, func() bool { return f.countObserved(hostID(4), StateLeaving) == 16 })
		f.list.SetState(hostID(5), platform.HostLeaving)
		f.waitUntil(maxDetectionTime, func() bool { return f.countObserved(hostID(5), StateLeaving) == 16 })
		f.kill(hostID(4), false)
		f.list.Remove(hostID(4))
		f.waitUntil(2*time.Second, func() bool { return f.countKnown(hostID(4)) == 0 })
	})
}

func TestReportedFailureIsProbedFirst(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 16, 4)
		time.Sleep(5 * time.Second)
		m := f.hosts[hostID(0)].members
		m.ReportFailure(hostID(9))
		time.Sleep(3 * time.Second)
		require.Equal(t, 16, f.countObserved(hostID(9), StateLive), "it answers")
		f.network.Cut(string(hostID(0)), string(hostID(9)))
		m.ReportFailure(hostID(9))
		time.Sleep(4 * time.Second)
		require.Equal(t, 1, f.countObserved(hostID(9), StateSuspected), "only the host that cannot reach it")
		f.network.Heal(string(hostID(0)), string(hostID(9)))
		f.waitUntil(10*time.Second, func() bool { return f.countObserved(hostID(9), StateLive) == 16 })
	})
}

// A device between two hosts drops the state of a connection, which then goes
// silent. The connection must be replaced and no host suspected.
func TestSilentConnectionsCauseNoSuspicion(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 8, 4)
		time.Sleep(5 * time.Second)
		for i := range 8 {
			for k := range i {
				f.network.Silence(string(hostID(i)), string(hostID(k)))
			}
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for id := range f.hosts {
				require.Zero(t, f.countObserved(id, StateSuspected))
			}
		}
	})
}

// The fleet is split into two halves for two minutes. The halves suspect each
// other. No host may suspect one of its own half, and all must see all hosts live
// again soon after the split heals.
func TestPartitionAndHeal(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 12, 4)
		time.Sleep(5 * time.Second)
		across := func(change func(a, b string)) {
			for i := range 6 {
				for k := 6; k < 12; k++ {
					change(string(hostID(i)), string(hostID(k)))
					change(string(hostID(k)), string(hostID(i)))
				}
			}
		}
		across(f.network.Cut)
		time.Sleep(2 * time.Minute)
		for i := range 6 {
			for k := range 6 {
				state, _ := f.hosts[hostID(i)].members.ObservedState(hostID(k))
				require.Equal(t, StateLive, state, "own half")
			}
		}
		across(f.network.Heal)
		f.waitUntil(30*time.Second, func() bool {
			for i := range 12 {
				if f.countObserved(hostID(i), StateLive) != 12 {
					return false
				}
			}
			return true
		})
	})
}

// Suspicion must not block calls: a call to a falsely suspected host is answered.
func TestFalselySuspectedHostAnswersCalls(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 8, 4)
		time.Sleep(5 * time.Second)
		victim := hostID(2)
		watchers := f.watchers(victim)
		for _, w := range watchers {
			f.network.Cut(string(w), string(victim))
		}
		f.waitUntil(maxDetectionTime, func() bool { return f.countObserved(victim, StateSuspected) == 7 })
		calls := 0
		for id, h := range f.hosts {
			if id == victim || slices.Contains(watchers, id) {
				continue
			}
			client, ok := h.members.Client(victim)
			require.True(t, ok)
			_, err := client.Ping(t.Context(), connect.NewRequest(h.members.pingRequest()))
			require.NoError(t, err)
			calls++
		}
		require.Equal(t, 4, calls)
		require.Len(t, f.hosts[hostID(0)].members.Hosts(), 8)
	})
}

// A host that cannot reach any other must stay live in its own view, and only it may
// suspect the others.
func TestOnlyIsolatedHostSuspectsOthers(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 8, 4)
		time.Sleep(5 * time.Second)
		f.isolate(hostID(3))
		time.Sleep(time.Minute)
		m := f.hosts[hostID(3)].members
		require.Len(t, m.Hosts(), 8)
		state, _ := m.ObservedState(hostID(3))
		require.Equal(t, StateLive, state)
		for i := range 8 {
			if i != 3 {
				require.GreaterOrEqual(t, f.countObserved(hostID(i), StateLive), 7, "only the isolated host may suspect it")
			}
		}
	})
}

// A host stops gracefully and restarts under the same ID before the platform's list
// changes. Hosts that get no message from it directly must use it again too.
func TestRestartAfterLeaving(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newFixture(t, 16, 4)
		time.Sleep(5 * time.Second)
		f.hosts[hostID(4)].members.SetLeaving()
		f.waitUntil(maxDetectionTime, func() bool { return f.countObserved(hostID(4), StateLeaving) == 16 })
		f.kill(hostID(4), false)
		time.Sleep(time.Second)
		f.start(f.hostInfo(4, 4), 2)
		f.waitUntil(2*maxDetectionTime, func() bool { return f.countObserved(hostID(4), StateLive) == 16 })
		for _, h := range f.hosts {
			i := slices.IndexFunc(h.members.Hosts(), func(h Host) bool { return h.ID == hostID(4) })
			require.EqualValues(t, 2, h.members.Hosts()[i].Incarnation)
		}
	})
}
