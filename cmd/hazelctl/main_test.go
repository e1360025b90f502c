package main

import (
	"bytes"
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

// The key of an account may come from the environment. Help texts must not print it.
func TestHelpDoesNotPrintTheKey(t *testing.T) {
	t.Setenv("HAZEL_KEY", "key-of-the-account")
	cmd := newEntryCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"--help"})
	require.NoError(t, cmd.Execute())
	require.Contains(t, out.String(), "HAZEL_KEY")
	require.NotContains(t, out.String(), "key-of-the-account")
}
