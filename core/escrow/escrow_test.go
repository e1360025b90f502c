package escrow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

func TestClaimIsReadAsWritten(t *testing.T) {
	c := Claim{Budget: "acme/with/slash", Host: "h1", Epoch: 3, Total: -17}
	value, err := c.Encode()
	require.NoError(t, err)
	got, err := Decode(c.Key(), value)
	require.NoError(t, err)
	require.Equal(t, c, got)

	for _, bad := range []struct {
		key   string
		value []byte
	}{{"nohost", value}, {"acme/h1", []byte("not cbor")}, {"acme/h1", nil}} {
		_, err := Decode(bad.key, bad.value)
		require.Error(t, err, "%q", bad.key)
	}
}

// TestClaimsNeverFitBeyondTheBudget replays two hosts that claim the rest of a
// budget at the same time: the log's order decides.
func TestClaimsNeverFitBeyondTheBudget(t *testing.T) {
	const prepaid = 100
	b := NewBook()
	b.Put(Claim{Budget: "acme", Host: "h1", Epoch: 1, Total: 70})
	require.Equal(t, record.Tokens(70), b.Fits("acme", 70, prepaid))
	b.Put(Claim{Budget: "acme", Host: "h2", Epoch: 1, Total: 60})
	require.Equal(t, record.Tokens(30), b.Fits("acme", 60, prepaid))
	b.Put(Claim{Budget: "acme", Host: "h3", Epoch: 1, Total: 10})
	require.Zero(t, b.Fits("acme", 10, prepaid))
	require.Equal(t, record.Tokens(140), b.Claimed("acme"))

	// What did not fit is given back; the newest claim of a host replaces the last.
	b.Put(Claim{Budget: "acme", Host: "h2", Epoch: 2, Total: 30})
	b.Put(Claim{Budget: "acme", Host: "h3", Epoch: 1})
	require.Equal(t, record.Tokens(100), b.Claimed("acme"))
	require.Equal(t, uint64(2), b.Epoch("h2"))
	require.Zero(t, b.Claimed("other"))
	require.Equal(t, Claim{Budget: "other", Host: "h1"}, b.Of("other", "h1"))
}

func TestPurseKeepsItsBooks(t *testing.T) {
	var p Purse
	require.False(t, p.Reserve(1))
	p.Receive(100)
	require.True(t, p.Reserve(60))
	require.False(t, p.Reserve(41))
	p.Settle(60, 25)
	require.Equal(t, record.Tokens(75), p.Free)
	require.True(t, p.Reserve(10))
	p.Settle(10, 1000) // a cost beyond what was reserved is not paid
	require.Equal(t, record.Tokens(65), p.Free)
	p.Remove(5)
	require.Zero(t, p.Difference())
	p.Free++
	require.NotZero(t, p.Difference())
}

// spendFor lets a purse spend an amount a second for some seconds.
func spendFor(p *Purse, perSecond record.Tokens, seconds int) {
	now := time.Unix(0, 0)
	p.Measure(now)
	for range 2 * seconds {
		p.Receive(perSecond / 2)
		p.Reserve(perSecond / 2)
		p.Settle(perSecond/2, perSecond/2)
		now = now.Add(time.Second / 2)
		p.Measure(now)
		p.Grow(DefaultPolicy(), time.Second/2)
	}
}

func TestWantCoversAnOutage(t *testing.T) {
	const prepaid, perSecond, hosts = 2_000_000, 1000, 10
	policy := DefaultPolicy()
	var p Purse
	first := p.Want(policy, prepaid, prepaid, 0, hosts)
	require.Equal(t, record.Tokens(policy.FirstShare*prepaid/hosts), first, "before anything is known")
	spendFor(&p, perSecond, 30)
	require.InDelta(t, policy.Cover.Seconds()*perSecond, float64(p.Want(policy, prepaid, prepaid, 0, hosts)), perSecond)

	// The last part is kept back, but for the base that each host holds and for
	// requests that wait.
	keptBack := record.Tokens(policy.KeepBack * prepaid)
	base := record.Tokens(policy.BaseShare * prepaid / hosts)
	require.Equal(t, base, p.Want(policy, prepaid, keptBack, 0, hosts))
	require.Equal(t, record.Tokens(5000), p.Want(policy, prepaid, keptBack, 5000, hosts))
	require.Equal(t, record.Tokens(300), p.Want(policy, prepaid, 300, 5000, hosts), "no more than is left")

	// A purse that is nearly full waits until a claim is worth it.
	p.Receive(record.Tokens(0.8 * policy.Cover.Seconds() * perSecond))
	require.Zero(t, p.Want(policy, prepaid, prepaid, 0, hosts))
}

