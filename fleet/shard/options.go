package shard

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/member"
)

// Returner gives back the unused grants of this host.
type Returner interface {
	// GiveBack returns the unused grant of a budget and waits until the return
	// has been read back from the log. It returns the amount given back.
	GiveBack(ctx context.Context, budget record.BudgetID) (record.Tokens, error)
}

// Options configure a [Service]. Self, Log, View and Shards are required; a zero value
// of another field means its default.
type Options struct {
	Self record.Holder
	Log  platform.Log
	View member.View
	// Shards returns the number of shards, zero while it is unknown.
	Shards  func() uint32
	Logger  logr.Logger
	Metrics metrics.Registry
	// Rand returns a random number in [0, 1) for jitter.
	Rand func() float64

	// PollWait is the maximum duration of one long poll of a shard stream.
	PollWait time.Duration
	// ReadLimit is the maximum number of records in one read.
	ReadLimit int
	// MaxBatchOps and MaxBatchBytes limit the operations and the size of one batch. A
	// single larger submission is sent as its own batch.
	MaxBatchOps   int
	MaxBatchBytes int
	// ReportDelay is the time by which the owner delays a batch that has only reports
	// and outcomes, so that those of several holders share a record.
	ReportDelay time.Duration
	// AppendsPerSecond is the limit on the appends of all shards together.
	AppendsPerSecond float64
	// AppendTimeout is the timeout of one append.
	AppendTimeout time.Duration
	// ReadBackWait is the maximum time until an appended record is read back.
	ReadBackWait time.Duration
	// PeerTimeout is the timeout of one call to another host.
	PeerTimeout time.Duration
	// LoadWait is the maximum time for which a submission waits for its shard to be
	// loaded.
	LoadWait time.Duration
	// RecallWait is the maximum time for which a recall waits for a holder to give back
	// unused grants.
	RecallWait time.Duration
	// TakeoverWait is the maximum random delay after a call to an unreachable owner,
	// before this host tries the next host or takes the shard over.
	TakeoverWait time.Duration
	// AvoidTime is the time for which an unreachable owner is not called again, and for
	// which another host's answer about the owner is used.
	AvoidTime time.Duration
	// SnapshotRecords and SnapshotInterval are the number of records and the time after
	// which the owner writes a new snapshot. The interval must be much shorter than
	// the log's retention.
	SnapshotRecords  int
	SnapshotInterval time.Duration
	// IdleTime is the time after the last use for which a shard that another host owns
	// stays followed.
	IdleTime time.Duration
}

// Default options.
const (
	defaultPollWait         = 2 * time.Second
	defaultReadLimit        = 512
	defaultMaxBatchOps      = 2000
	defaultMaxBatchBytes    = 256 << 10
	defaultReportDelay      = 100 * time.Millisecond
	defaultAppendTimeout    = 2 * time.Second
	defaultReadBackWait     = 2 * time.Second
	defaultLoadWait         = time.Second
	defaultRecallWait       = 300 * time.Millisecond
	defaultPeerTimeout      = 3 * time.Second
	defaultTakeoverWait     = 200 * time.Millisecond
	defaultAvoidTime        = 5 * time.Second
	defaultSnapshotRecords  = 2000
	defaultSnapshotInterval = 10 * time.Minute
	defaultIdleTime         = 5 * time.Minute
)

func (o Options) withDefaults() Options {
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	o.Logger = o.Logger.WithName("shard")
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.AppendsPerSecond <= 0 {
		o.AppendsPerSecond = defaultAppendsPerSecond
	}
	o.PollWait = cmp.Or(o.PollWait, defaultPollWait)
	o.ReadLimit = cmp.Or(o.ReadLimit, defaultReadLimit)
	o.MaxBatchOps = cmp.Or(o.MaxBatchOps, defaultMaxBatchOps)
	o.MaxBatchBytes = cmp.Or(o.MaxBatchBytes, defaultMaxBatchBytes)
	o.ReportDelay = cmp.Or(o.ReportDelay, defaultReportDelay)
	o.AppendTimeout = cmp.Or(o.AppendTimeout, defaultAppendTimeout)
	o.ReadBackWait = cmp.Or(o.ReadBackWait, defaultReadBackWait)
	o.LoadWait = cmp.Or(o.LoadWait, defaultLoadWait)
	o.RecallWait = cmp.Or(o.RecallWait, defaultRecallWait)
	o.PeerTimeout = cmp.Or(o.PeerTimeout, defaultPeerTimeout)
	o.TakeoverWait = cmp.Or(o.TakeoverWait, defaultTakeoverWait)
	o.AvoidTime = cmp.Or(o.AvoidTime, defaultAvoidTime)
	o.SnapshotRecords = cmp.Or(o.SnapshotRecords, defaultSnapshotRecords)
	o.SnapshotInterval = cmp.Or(o.SnapshotInterval, defaultSnapshotInterval)
	o.IdleTime = cmp.Or(o.IdleTime, defaultIdleTime)
	return o
}
