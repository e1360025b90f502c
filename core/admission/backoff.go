package admission

import (
	"errors"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
)

// Backoff computes the delay before the retry of a failed call. Without it, the
// retries of many hosts could keep a limit exceeded that they share.
type Backoff struct {
	// Initial is the mean delay after a failure. It doubles with each further call in
	// a row that was throttled, up to Max. Other failures do not lengthen the delay,
	// so that the end of an outage is noticed soon.
	Initial, Max time.Duration
}

// jitter is the largest deviation of a delay from its mean, as a share of the mean.
const jitter = 0.5

// Delay returns the delay after a number of failures in a row, of which only throttled
// calls count beyond the first. random is a random number in [0, 1) for the jitter.
func (b Backoff) Delay(failures int, random float64) time.Duration {
	mean := b.Initial
	for range failures - 1 {
		if mean *= 2; mean >= b.Max {
			break
		}
	}
	mean = min(mean, b.Max)
	return time.Duration(float64(mean) * (1 - jitter + 2*jitter*random))
}

// CountThrottled returns the number of calls in a row that were throttled: previous
// plus one if err is [platform.ErrThrottled], else 0. previous is the number before
// the call, and err the call's error.
func CountThrottled(previous int, err error) int {
	if errors.Is(err, platform.ErrThrottled) {
		return previous + 1
	}
	return 0
}

// PauseFactor returns the factor, at least 1, by which a host lengthens the pauses
// between calls that can wait. hosts is the number of hosts that share a limit on
// calls, and fullRateHosts the number that the limit allows at the usual rate.
func PauseFactor(hosts, fullRateHosts int) float64 {
	return max(1, float64(hosts)/float64(fullRateHosts))
}
