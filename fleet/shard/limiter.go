package shard

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// defaultAppendsPerSecond is the part of the log's rate that all shards together
	// may use, in appends per second.
	defaultAppendsPerSecond = 250
	// appendBurstSeconds is the burst size in seconds of the shard's rate, but at least
	// minAppendBurst appends.
	appendBurstSeconds = 2
	minAppendBurst     = 4
)

// appendLimiter limits the appends of one shard to its equal part of the log's rate, so
// that all owners together stay within it without communication. Operations that arrive
// while a batch waits for the limiter join the batch.
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

// wait waits until the shard may append.
func (l *appendLimiter) wait(ctx context.Context) error {
	perShard := l.total / float64(max(1, l.shards()))
	l.limiter.SetLimit(rate.Limit(perShard))
	l.limiter.SetBurst(max(minAppendBurst, int(appendBurstSeconds*perShard)))
	return l.limiter.Wait(ctx)
}
