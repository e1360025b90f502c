package grants

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// shardClient sends grant requests and reports to one shard, with at most one of
// each in flight. All fields are guarded by the manager's mutex.
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

	// draft is the next report, to which entries are still added; sent is the
	// report in flight, or the last one.
	draft              record.Report
	draftDone          chan struct{} // closed once draft has been read back
	draftUrgent        bool
	sent               record.Report
	outcomes           []record.Op
	reportSignal       chan struct{}
	lastReportDuration time.Duration
	finished           bool // the closing report has been read back
}

func newShardClient(m *Manager, id record.ShardID) *shardClient {
	return &shardClient{
		manager:      m,
		id:           id,
		grantSignal:  make(chan struct{}, 1),
		reportSignal: make(chan struct{}, 1),
		draft:        record.Report{Seq: 1},
		draftDone:    make(chan struct{}),
	}
}

// wake makes the grant loop check for a needed grant.
func (c *shardClient) wake() { notify(c.grantSignal) }

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// waitForSignal waits for a signal, at most for limit if it is positive. It
// returns false when the manager stops.
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
