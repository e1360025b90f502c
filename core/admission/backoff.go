package admission

import (
	"errors"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
)

// Backoff spaces calls that fail, so that a limit that many hosts share is not kept
// exceeded by their repeats.
type Backoff struct {
	// First is the mean pause after a failure; it doubles with each further one in a
	// row that the limit refused, up to Most. Other failures are no reason to wait
	// longer: the end of an outage is to be noticed soon.
	First, Most time.Duration
}

// spread is the part of the mean by which a pause is longer or shorter.
const spread = 0.5

// Pause returns the pause after a number of failures in a row, given a random number
// from 0 up to 1.
func (b Backoff) Pause(failures int, draw float64) time.Duration {
	mean := b.First
	for range failures - 1 {
		if mean *= 2; mean >= b.Most {
			break
		}
	}
	mean = min(mean, b.Most)
	return time.Duration(float64(mean) * (1 - spread + 2*spread*draw))
}

// Throttled returns the number of calls in a row that a limit refused, given that
// before a call and the call's error.
func Throttled(before int, err error) int {
	if errors.Is(err, platform.ErrThrottled) {
		return before + 1
	}
	return 0
}

// Share returns how much longer a host pauses between calls of a kind that can wait,
// given the number of hosts that share the limit on calls and the number that can
// call at the usual pace.
func Share(hosts, unhurried int) float64 { return max(1, float64(hosts)/float64(unhurried)) }
