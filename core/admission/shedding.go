package admission

import "time"

// Arrival describes a request that needs an upstream, for [ShouldShed].
type Arrival struct {
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// Objective is the latency objective: the time to the start of the answer within
	// which the answer is of full use. Remaining is the time until the caller leaves.
	// Zero means no bound.
	Objective time.Duration
	Remaining time.Duration
	// ShareFactor is the part of the usual wait that the request's account has, because it has
	// used more than its share of the service. Zero means the whole.
	ShareFactor float64
	// Whole is true if the objective is for the whole answer, which comes at its end. Such a
	// request may wait for as long as its answer is in time.
	Whole bool
	// Retried is true if the caller retries after its request was shed.
	Retried bool
	// Delay is the time for which this host would hold the request until the upstream's
	// limit allows it. Wait is the time from then until the best upstream would start on
	// the request. Read is the time from then to the start of the answer.
	Delay time.Duration
	Wait  time.Duration
	Read  time.Duration
	// Generate is the time from the start to the end of the answer.
	Generate time.Duration
}

const (
	// waitShare is the share of its objective that a request of rank 0 may wait. Each
	// further rank may wait rankStep less, so that less urgent requests are shed
	// first. The rest of the objective is for reading the prompt and for errors of
	// the estimate.
	waitShare = 0.5
	rankStep  = 0.1
	// minWaitShare is the minimum for all ranks.
	minWaitShare = 0.2
	// retriedShare is added for callers that retry, so that they go before new
	// callers of their rank. Most callers that are shed twice don't retry again.
	retriedShare = 0.2
	// retriedWaitShare is the share of its remaining time that a retry may wait.
	retriedWaitShare = 0.25
	// minRetryAfter is the shortest time after which a retry is of use.
	// defaultRetryAfter is for callers whose remaining time is not known.
	minRetryAfter     = 50 * time.Millisecond
	defaultRetryAfter = time.Second
	// maxRetryAfterShare is the latest retry, as a share of the remaining time.
	// Callers wait no longer than that. Most bursts are over by then, and enough
	// time is left for the answer.
	// minRetryAfterFactor is the earliest retry, as a share of the latest one; the
	// range between them spreads the retries.
	maxRetryAfterShare  = 1.0 / 3
	minRetryAfterFactor = 0.5
)

// Urgency returns the urgency of a request among all that wait at an upstream; 0 is the most urgent.
// A retry goes behind the new requests of its rank: its objective, which counts from the first
// attempt, is mostly over, and theirs is not.
func Urgency(rank int, retried bool) int {
	if retried {
		return 2*rank + 1
	}
	return 2 * rank
}

// maxDelay bounds the delay of requests without an objective or a timeout.
const maxDelay = 2 * time.Second

const (
	// outageMinShare and outageMaxShare bound the retry after an outage of the log, as
	// shares of the remaining time. Outages last for seconds, so that an early retry
	// fails again. Callers wait for at most a third of their remaining time. The
	// range spreads the retries.
	outageMinShare = 0.25
	outageMaxShare = 1.0 / 3
)

// RetryAfterOutage returns the time after which a caller should retry that is refused
// because the log is unreachable. Most callers retry once, and a retry early in an
// outage fails again. remaining is the time until the caller leaves, or zero if it is
// not known. random is a random number in [0, 1) that spreads the retries.
func RetryAfterOutage(remaining time.Duration, random float64) time.Duration {
	if remaining <= 0 {
		return defaultRetryAfter
	}
	share := outageMinShare + (outageMaxShare-outageMinShare)*random
	return max(minRetryAfter, time.Duration(share*float64(remaining)))
}

// ShouldShed reports whether to shed a request, and the time after which the caller
// should retry. random is a random number in [0, 1) that spreads the retries. Requests
// without an objective are not shed, unless this host would hold them for long.
//
// Shedding keeps answers in time when all upstreams are overloaded. Requests that
// would start too late take time from those that could still start in time, so that
// no request is in time. A request that can start in time is admitted at any load.
func ShouldShed(a Arrival, random float64) (shed bool, retryAfter time.Duration) {
	if a.startsInTime() && a.finishesInTime() {
		return false, 0
	}
	return true, RetryAfterShed(a.Remaining, random)
}

// RetryAfterShed returns the time after which a caller should retry whose request is shed. remaining is
// the time until the caller leaves, or zero if it is not known. random is a random number in [0, 1)
// that spreads the retries.
func RetryAfterShed(remaining time.Duration, random float64) time.Duration {
	maxRetryAfter := defaultRetryAfter
	if remaining > 0 {
		maxRetryAfter = time.Duration(maxRetryAfterShare * float64(remaining))
	}
	factor := minRetryAfterFactor + (1-minRetryAfterFactor)*random
	return max(minRetryAfter, time.Duration(factor*float64(maxRetryAfter)))
}

// startsInTime reports whether the request waits no longer than its objective allows.
func (a *Arrival) startsInTime() bool {
	if a.Objective <= 0 {
		return a.Delay <= maxDelay
	}
	share := max(minWaitShare, waitShare-rankStep*float64(a.Rank))
	if a.Whole {
		share = max(minWaitShare, 1-rankStep*float64(a.Rank)-a.Read.Seconds()/a.Objective.Seconds())
	}
	if a.Retried {
		share += retriedShare
	}
	limit := time.Duration(share * float64(a.Objective))
	if a.Retried {
		limit = max(limit, time.Duration(retriedWaitShare*float64(a.Remaining)))
	}
	if a.ShareFactor > 0 {
		limit = time.Duration(a.ShareFactor * float64(limit))
	}
	return a.Delay+a.Wait <= limit
}

// finishesInTime reports whether the answer would end before the caller leaves. Without a
// delay, a request without an objective is sent in any case.
func (a *Arrival) finishesInTime() bool {
	if a.Remaining <= 0 || a.Objective <= 0 && a.Delay == 0 {
		return true
	}
	return a.Delay+a.Wait+a.Read+a.Generate <= a.Remaining
}
