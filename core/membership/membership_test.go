package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
)

func hostList(hosts, domains int) []platform.Host {
	list := make([]platform.Host, hosts)
	for i := range list {
		list[i] = platform.Host{ID: id(i), FailureDomain: fmt.Sprint("d", i%domains), State: platform.HostLive}
	}
	return list
}

func id(i int) record.HostID { return record.HostID(fmt.Sprintf("h%03d", i)) }

// clock is a manual clock.
type clock struct{ now time.Time }

func (c *clock) add(d time.Duration) time.Time {
	c.now = c.now.Add(d)
	return c.now
}

func newTable(hosts, domains int) (*Table, *clock) {
	list := hostList(hosts, domains)
	c := &clock{time.Unix(1_000_000, 0)}
	t := New(record.Holder{Host: id(0), Incarnation: 1}, list[0], DefaultPolicy())
	t.SetList(list, c.now)
	return t, c
}

func state(t *Table, host record.HostID) statechart.State {
	s, known := t.State(host)
	if !known {
		return StateGone
	}
	return s
}

// reportFrom returns a failure report on a host by one of its watchers, given by
// its index among the watchers other than the table's own host.
func reportFrom(t *Table, host record.HostID, watcher int, seq uint64) Report {
	others := t.Watchers(host)
	for i, w := range others {
		if w == t.self.Host {
			others = append(others[:i], others[i+1:]...)
			break
		}
	}
	return Report{Host: host, By: others[watcher], Seq: seq}
}

func TestWatchersAreBalancedAndInOtherDomains(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{2, 1}, {3, 3}, {8, 4}, {15, 3}, {620, 15}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			table, _ := newTable(size.hosts, size.domains)
			want := min(DefaultPolicy().Watchers, size.hosts-1)
			load := make(map[record.HostID]int)
			for i := range size.hosts {
				watchers := table.Watchers(id(i))
				require.Len(t, watchers, want)
				for _, w := range watchers {
					load[w]++
					require.NotEqual(t, id(i), w)
					if size.hosts >= 15 {
						require.NotEqual(t, table.entries[id(i)].host.FailureDomain, table.entries[w].host.FailureDomain)
					}
				}
			}
			for w, n := range load {
				require.LessOrEqual(t, n, 3*want, w)
			}
		})
	}
}

func TestTwoWitnessesMakeAHostSuspected(t *testing.T) {
	table, c := newTable(12, 4)
	host := id(5)
	table.ReceiveReports([]Report{reportFrom(table, host, 0, 1)}, c.now)
	require.Equal(t, StateLive, state(table, host))
	table.ReceiveReports([]Report{reportFrom(table, host, 1, 1)}, c.now)
	require.Equal(t, StateSuspected, state(table, host))
	cleared := reportFrom(table, host, 1, 2)
	cleared.Cleared = true
	table.ReceiveReports([]Report{cleared}, c.now)
	require.Equal(t, StateLive, state(table, host))
	_, fresh := table.ReceiveReports([]Report{reportFrom(table, host, 1, 1)}, c.now)
	require.False(t, fresh, "a report with an old number is ignored")
	require.Equal(t, StateLive, state(table, host))
}

func TestReportOfSuspectedWitnessIsIgnored(t *testing.T) {
	table, c := newTable(12, 4)
	host := id(5)
	witness := reportFrom(table, host, 0, 1).By
	table.CallFailed(witness, c.now)
	table.Tick(c.add(3 * time.Second))
	require.Equal(t, StateSuspected, state(table, witness))
	table.ReceiveReports([]Report{reportFrom(table, host, 0, 1), reportFrom(table, host, 1, 1)}, c.now)
	require.Equal(t, StateLive, state(table, host), "one of the two witnesses is itself suspected")
}

func TestOwnFailedCallsSuspectAfterTimeout(t *testing.T) {
	table, c := newTable(12, 4)
	table.CallFailed(id(7), c.now)
	table.Tick(c.add(time.Second))
	require.Equal(t, StateLive, state(table, id(7)))
	require.Contains(t, table.Targets(), id(7), "a failing host is probed until it answers")
	table.Tick(c.add(time.Second))
	require.Equal(t, StateSuspected, state(table, id(7)))
	status := SelfStatus{Host: id(7), Incarnation: 3}
	table.CallAnswered(status, c.add(time.Second))
	require.Equal(t, StateSuspected, state(table, id(7)), "one answer is not enough")
	table.CallAnswered(status, c.add(2*time.Second))
	require.Equal(t, StateLive, state(table, id(7)))
}

func TestRestartEndsSuspicion(t *testing.T) {
	table, c := newTable(12, 4)
	host := id(5)
	table.ReceiveStatus(SelfStatus{Host: host, Incarnation: 10}, c.now)
	reports := []Report{reportFrom(table, host, 0, 1), reportFrom(table, host, 1, 1)}
	reports[0].Incarnation, reports[1].Incarnation = 10, 10
	table.ReceiveReports(reports, c.now)
	require.Equal(t, StateSuspected, state(table, host))
	table.ReceiveStatus(SelfStatus{Host: host, Incarnation: 11}, c.now)
	require.Equal(t, StateLive, state(table, host))
	reports[0].Seq, reports[1].Seq = 9, 9
	table.ReceiveReports(reports, c.now)
	require.Equal(t, StateLive, state(table, host), "reports on the earlier incarnation are ignored")
	table.ReceiveStatus(SelfStatus{Host: host, Incarnation: 10, Leaving: true}, c.now)
	require.Equal(t, StateLive, state(table, host), "so is a late status of the earlier incarnation")
}

