package escrow

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

func TestClaimRoundTrip(t *testing.T) {
	c := Claim{Budget: "acme/with/slash", Host: "h1", Epoch: 3, Total: -17}
	value, err := c.Encode()
	require.NoError(t, err)
	got, _, err := Decode(c.Key(), value)
	require.NoError(t, err)
	require.Equal(t, c, *got)
	h := HostRecord{Host: "h1", Epoch: 3, Seq: 9, Closed: true, Era: 4, Missed: 1}
	value, err = h.Encode()
	require.NoError(t, err)
	_, gotHost, err := Decode(h.Key(), value)
	require.NoError(t, err)
	require.Equal(t, h, *gotHost)

	for _, bad := range []struct {
		key   string
		value []byte
	}{{"nohost", value}, {"acme/h1", []byte("not cbor")}, {"acme/h1", nil}, {"/h1", []byte("not cbor")}} {
		_, _, err := Decode(bad.key, bad.value)
		require.Error(t, err, "%q", bad.key)
	}
}

// Two hosts claim the rest of a budget at the same time. Only the claim that comes
// first in the log may be spent in full; otherwise the budget would be overspent.
func TestSpendableClaimsNeverExceedBudget(t *testing.T) {
	const prepaid = 100
	table := NewClaimTable()
	table.Put(Claim{Budget: "acme", Host: "h1", Epoch: 1, Total: 70})
	require.Equal(t, record.Tokens(70), table.Spendable("acme", 70, prepaid))
	table.Put(Claim{Budget: "acme", Host: "h2", Epoch: 1, Total: 60})
	require.Equal(t, record.Tokens(30), table.Spendable("acme", 60, prepaid))
	table.Put(Claim{Budget: "acme", Host: "h3", Epoch: 1, Total: 10})
	require.Zero(t, table.Spendable("acme", 10, prepaid))
	require.Equal(t, record.Tokens(140), table.Claimed("acme"))

	// The excess is given back. A host's newest claim replaces its previous one.
	table.Put(Claim{Budget: "acme", Host: "h2", Epoch: 2, Total: 30})
	table.Put(Claim{Budget: "acme", Host: "h3", Epoch: 1})
	require.Equal(t, record.Tokens(100), table.Claimed("acme"))
	require.Equal(t, uint64(2), table.Epoch("h2"))
	require.Zero(t, table.Claimed("other"))
	require.Equal(t, Claim{Budget: "other", Host: "h1"}, table.HostClaim("other", "h1"))
}

func TestAllocationAccountsForEveryToken(t *testing.T) {
	var a Allocation
	require.False(t, a.Reserve(1))
	a.Add(100)
	require.True(t, a.Reserve(60))
	require.False(t, a.Reserve(41))
	a.Settle(60, 25)
	require.Equal(t, record.Tokens(75), a.Free)
	require.True(t, a.Reserve(10))
	a.Settle(10, 1000) // a cost above the reservation is cut to it
	require.Equal(t, record.Tokens(65), a.Free)
	a.Remove(5)
	require.Zero(t, a.Difference())
	a.Free++
	require.NotZero(t, a.Difference())
}

// spendFor adds and spends an amount per second, for some seconds.
func spendFor(a *Allocation, perSecond record.Tokens, seconds int) {
	now := time.Unix(0, 0)
	a.UpdateRate(now)
	for range 2 * seconds {
		a.Add(perSecond / 2)
		a.Reserve(perSecond / 2)
		a.Settle(perSecond/2, perSecond/2)
		now = now.Add(time.Second / 2)
		a.UpdateRate(now)
		a.RaiseCover(DefaultPolicy(), time.Second/2)
	}
}

func TestClaimAmountCoversOutage(t *testing.T) {
	const prepaid, perSecond, hosts = 2_000_000, 1000, 10
	policy := DefaultPolicy()
	var a Allocation
	first := a.ClaimAmount(policy, prepaid, prepaid, 0, hosts)
	require.Equal(t, record.Tokens(policy.InitialShare*prepaid/hosts), first, "before the spending rate is known")
	spendFor(&a, perSecond, 30)
	require.InDelta(t, policy.OutageCover.Seconds()*perSecond, float64(a.ClaimAmount(policy, prepaid, prepaid, 0, hosts)), perSecond)

	// The last share of the budget is claimed only for the minimum that each host
	// holds and for waiting requests.
	unclaimed := record.Tokens(policy.UnclaimedShare * prepaid)
	minHeld := record.Tokens(policy.MinShare * prepaid / hosts)
	require.Equal(t, minHeld, a.ClaimAmount(policy, prepaid, unclaimed, 0, hosts))
	require.Equal(t, record.Tokens(5000), a.ClaimAmount(policy, prepaid, unclaimed, 5000, hosts))
	require.Equal(t, record.Tokens(300), a.ClaimAmount(policy, prepaid, 300, 5000, hosts), "at most the unclaimed amount")

	// Above the refill threshold, nothing is claimed.
	a.Add(record.Tokens(0.8 * policy.OutageCover.Seconds() * perSecond))
	require.Zero(t, a.ClaimAmount(policy, prepaid, prepaid, 0, hosts))
}

