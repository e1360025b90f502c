package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommandNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, c := range newRoot().Commands() {
		require.False(t, seen[c.Name()], "%s is registered twice", c.Name())
		seen[c.Name()] = true
	}
	require.Contains(t, seen, "placement")
	require.Contains(t, seen, "drain")
}
