package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func hosts(n, domains int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{
			ID:            fmt.Sprintf("host-%03d", i),
			Address:       fmt.Sprintf("10.0.0.%d:8080", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			Region:        "gauteng",
		}
	}
	return out
}

func accounts(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("firm/account-%04d", i)
	}
	return out
}

func TestSecondAddressIsInAnotherFailureDomain(t *testing.T) {
	hs, as := hosts(8, 4), accounts(50)
	plan := NewPlan(as, hs)
	for _, a := range as {
		got := plan.Order(a, "gauteng", hs, 4)
		require.Len(t, got, 4)
		require.NotEqual(t, got[0].FailureDomain, got[1].FailureDomain)
	}
}

func TestAccountsPerHostAreBounded(t *testing.T) {
	for _, size := range []struct{ accounts, hosts int }{{10, 7}, {20, 15}, {1300, 620}} {
		hs, as := hosts(size.hosts, 4), accounts(size.accounts)
		plan := NewPlan(as, hs)
		counts := make(map[string]int)
		for _, a := range as {
			counts[plan.Order(a, "", hs, 1)[0].ID]++
		}
		for id, n := range counts {
			require.LessOrEqual(t, float64(n), 1.25*float64(size.accounts)/float64(size.hosts)+1, "%s of %+v", id, size)
		}
	}
}

func TestSuspicionMovesOnlyTheHostsAccounts(t *testing.T) {
	hs, as := hosts(15, 4), accounts(200)
	plan := NewPlan(as, hs)
	suspect := append([]Host{}, hs...)
	suspect[3].Suspected = true
	moved := 0
	for _, a := range as {
		before, after := plan.Order(a, "", hs, 15), plan.Order(a, "", suspect, 15)
		require.Equal(t, suspect[3].ID, after[14].ID)
		if before[0].ID == suspect[3].ID {
			require.Equal(t, before[1].FailureDomain != before[0].FailureDomain, true)
			moved++
			continue
		}
		require.Equal(t, before[0], after[0])
	}
	require.Positive(t, moved)
}

// When a host is removed from the list, its accounts fill up other hosts, so that
// accounts of these move too. That must stay a small share of all accounts.
func TestHostLossMovesFewOtherAccounts(t *testing.T) {
	hs, as := hosts(15, 4), accounts(200)
	others := 0
	for lost := range hs {
		rest := append(append([]Host{}, hs[:lost]...), hs[lost+1:]...)
		before, after := NewPlan(as, hs), NewPlan(as, rest)
		for _, a := range as {
			if before.first[a] != hs[lost].ID && before.first[a] != after.first[a] {
				others++
			}
		}
	}
	share := float64(others) / float64(len(hs)*len(as))
	t.Logf("accounts of other hosts that moved: %.2f%%", 100*share)
	require.Less(t, share, 0.05)
}

func TestOrderWithLeavingHosts(t *testing.T) {
	hs := hosts(3, 3)
	hs[0].Leaving = true
	plan := NewPlan(nil, hs)
	got := plan.Order("firm/new", "", hs, 3)
	require.Len(t, got, 2, "a leaving host is left out")
	for i := range hs {
		hs[i].Leaving = true
	}
	require.Len(t, plan.Order("firm/new", "", hs, 3), 3, "leaving hosts are returned if there are no others")
	require.Empty(t, plan.Order("firm/new", "", nil, 3))
}

func TestHostsOfTheRegionComeFirst(t *testing.T) {
	hs := hosts(8, 4)
	for i := range hs {
		if i%2 == 0 {
			hs[i].Region = "kerala"
		}
	}
	got := NewPlan(nil, hs).Order("firm/a", "kerala", hs, 8)
	for i, h := range got {
		require.Equal(t, i < 4, h.Region == "kerala")
	}
}

func BenchmarkNewPlan(b *testing.B) {
	for _, n := range []int{15, 120, 620} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hs, as := hosts(n, 4), accounts(1300)
			for b.Loop() {
				NewPlan(as, hs)
			}
		})
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{15, 120, 620} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hs := hosts(n, 4)
			plan := NewPlan(accounts(1300), hs)
			b.ReportAllocs()
			for b.Loop() {
				plan.Order("firm/account-0001", "gauteng", hs, 4)
			}
		})
	}
}