func TestCoverIsReclaimedSlowlyAfterOutage(t *testing.T) {
	const prepaid, perSecond, hosts = 1_000_000, 1000, 10
	policy := DefaultPolicy()
	var a Allocation
	_ = a.ClaimAmount(policy, prepaid, prepaid, 0, hosts)
	spendFor(&a, perSecond, 30)
	a.LowerCover() // no free amount is left
	require.Zero(t, a.Target(policy, prepaid, hosts))
	a.RaiseCover(policy, 4*time.Second)
	require.InDelta(t, policy.CoverGrowth*4*perSecond, float64(a.Target(policy, prepaid, hosts)), perSecond/10)
}

func TestExcessIsFreeAmountAboveSpendingRate(t *testing.T) {
	const prepaid, hosts = 1_000_000, 10
	policy := DefaultPolicy()
	var a Allocation
	spendFor(&a, 1000, 30)
	a.Add(15_000)
	require.Zero(t, a.Excess(policy, prepaid, hosts))
	a.Add(50_000)
	require.InDelta(t, 55_000, float64(a.Excess(policy, prepaid, hosts)), 1000)
}

func TestRunWithoutClosingClaimCountsAsCrashed(t *testing.T) {
	table := NewClaimTable()
	require.False(t, table.Crashed("h1"), "no run before")
	table.Put(Claim{Budget: "acme", Host: "h1", Epoch: 1, Total: 10})
	require.True(t, table.Crashed("h1"))
	table.PutHost(HostRecord{Host: "h1", Epoch: 1, Seq: 2, Closed: true})
	require.False(t, table.Crashed("h1"))
	table.Put(Claim{Budget: "acme", Host: "h1", Epoch: 2, Total: 20})
	require.True(t, table.Crashed("h1"))
	require.Equal(t, record.Tokens(20), table.Claimed("acme"))

	after := DefaultPolicy().AfterCrash()
	require.Equal(t, coverAfterCrash, after.OutageCover)
	require.Less(t, after.InitialShare, DefaultPolicy().InitialShare/3)
}

// 300 hosts start with 7,000 budgets each. If each host claimed shares too small for
// a request, all hosts would read these claims in vain.
func TestSharesTooSmallForARequestAreNotClaimed(t *testing.T) {
	const prepaid, hosts = 900_000, 300
	policy := DefaultPolicy()
	var a Allocation
	require.Zero(t, a.ClaimAmount(policy, prepaid, prepaid, 0, hosts), "a share of 450 tokens")
	require.Equal(t, record.Tokens(2400), a.ClaimAmount(policy, prepaid, prepaid, 2400, hosts), "the need of a waiting request")
	a.Add(2400)
	require.Greater(t, a.Excess(policy, prepaid, hosts), record.Tokens(1900), "the rest after the request is given back")
}

// A host to which callers are not directed begins to serve 170 requests a second of 3,400 tokens, each
// for 0.3 s, and gets a claim every 0.2 s. Claims for just those that wait would make all others
// wait too until the rate is known.
func TestClaimsGrowWithTheRequestsInFlight(t *testing.T) {
	const prepaid, amount, perStep = 26_000_000, 3400, 17
	policy := DefaultPolicy().OnDemand()
	var a Allocation
	var inFlight []int // requests begun in each step of 100 ms
	waiting, waited := 0, 0
	for step := range 15 {
		if len(inFlight) >= 3 {
			a.Settle(record.Tokens(inFlight[0]*amount), record.Tokens(inFlight[0]*2000))
			inFlight = inFlight[1:]
		}
		begun := 0
		if step%2 == 0 {
			a.Add(a.ClaimAmount(policy, prepaid, prepaid/2, record.Tokens(waiting*amount), 18))
		}
		for range waiting + perStep {
			if !a.Reserve(amount) {
				break
			}
			begun++
		}
		waiting += perStep - begun
		if step >= 5 {
			waited += waiting
		}
		inFlight = append(inFlight, begun)
	}
	require.LessOrEqual(t, waited, perStep, "of 170 requests of the second after the first half")
}

