package shard

import "time"

// backoff is a delay that doubles after each failure, from low to high, and shrinks
// after each success.
type backoff struct {
	low, high time.Duration
	current   time.Duration
}

// increase raises the delay after a failure and returns it.
func (b *backoff) increase() time.Duration {
	b.current = min(b.high, max(b.low, 2*b.current))
	return b.current
}

// decrease lowers the delay by a quarter after a success, to zero if it would be less
// than low.
func (b *backoff) decrease() {
	b.current -= b.current / 4
	if b.current < b.low {
		b.current = 0
	}
}

// reset sets the delay to zero.
func (b *backoff) reset() { b.current = 0 }
