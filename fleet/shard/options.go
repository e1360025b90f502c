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

// Returner gives back what this host holds of a budget without needing it.
type Returner interface {
	// GiveBack returns the unused grant of a budget and waits until the return
	// has been read back from the log. It returns the amount given back.
	GiveBack(ctx context.Context, budget record.BudgetID) (record.Tokens, error)
}

// Options configures a Service. Self, Log, View and Shards are required.
type Options struct {
	Self record.Holder
	Log  platform.Log
	View member.View
	// Shards returns the number of shards, or zero while it is not known.
	Shards  func() uint32
	Logger  logr.Logger
	Metrics metrics.Registry
	// Rand returns a number from 0 to 1 for jitter.
	Rand func() float64

	// PollWait bounds one long poll of a shard stream.
	PollWait time.Duration
	// ReadLimit bounds the records of one read.
	ReadLimit int
	// MaxBatchOps and MaxBatchBytes bound one batch.
	MaxBatchOps   int
	MaxBatchBytes int
	// ReportDelay is how long the owner holds a batch of reports alone, so that
	// reports of several holders share a record.
	ReportDelay time.Duration
	// AppendsPerSecond is the rate that the log allows all shards together.
	AppendsPerSecond float64
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// ReadBackWait bounds the wait for an appended record to be read back.
	ReadBackWait time.Duration
	// PeerTimeout bounds one call to another host.
	PeerTimeout time.Duration
	// LoadWait bounds the wait of a submission for a shard that is not loaded.
	LoadWait time.Duration
	// RecallWait bounds the wait for holders to give back unused grants.
	RecallWait time.Duration
	// TakeoverWait is the longest random wait before this host takes a shard
	// from an owner that it cannot reach.
	TakeoverWait time.Duration
	// AvoidTime is how long an unreachable owner is not asked again.
	AvoidTime time.Duration
	// SnapshotRecords and SnapshotInterval pace the owner's snapshots. The
	// interval must lie well inside the log's retention.
	SnapshotRecords  int
	SnapshotInterval time.Duration
	// IdleTime is how long a shard that this host does not own stays followed.
	IdleTime time.Duration
}

// Default pacing.
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