// Without the limit on initial claims, 100 hosts with 2,400 budgets would start with
// 240,000 claims, and each host would read them all after a power loss.
func TestManyBudgetsAreClaimedOnlyOnceUsed(t *testing.T) {
	const prepaid, hosts = 1_000_000, 100
	policy := DefaultPolicy().ForFleet(2400, hosts)
	var a Allocation
	require.Zero(t, a.ClaimAmount(policy, prepaid, prepaid, 0, hosts))
	spendFor(&a, 1000, 30)
	require.Positive(t, a.ClaimAmount(policy, prepaid, prepaid, 0, hosts), "a budget in use is covered")

	var smallFleet Allocation
	require.Positive(t, smallFleet.ClaimAmount(DefaultPolicy().ForFleet(24, 89), prepaid, prepaid, 0, 89), "24 budgets on 89 hosts are below the limit")
}

// An outage that begins four seconds after the first request must find at least eight
// tenths of its cover claimed. With a fixed window it was two thirds.
func TestRateIsLearnedSoonAfterFirstUse(t *testing.T) {
	const perSecond, prepaid, hosts = 1000, 10_000_000, 1
	policy := DefaultPolicy().OnDemand()
	var a Allocation
	require.Zero(t, a.Target(policy, prepaid, hosts))
	now := time.Unix(0, 0)
	for range 40 { // no use for 20 s
		a.UpdateRate(now)
		now = now.Add(time.Second / 2)
	}
	for range 8 {
		a.Add(perSecond / 2)
		a.Reserve(perSecond / 2)
		a.Settle(perSecond/2, perSecond/2)
		a.UpdateRate(now)
		now = now.Add(time.Second / 2)
	}
	require.Greater(t, a.Target(policy, prepaid, hosts), record.Tokens(0.8*perSecond*policy.OutageCover.Seconds()))
	require.Less(t, a.Target(policy, prepaid, hosts), record.Tokens(1.05*perSecond*policy.OutageCover.Seconds()))
}

// A fleet that is upgraded must count the claims that its hosts have written before.
func TestClaimsOfTheFormerFormatAreRead(t *testing.T) {
	value, err := cbor.Marshal(formerValue{Epoch: 7, Total: 900})
	require.NoError(t, err)
	c, h, err := Decode("acme/h1", value)
	require.NoError(t, err)
	require.Nil(t, h)
	require.Equal(t, Claim{Budget: "acme", Host: "h1", Epoch: 7, Total: 900}, *c)
	c, h, err = Decode("/h1", value)
	require.NoError(t, err)
	require.Nil(t, c)
	require.Equal(t, HostRecord{Host: "h1", Epoch: 7, Closed: true}, *h)

	table := NewClaimTable()
	table.Put(Claim{Budget: "acme", Host: "h1", Epoch: 7, Total: 900})
	table.PutHost(*h)
	require.False(t, table.Crashed("h1"))
	require.Equal(t, uint64(7), table.Epoch("h1"))
}

// A claim that this build can't read, of a later build, may be of any amount: nothing more of its
// budget is spendable until a claim that can be read replaces it. Other budgets are as before.
func TestNothingIsSpendableBesideAnUnreadableClaim(t *testing.T) {
	const prepaid = 100
	table := NewClaimTable()
	require.True(t, table.Put(Claim{Budget: "acme", Host: "h1", Epoch: 1, Seq: 1, Total: 40}))
	require.Equal(t, record.Tokens(40), table.Spendable("acme", 40, prepaid))

	later := []byte{0x84, 1, 0x18, 90, 2, 0} // an array of four numbers
	_, _, err := Decode("acme/h2", later)
	require.Error(t, err)
	table.PutUnreadable("acme/h2")
	require.Zero(t, table.Spendable("acme", 40, prepaid))
	require.Equal(t, record.Tokens(40), table.Spendable("other", 40, prepaid))

	require.True(t, table.Put(Claim{Budget: "acme", Host: "h2", Epoch: 1, Seq: 3, Total: 10}))
	require.Equal(t, record.Tokens(40), table.Spendable("acme", 40, prepaid))
	table.PutUnreadable("/h2")
	require.Equal(t, record.Tokens(40), table.Spendable("acme", 40, prepaid), "a record of a host has no amount")
}
