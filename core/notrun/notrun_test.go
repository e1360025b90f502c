package notrun_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/notrun"
)

// TestNoStatusStatesTooMuch checks all statuses: none that tells the caller that its request has
// not run is left if it may have, and no other one is changed.
func TestNoStatusStatesTooMuch(t *testing.T) {
	promises := []int{408, 421, 429, 503}
	for status := 100; status < 1000; status++ {
		require.Equal(t, status, notrun.Status(status, false))
		want := status
		if slices.Contains(promises, status) {
			want = http.StatusBadGateway
		}
		require.Equal(t, want, notrun.Status(status, true), status)
	}
}