func TestCoverThatAnOutageUsedIsClaimedSlowly(t *testing.T) {
	const prepaid, perSecond, hosts = 1_000_000, 1000, 10
	policy := DefaultPolicy()
	var p Purse
	_ = p.Want(policy, prepaid, prepaid, 0, hosts)
	spendFor(&p, perSecond, 30)
	p.Rebuild() // nothing is left
	require.Zero(t, p.Target(policy, prepaid, hosts))
	p.Grow(policy, 4*time.Second)
	require.InDelta(t, policy.Growth*4*perSecond, float64(p.Target(policy, prepaid, hosts)), perSecond/10)
}

func TestExcessIsWhatSpendingNoLongerJustifies(t *testing.T) {
	const prepaid, hosts = 1_000_000, 10
	policy := DefaultPolicy()
	var p Purse
	spendFor(&p, 1000, 30)
	p.Receive(15_000)
	require.Zero(t, p.Excess(policy, prepaid, hosts))
	p.Receive(50_000)
	require.InDelta(t, 55_000, float64(p.Excess(policy, prepaid, hosts)), 1000)
}

func TestCrashIsToldFromAClosing(t *testing.T) {
	b := NewBook()
	require.False(t, b.Crashed("h1"), "no run before")
	b.Put(Claim{Budget: "acme", Host: "h1", Epoch: 1, Total: 10})
	require.True(t, b.Crashed("h1"))
	b.Put(Closing("h1", 1))
	require.False(t, b.Crashed("h1"))
	b.Put(Claim{Budget: "acme", Host: "h1", Epoch: 2, Total: 20})
	require.True(t, b.Crashed("h1"))
	require.Equal(t, record.Tokens(20), b.Claimed("acme"))

	after := DefaultPolicy().AfterCrash()
	require.Equal(t, crashCover, after.Cover)
	require.Less(t, after.FirstShare, DefaultPolicy().FirstShare/3)
}

// TestPartsTooSmallForARequestAreNotClaimed: 300 hosts start with 7,000 budgets each.
func TestPartsTooSmallForARequestAreNotClaimed(t *testing.T) {
	const prepaid, hosts = 900_000, 300
	policy := DefaultPolicy()
	var p Purse
	require.Zero(t, p.Want(policy, prepaid, prepaid, 0, hosts), "a part of 450 tokens")
	require.Equal(t, record.Tokens(2400), p.Want(policy, prepaid, prepaid, 2400, hosts), "a request waits")
	p.Receive(2400)
	require.Greater(t, p.Excess(policy, prepaid, hosts), record.Tokens(1900), "what is left over is given back")
}

// TestManyBudgetsAreClaimedWhenTheyAreUsed: 100 hosts with 2,400 budgets would start with
// 240,000 claims, and each would read them all after a loss of power.
func TestManyBudgetsAreClaimedWhenTheyAreUsed(t *testing.T) {
	const prepaid, hosts = 1_000_000, 100
	policy := DefaultPolicy().ForFleet(2400, hosts)
	var p Purse
	require.Zero(t, p.Want(policy, prepaid, prepaid, 0, hosts))
	spendFor(&p, 1000, 30)
	require.Positive(t, p.Want(policy, prepaid, prepaid, 0, hosts), "one that is used is covered")

	var few Purse
	require.Positive(t, few.Want(DefaultPolicy().ForFleet(24, 89), prepaid, prepaid, 0, 89), "a grown site")
}
