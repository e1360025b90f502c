package admission

import "time"

// Arrival is a request that asks for an upstream under load.
type Arrival struct {
	// Rank is its urgency; 0 is the most urgent.
	Rank int
	// Objective is the time to the begin of the answer within which it is of full
	// use, and Left the time until the caller leaves; zero means no bound.
	Objective time.Duration
	Remaining      time.Duration
	// Retried is true if the caller was turned away before.
	Retried bool
	// Wait is the time until the best upstream would begin with it, Read the time
	// that it then takes to begin the answer.
	Wait time.Duration
	Read time.Duration
	// Generate is the time that it then takes to end the answer.
	Generate time.Duration
}

const (
	// waitShare is the part of its objective that a request of the first rank may
	// wait, and rankStep what each further rank may wait less: so the less urgent
	// are turned away first. The rest of the objective is for reading the prompt
	// and for what the estimate misses.
	waitShare = 0.5
	rankStep  = 0.1
	// minWaitShare is left to the last rank.
	minWaitShare = 0.2
	// retriedShare is added for callers that come back: they go before new ones
	// of their kind. Turned away twice, most don't come again.
	retriedShare = 0.2
	// minRetryAfter is the least time after which coming back is of use, and
	// usualReturn that of callers whose patience is not known.
	minRetryAfter   = 50 * time.Millisecond
	defaultRetryAfter = time.Second
	// maxRetryAfterShare is the part of the time left after which callers come back at the
	// latest, which is the longest that they wait: most bursts are over by then,
	// and enough time is left for the answer.
	// firstReturn is the part of that at the earliest: returns are spread.
	maxRetryAfterShare   = 1.0 / 3
	minRetryAfterFactor = 0.5
)

const (
	// outageMinShare and outageLatest are the parts of the time left between which
	// callers come back that an outage of the log has turned away. Outages last
	// for seconds, so that an early return is in vain; callers wait for a third of
	// the time they have left at most. The returns are spread.
	outageMinShare  = 0.25
	outageMaxShare = 1.0 / 3
)

// RetryAfterOutage returns when callers come back that are refused since the log
// is out of reach. Most come back once: early in an outage that is in vain. Left is
// the time until the caller leaves, or zero, and draw a random number from 0 up
// to 1.
func RetryAfterOutage(remaining time.Duration, random float64) time.Duration {
	if remaining <= 0 {
		return defaultRetryAfter
	}
	share := outageMinShare + (outageMaxShare-outageMinShare)*random
	return max(minRetryAfter, time.Duration(share*float64(remaining)))
}

// ShouldShed decides whether a request is turned away, and after which time it is to
// come back. Draw is a random number from 0 up to 1. Without an objective nothing is
// turned away.
//
// It answers the load at which all upstreams have more to read than they can: what
// would begin too late takes time from what could still be in time, so that
// nothing is in time. What can be begun in time is taken at any load.
func ShouldShed(a Arrival, random float64) (shed bool, retryAfter time.Duration) {
	if a.Objective <= 0 {
		return false, 0
	}
	share := max(minWaitShare, waitShare-rankStep*float64(a.Rank))
	if a.Retried {
		share += retriedShare
	}
	maxWait := time.Duration(share * float64(a.Objective))
	finishes := a.Remaining <= 0 || a.Wait+a.Read+a.Generate <= a.Remaining
	if a.Wait <= maxWait && finishes {
		return false, 0
	}
	maxRetryAfter := defaultRetryAfter
	if a.Remaining > 0 {
		maxRetryAfter = time.Duration(maxRetryAfterShare * float64(a.Remaining))
	}
	factor := minRetryAfterFactor + (1-minRetryAfterFactor)*random
	return true, max(minRetryAfter, time.Duration(factor*float64(maxRetryAfter)))
}
