package bank

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// shardClient is this host's dealings with one shard: grant requests and reports,
// each one at a time. Fields are guarded by the bank's mutex.
type shardClient struct {
	manager     *Manager
	id          record.ShardID
	allocations []*allocation

	pendingGrant   *grantRequest
	pendingGrantAt time.Time
	grantSeq       uint64
	grantFailures  int
	unreachable    bool
	grantSignal    chan struct{}

	// draft collects the next report, sent is the one under way.
	draft              record.Report
	draftDone          chan struct{} // closed once draft has been read back
	draftUrgent        bool
	sent               record.Report
	outcomes           []record.Op
	reportSignal       chan struct{}
	lastReportDuration time.Duration
	finished           bool // the closing report has been read back
}

func newShardClient(b *Manager, id record.ShardID) *shardClient {
	return &shardClient{
		manager:      b,
		id:           id,
		grantSignal:  make(chan struct{}, 1),
		reportSignal: make(chan struct{}, 1),
		draft:        record.Report{Seq: 1},
		draftDone:    make(chan struct{}),
	}
}

// wake makes the grant loop look again.
func (c *shardClient) wake() { notify(c.grantSignal) }

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// waitForSignal waits for a signal, at most for limit if it is positive. It returns
// false when the bank stops.
func (c *shardClient) waitForSignal(signal <-chan struct{}, limit time.Duration) bool {
	var due <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-signal:
	case <-due:
	case <-c.manager.ctx.Done():
		return false
	}
	return true
}
