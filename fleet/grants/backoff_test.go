package grants

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

// failingSubmitter fails at once, as when the log and all owners are
// unreachable. It stops the manager after limit calls, so that a busy loop ends.
type failingSubmitter struct {
	calls int
	limit int
	stop  func()
}

func (f *failingSubmitter) Request(context.Context, record.ShardID, []record.Op) (shard.Reply, error) {
	f.calls++
	if f.calls >= f.limit {
		f.stop()
	}
	return shard.Reply{}, shard.ErrLogUnavailable
}

func TestGrantRequestsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := &settings.Resolved{Shards: 1, Budgets: []settings.Budget{{ID: "f/b", Firm: "f"}}}
		set.Index()
		sub := &failingSubmitter{limit: 1000}
		b := New(Options{Self: record.Holder{Host: "h", Incarnation: 1}, Submitter: sub, Settings: &fixedSettings{current: set}})
		sub.stop = b.stop
		_, err := b.Reserve(t.Context(), "f/b", 1, 10, 10*time.Second)
		require.Error(t, err)
		b.stop()
		synctest.Wait()
		// The backoff grows to one second: about 15 calls in ten seconds.
		require.Less(t, sub.calls, 30)
	})
}
