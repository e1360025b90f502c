package bank

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// account is this host's dealings with one shard: grant requests and reports,
// each one at a time. Fields are guarded by the bank's mutex.
type account struct {
	bank     *Manager
	id       record.ShardID
	holdings []*holding

	ask           *ask
	askAt         time.Time
	grantSeq      uint64
	grantFailures int
	unreachable   bool
	grantSignal   chan struct{}

	// draft collects the next report, sent is the one under way.
	draft        record.Report
	draftDone    chan struct{} // closed once draft has been read back
	draftUrgent  bool
	sent         record.Report
	outcomes     []record.Op
	reportSignal chan struct{}
	lastSubmit   time.Duration
	finished     bool // the closing report has been read back
}

func newAccount(b *Manager, id record.ShardID) *account {
	return &account{
		bank:         b,
		id:           id,
		grantSignal:  make(chan struct{}, 1),
		reportSignal: make(chan struct{}, 1),
		draft:        record.Report{Seq: 1},
		draftDone:    make(chan struct{}),
	}
}

// wake makes the grant loop look again.
func (a *account) wake() { notify(a.grantSignal) }

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sleep waits for a signal, at most for limit if it is positive. It returns
// false when the bank stops.
func (a *account) sleep(signal <-chan struct{}, limit time.Duration) bool {
	var due <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-signal:
	case <-due:
	case <-a.bank.ctx.Done():
		return false
	}
	return true
}
