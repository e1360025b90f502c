package soak

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A cut counts as the fleet's fault unless callers were late to ask for an answer that takes to the
// end, or their own time was over.
func TestPlannedStopMayCutOnlyWhatOutlastsItOrItsCaller(t *testing.T) {
	stop := plannedStop{signalled: time.Now()}
	for _, c := range []struct {
		name      string
		sent, end time.Duration
		err       error
		cut       bool
	}{
		{"whole answer", 2900 * time.Millisecond, 7 * time.Second, nil, false},
		{"sent in time, cut in the last sixth", 2900 * time.Millisecond, 7 * time.Second, io.ErrUnexpectedEOF, false},
		{"sent in time, cut before the last sixth", 2900 * time.Millisecond, 6600 * time.Millisecond, io.ErrUnexpectedEOF, true},
		{"accepted too late", 3100 * time.Millisecond, 7300 * time.Millisecond, io.ErrUnexpectedEOF, true},
		{"caller's timeout", 500 * time.Millisecond, 6500 * time.Millisecond, io.ErrUnexpectedEOF, false},
		{"caller has left", 500 * time.Millisecond, time.Second, context.DeadlineExceeded, false},
	} {
		o := outcome{kind: &lateKind, sentAt: stop.signalled.Add(c.sent), duration: c.end - c.sent, err: c.err}
		require.Equal(t, c.cut, stop.hasCut(&o), c.name)
	}
}
