package settingswatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitter is a source of random numbers for concurrent use.
type jitter struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// interval returns a duration from half of d up to d.
func (j *jitter) interval(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	half := d / 2
	return half + time.Duration(j.rand.Int64N(int64(half)))
}

// shuffle reorders n items by calls of swap.
func (j *jitter) shuffle(n int, swap func(i, k int)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rand.Shuffle(n, swap)
}

// backoff spaces retries: each wait is up to twice the one before.
type backoff struct {
	jitter *jitter
	next   time.Duration
}

func (b *backoff) reset() {
	b.next = 0
}

// wait sleeps between half and all of the next interval.
func (b *backoff) wait(ctx context.Context) error {
	b.next = min(max(2*b.next, minBackoff), maxBackoff)
	return sleep(ctx, b.jitter.interval(b.next))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
