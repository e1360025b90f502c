package escrow

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

// TestInvalidAmountsHaveNoEffect guards against tokens that an amount below zero, as an overflow
// leaves it, creates or destroys.
func TestInvalidAmountsHaveNoEffect(t *testing.T) {
	for _, amount := range []record.Tokens{-1, math.MinInt64, math.MinInt64 + 9189, record.MaxTokens + 1, math.MaxInt64} {
		var a Allocation
		a.Add(1000)
		require.False(t, a.Reserve(amount), amount)
		require.Equal(t, record.Tokens(1000), a.Free)
		if amount < 0 {
			a.Add(amount)
			a.Remove(amount)
		}
		require.True(t, a.Reserve(400))
		a.Settle(400, min(amount, 0))
		require.Equal(t, record.Tokens(1000), a.Free)
		require.Zero(t, a.Reserved)
		require.Zero(t, a.Difference())
	}
}

// TestClaimOutOfRangeLeavesNothing guards against a total in the log that no run can have reached, as
// an earlier build wrote it, and that makes the sum of all claims small or negative.
func TestClaimOutOfRangeLeavesNothing(t *testing.T) {
	for _, total := range []record.Tokens{math.MinInt64, math.MinInt64 / 2, math.MaxInt64, record.MaxTokens + 1} {
		claims := NewClaimTable()
		claims.Put(Claim{Budget: "acme", Host: "h1", Epoch: 1, Total: 500})
		value, err := cbor.Marshal(claimValue{Epoch: 1, Total: total})
		require.NoError(t, err)
		c, _, err := Decode("acme/h2", value)
		require.NoError(t, err)
		require.True(t, claims.Put(*c))
		require.Greater(t, claims.Claimed("acme"), record.Tokens(60_000), total)
		require.Zero(t, claims.Spendable("acme", 1000, 60_000))
	}
}

// TestMissedErasDoNotOverflow guards against a number of eras, from another host's record, with which
// the amount that is kept back becomes negative.
func TestMissedErasDoNotOverflow(t *testing.T) {
	for _, missed := range []uint64{1, 1 << 20, 1 << 62, math.MaxUint64} {
		claims := NewClaimTable()
		claims.PutHost(HostRecord{Host: "h1", Epoch: 1, Missed: missed, Closed: true})
		require.GreaterOrEqual(t, claims.Unconfirmed(60_000), record.Tokens(60_000), missed)
	}
}

// FuzzAllocation applies any operations with any amounts. Nothing free or reserved becomes negative,
// no more can be spent than was added, and nothing gets lost. A claim stays within what is left.
func FuzzAllocation(f *testing.F) {
	op := func(kind byte, amount int64) []byte {
		return binary.LittleEndian.AppendUint64([]byte{kind}, uint64(amount))
	}
	f.Add(append(op(0, 60_000), append(op(1, math.MinInt64+9189), op(2, 0)...)...))
	f.Add(append(op(0, 1000), append(op(1, 900), op(2, -5)...)...))
	f.Add(append(op(3, math.MaxInt64), op(4, -1)...))
	f.Fuzz(func(t *testing.T, ops []byte) {
		const prepaid = 60_000
		var a Allocation
		var reserved []record.Tokens
		added, spent, now := record.Tokens(0), record.Tokens(0), time.Unix(0, 0)
		for ; len(ops) >= 9; ops = ops[9:] {
			amount := record.Tokens(binary.LittleEndian.Uint64(ops[1:9]))
			switch ops[0] % 5 {
			case 0:
				// At most what is prepaid is claimed, by any host.
				amount = min(amount, prepaid-added)
				a.Add(amount)
				added += max(0, amount)
			case 1:
				if a.Reserve(amount) {
					reserved = append(reserved, amount)
				}
			case 2:
				if len(reserved) > 0 {
					a.Settle(reserved[0], amount)
					spent += min(max(0, amount), reserved[0])
					reserved = reserved[1:]
				}
			case 3:
				a.Remove(min(amount, a.Free))
			case 4:
				now = now.Add(time.Second)
				a.UpdateRate(now)
				claim := a.ClaimAmount(DefaultPolicy(), prepaid, prepaid-added, amount.Limited(), 1)
				require.True(t, claim >= 0 && claim <= prepaid-added, "claim of %d with %d left", claim, prepaid-added)
			}
			require.GreaterOrEqual(t, a.Free, record.Tokens(0))
			require.GreaterOrEqual(t, a.Reserved, record.Tokens(0))
			require.LessOrEqual(t, spent+a.Free+a.Reserved, added)
			require.Zero(t, a.Difference())
		}
	})
}
