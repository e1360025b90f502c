package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two soaks that run side by side have addresses of their own, whatever their process IDs are.
func TestSoaksSideBySideHaveAddressesOfTheirOwn(t *testing.T) {
	var one, other testbed
	first, err := one.listenStore()
	require.NoError(t, err)
	defer func() { _ = first.Close() }()
	second, err := other.listenStore()
	require.NoError(t, err)
	defer func() { _ = second.Close() }()
	require.NotEqual(t, one.netOctet, other.netOctet)
}
