package grants

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// shardClient sends grant requests and reports to one shard, with at most one grant
// request in flight, and one report, beside which an urgent one may be. All fields are
// guarded by the manager's mutex.
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

	// draft is the next report, to which entries are still added. inFlight are the
	// reports that have not been read back, in order. sends is the number of sends in
	// progress, which may have outcomes only.
	draft              record.Report
	draftDone          chan struct{} // closed once draft has been read back
	draftUrgent        bool
	inFlight           []*sentReport
	sends              int
	outcomes           []record.Op
	reportSignal       chan struct{}
	lastReportDuration time.Duration
}

// sentReport is a report that has not been read back, and what it settles or returns of
// each allocation.
type sentReport struct {
	report  record.Report
	amounts map[*allocation]record.Tokens
	done    chan struct{}
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
