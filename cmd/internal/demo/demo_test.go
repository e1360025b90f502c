package demo

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

func TestOnceSettlesModelAndPlainRequests(t *testing.T) {
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, Run(ctx, Options{Hosts: 3, Once: true, Out: &out, Logger: logr.Discard()}))
	require.Contains(t, out.String(), "settled 22, as expected")
}
