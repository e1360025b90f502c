package escrow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

// What a host may have claimed beyond its records counts once for each era that it has not
// confirmed, and for good once its run has ended. A host that closed had nothing to lose.
func TestUnconfirmedErasCount(t *testing.T) {
	const prepaid = 1_000_000
	bound := record.Tokens(runsPerCopyAge) * growthLimit(prepaid)
	table := NewClaimTable()
	first := HostRecord{Host: "h1", Epoch: 1, Seq: 1, Era: 4}
	require.Zero(t, HostRecord{Host: "h1"}.NextMissed(4), "nothing ran before")
	table.PutHost(first)
	closed := HostRecord{Host: "h2", Epoch: 1, Seq: 1, Era: 4, Closed: true}
	table.PutHost(closed)
	table.SetEra(4)
	require.Zero(t, table.Unconfirmed(prepaid))
	table.SetEra(6)
	require.Equal(t, 2*bound, table.Unconfirmed(prepaid))

	// The run goes on and writes its claims again.
	table.PutHost(HostRecord{Host: "h1", Epoch: 2, Seq: 1, Era: 6})
	require.Zero(t, table.Unconfirmed(prepaid))
	table.PutHost(first)
	require.Zero(t, table.Unconfirmed(prepaid), "an older record has no effect")

	// Its successor can't know what was lost before it began.
	table.SetEra(7)
	last := table.HostRecord("h1")
	next := HostRecord{Host: "h1", Epoch: 3, Seq: 1, Era: 7, Missed: last.NextMissed(7)}
	table.PutHost(next)
	require.Equal(t, bound, table.Unconfirmed(prepaid))
	next.Seq = 9
	table.PutHost(next)
	require.Equal(t, bound, table.Unconfirmed(prepaid))
}

// A copy of the log may have any total of a claim within its age, so the lowest one decides
// how far the claim may rise.
func TestGrowthIsBoundWithinTheAgeOfACopy(t *testing.T) {
	const prepaid = 1_000_000
	limit := growthLimit(prepaid)
	now := time.Unix(1000, 0)
	var g Growth
	require.Equal(t, limit, g.Allowed(prepaid, now))
	g.Record(100_000, now)
	g.Record(500_000, now.Add(2*time.Second))
	require.Equal(t, 100_000+limit-500_000, g.Allowed(prepaid, now.Add(3*time.Second)))
	g.Record(40_000, now.Add(4*time.Second)) // gives back
	g.Record(600_000, now.Add(5*time.Second))
	require.Equal(t, 40_000+limit-600_000, g.Allowed(prepaid, now.Add(6*time.Second)))
	require.Equal(t, 40_000+limit-600_000, g.Allowed(prepaid, now.Add(14*time.Second)))
	require.Equal(t, limit, g.Allowed(prepaid, now.Add(5*time.Second+maxCopyAge)))
	require.Equal(t, record.Tokens(5000), growthLimit(5000), "a small budget as a whole")
}