func TestFlappingLengthensRecovery(t *testing.T) {
	table, c := newTable(12, 4)
	host := table.Targets()[0]
	failAndRecover := func() time.Duration {
		table.CallFailed(host, c.add(time.Second))
		start := c.now
		for table.entries[host].calls.failing {
			table.CallAnswered(SelfStatus{Host: host, Incarnation: 1}, c.add(time.Second))
		}
		return c.now.Sub(start)
	}
	first := failAndRecover()
	for range 8 {
		failAndRecover()
	}
	require.Equal(t, 3*time.Second, first)
	require.Equal(t, 61*time.Second, failAndRecover(), "limited by MaxRecovery")
	c.add(6 * time.Minute)
	require.Equal(t, 3*time.Second, failAndRecover(), "reset after FlapExpiry")
}

// An empty host list must not remove hosts that answer, not even after an hour.
func TestEmptyListRemovesOnlyFailingHosts(t *testing.T) {
	table, c := newTable(8, 4)
	table.SetList(nil, c.now)
	for range 3600 {
		for _, h := range table.Targets() {
			if h != id(3) {
				table.CallAnswered(SelfStatus{Host: h, Incarnation: 1}, c.now)
			}
		}
		table.CallFailed(id(3), c.now)
		table.Tick(c.add(time.Second))
	}
	require.Len(t, table.Hosts(), 7)
	require.Equal(t, StateGone, state(table, id(3)))
	require.NotContains(t, table.Targets(), id(3))
	table.SetList(hostList(8, 4), c.now)
	require.Equal(t, StateLive, state(table, id(3)), "a listed host is added again")
}

func TestLeaving(t *testing.T) {
	table, c := newTable(8, 4)
	list := hostList(8, 4)
	list[2].State = platform.HostLeaving
	table.SetList(list, c.now)
	require.Equal(t, StateLeaving, state(table, id(2)))
	table.ReceiveReports([]Report{{Host: id(4), By: id(4), Seq: 1}}, c.now)
	require.Equal(t, StateLeaving, state(table, id(4)), "its own report, passed on by another host")
	table.SetList(append(list[:2:2], list[3:]...), c.now)
	require.Equal(t, StateGone, state(table, id(2)))
	table.SetLeaving(c.now)
	require.Equal(t, StateLeaving, state(table, id(0)))
	own := slices.IndexFunc(table.TakeReports(10), func(r Report) bool { return r.Host == id(0) })
	require.GreaterOrEqual(t, own, 0)
	require.False(t, table.TakeReports(10)[own].Cleared, "the host reports that it leaves")
}

func TestReportQueueIsBounded(t *testing.T) {
	var q reportQueue
	for i := range 3 * maxQueuedReports {
		q.add(Report{Host: id(i), By: "w", Seq: 1}, 2)
	}
	require.Len(t, q.items, maxQueuedReports)
	require.Len(t, q.take(64), 64)
	q.add(Report{Host: id(3*maxQueuedReports - 1), By: "w", Seq: 2}, 2)
	require.Len(t, q.items, maxQueuedReports, "a newer report replaces the older one")
	for range 3 * maxQueuedReports {
		q.take(64)
	}
	require.Empty(t, q.items)
}

// Checks over random inputs that the table's own host is never gone or suspected,
// that no host is suspected without a failed call or a report, and that the table
// fires no event that its chart does not accept.
func TestAnyHistoryKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, c := newTable(6, 3)
		list := hostList(6, 3)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			c.add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond)
			host := id(rapid.IntRange(0, 5).Draw(rt, "host"))
			by := id(rapid.IntRange(0, 5).Draw(rt, "by"))
			incarnation := record.Incarnation(rapid.IntRange(0, 3).Draw(rt, "incarnation"))
			flag := rapid.Bool().Draw(rt, "flag")
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				table.CallFailed(host, c.now)
			case 1:
				table.CallAnswered(SelfStatus{Host: host, Incarnation: incarnation, Leaving: flag}, c.now)
			case 2:
				table.ReceiveReports([]Report{{host, incarnation, by, uint64(rapid.IntRange(0, 9).Draw(rt, "seq")), flag}}, c.now)
			case 3:
				from := rapid.IntRange(0, 5).Draw(rt, "from")
				table.SetList(list[from:], c.now)
			case 4:
				table.Tick(c.now)
			case 5:
				table.ReceiveStatus(SelfStatus{Host: host, Incarnation: incarnation, Leaving: flag}, c.now)
			}
			require.NotEqual(rt, StateGone, state(table, id(0)))
			require.NotEqual(rt, StateSuspected, state(table, id(0)))
			for _, h := range table.Hosts() {
				e := table.entries[h.ID]
				if h.State == StateSuspected {
					require.True(rt, e.calls.failing || len(e.reports) > 0)
				}
			}
		}
	})
}

func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{8, 128, 620} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			table, c := newTable(hosts, 15)
			for b.Loop() {
				table.Tick(c.add(time.Second))
			}
		})
	}
}

func BenchmarkSetList(b *testing.B) {
	for _, hosts := range []int{8, 128, 620} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			table, c := newTable(hosts, 15)
			list := hostList(hosts, 15)
			for b.Loop() {
				table.SetList(list, c.now)
			}
		})
	}
}
