package grants

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

// ErrClosed is returned for requests after Close has begun.
var ErrClosed = errors.New("grants: closed")

// ErrNoSettings is returned before the first settings are known.
var ErrNoSettings = errors.New("grants: no settings yet")

// Submitter sends operations to shard owners. *shard.Service implements it.
type Submitter interface {
	Request(ctx context.Context, id record.ShardID, ops []record.Op) (shard.Reply, error)
}

// Options configures a Bank. Self, Submitter and Settings are required.
type Options struct {
	Self      record.Holder
	Submitter Submitter
	Settings  settings.Source
	Logger    logr.Logger
	Metrics   metrics.Registry
	// Rand returns a random number from 0 to 1 for jitter.
	Rand func() float64
	// MinFlush and MaxFlush bound the time for which settlements are batched
	// before they are reported.
	MinFlush time.Duration
	MaxFlush time.Duration
	// SubmitTimeout is the deadline of one submission; it is then retried.
	SubmitTimeout time.Duration
	// RateWindow is the time constant of the decaying spend rate.
	RateWindow time.Duration
}

const (
	defaultMinFlush      = 200 * time.Millisecond
	defaultMaxFlush      = time.Second
	defaultSubmitTimeout = 5 * time.Second
	defaultRateWindow    = 10 * time.Second
)

// defaultPolicy applies to budgets that the settings don't name.
var defaultPolicy = settings.BudgetPolicy{
	Slice:       5 * time.Second,
	Floor:       1000,
	RecallDelay: 30 * time.Second,
	RefusalWait: time.Second,
}

func (o Options) withDefaults() Options {
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	o.Logger = o.Logger.WithName("bank")
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	o.MinFlush = cmp.Or(o.MinFlush, defaultMinFlush)
	o.MaxFlush = cmp.Or(o.MaxFlush, defaultMaxFlush)
	o.SubmitTimeout = cmp.Or(o.SubmitTimeout, defaultSubmitTimeout)
	o.RateWindow = cmp.Or(o.RateWindow, defaultRateWindow)
	return o
}
