package shard

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// defaultAppendsPerSecond is the share of the log's rate that all shards
	// together may use.
	defaultAppendsPerSecond = 250
	// appendBurstSeconds is how many seconds of a shard's rate it may save up.
	appendBurstSeconds = 2
	minAppendBurst     = 4
)

// appendLimiter keeps the appends of one shard within its part of the log's rate,
// so that all owners together stay under it without talking to each other.
// Operations that arrive while a batch waits for its turn join the batch.
type appendLimiter struct {
	total   float64
	shards  func() uint32
	limiter *rate.Limiter
}

func newAppendLimiter(total float64, shards func() uint32) *appendLimiter {
	return &appendLimiter{
		total:   total,
		shards:  shards,
		limiter: rate.NewLimiter(rate.Limit(total), minAppendBurst),
	}
}

// wait waits for the shard's turn.
func (l *appendLimiter) wait(ctx context.Context) error {
	perShard := l.total / float64(max(1, l.shards()))
	l.limiter.SetLimit(rate.Limit(perShard))
	l.limiter.SetBurst(max(minAppendBurst, int(appendBurstSeconds*perShard)))
	return l.limiter.Wait(ctx)
}
