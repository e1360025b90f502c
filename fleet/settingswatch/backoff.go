package settingswatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitter is a source of random numbers that is safe for concurrent use.
type jitter struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// interval returns a random duration from d/2 up to d.
func (j *jitter) interval(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	half := d / 2
	return half + time.Duration(j.rand.Int64N(int64(half)))
}

// shuffle puts n items in random order by calls of swap.
func (j *jitter) shuffle(n int, swap func(i, k int)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rand.Shuffle(n, swap)
}

// backoff is an exponential backoff with jitter, from minBackoff up to maxBackoff.
// Each interval is twice the one before.
type backoff struct {
	jitter *jitter
	next   time.Duration
}

func (b *backoff) reset() {
	b.next = 0
}

// wait sleeps for half to all of the next interval, or until ctx ends.
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
