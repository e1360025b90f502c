package record_test

import (
	"math"
	"math/big"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelworks/hazelworks/core/record"
)

// limited returns an exact result as an amount.
func limited(n *big.Int) record.Tokens {
	limit := big.NewInt(int64(record.MaxTokens))
	switch {
	case n.Cmp(limit) > 0:
		return record.MaxTokens
	case n.Cmp(new(big.Int).Neg(limit)) < 0:
		return -record.MaxTokens
	}
	return record.Tokens(n.Int64())
}

// amounts draws any amounts, most of them near a bound.
func amounts() *rapid.Generator[record.Tokens] {
	edges := []record.Tokens{0, 1, -1, 900, record.MaxTokens - 1, record.MaxTokens, record.MaxTokens + 1, -record.MaxTokens - 1, math.MaxInt64, math.MinInt64}
	return rapid.OneOf(rapid.SampledFrom(edges), rapid.Custom(func(t *rapid.T) record.Tokens { return record.Tokens(rapid.Int64().Draw(t, "any")) }))
}

// TestAmountsDoNotOverflow guards against a sum or a product that changes its sign, and compares
// each with exact arithmetic.
func TestAmountsDoNotOverflow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, n := amounts().Draw(t, "a"), amounts().Draw(t, "b"), rapid.Uint64().Draw(t, "n")
		exactA, exactB := big.NewInt(int64(a.Limited())), big.NewInt(int64(b.Limited()))
		require.Equal(t, limited(new(big.Int).Add(exactA, exactB)), a.Plus(b))
		product := new(big.Int).Mul(big.NewInt(int64(max(0, a))), new(big.Int).SetUint64(n))
		require.Equal(t, limited(product), a.Times(n))
		require.Equal(t, a.Limited(), record.TokensOf(float64(a.Limited())))
	})
}

func TestNumbersThatAreNoAmounts(t *testing.T) {
	for n, want := range map[float64]record.Tokens{
		1e300: record.MaxTokens, math.Inf(1): record.MaxTokens, -1e300: -record.MaxTokens, math.Inf(-1): -record.MaxTokens,
		12.9: 12, -0.5: 0, float64(math.MaxInt64): record.MaxTokens,
	} {
		require.Equal(t, want, record.TokensOf(n), n)
	}
	require.Zero(t, record.TokensOf(math.NaN()))
}
