package admission

import (
	"errors"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
)

// Backoff spaces calls that fail, so that a limit that many hosts share is not kept
// exceeded by their repeats.
type Backoff struct {
	// Initial is the mean pause after a failure; it doubles with each further one in a
	// row that the limit refused, up to Max. Other failures are no reason to wait
	// longer: the end of an outage is to be noticed soon.
	Initial, Max time.Duration
}

// jitter is the part of the mean by which a pause is longer or shorter.
const jitter = 0.5

// Delay returns the pause after a number of failures in a row, given a random number
// from 0 up to 1.
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

// CountThrottled returns the number of calls in a row that a limit refused, given that
// before a call and the call's error.
func CountThrottled(previous int, err error) int {
	if errors.Is(err, platform.ErrThrottled) {
		return previous + 1
	}
	return 0
}

// PauseFactor returns how much longer a host pauses between calls of a kind that can wait,
// given the number of hosts that share the limit on calls and the number that can
// call at the usual pace.
func PauseFactor(hosts, fullRateHosts int) float64 { return max(1, float64(hosts)/float64(fullRateHosts)) }
