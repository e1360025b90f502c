package shard

import "time"

// backoff grows a wait after each failure and shrinks it after each success.
type backoff struct {
	low, high time.Duration
	current   time.Duration
}

// increase returns the next wait.
func (b *backoff) increase() time.Duration {
	b.current = min(b.high, max(b.low, 2*b.current))
	return b.current
}

// decrease shrinks the wait, as after an append that the log took.
func (b *backoff) decrease() {
	b.current -= b.current / 4
	if b.current < b.low {
		b.current = 0
	}
}

// reset forgets earlier failures.
func (b *backoff) reset() { b.current = 0 }
