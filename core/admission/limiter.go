package admission

import "time"

// LimiterConfig tunes a [Limiter].
type LimiterConfig struct {
	// Initial is the limit to start from; Max bounds it.
	Initial int
	Max     int
	// Tolerance is the ratio of the recent delay to the usual one above which
	// the limit falls.
	Tolerance float64
}

// Constants of the limiter.
const (
	defaultTolerance = 2.0
	decreaseFactor  = 0.85
	// Weights of the newest delay in the recent and in the usual mean. Delays
	// differ widely with the length of prompts, so a single one says little.
	recentWeight = 0.1
	baselineWeight  = 0.005
	// warmUpSamples is the number of delays before the limit falls by them.
	warmUpSamples = 20
	// minUtilisation is the used share of the limit below which it does not grow.
	minUtilisation = 0.8
)

// Limiter adapts the number of requests in flight at one upstream: additive
// increase while the recent delay stays near the usual one, multiplicative
// decrease when it rises above that or the upstream says that it is overloaded.
type Limiter struct {
	cfg   LimiterConfig
	limit float64

	// Moving means of the delay, in nanoseconds.
	recent float64
	baseline  float64
	samples   int
	decreasedAt  time.Time
}

// NewLimiter returns a limiter.
func NewLimiter(cfg LimiterConfig) *Limiter {
	cfg.Initial = max(1, cfg.Initial)
	cfg.Max = max(cfg.Initial, cfg.Max)
	if cfg.Tolerance <= 1 {
		cfg.Tolerance = defaultTolerance
	}
	return &Limiter{cfg: cfg, limit: float64(cfg.Initial)}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	return max(1, int(l.limit))
}

// Observe takes in the delay of a request, from sending to the first byte of
// its answer, with the number in flight when it ended.
func (l *Limiter) Observe(delay time.Duration, inFlight int, now time.Time) {
	if delay <= 0 {
		return
	}
	l.updateMeans(float64(delay))
	if l.samples >= warmUpSamples && l.recent > l.cfg.Tolerance*l.baseline {
		l.decrease(now)
		return
	}
	if float64(inFlight) >= minUtilisation*float64(l.Limit()) {
		l.limit = min(l.limit+1/l.limit, float64(l.cfg.Max))
	}
}

// updateMeans updates the means. The usual one begins as a plain updateMeans, so that the
// first delays do not weigh for long.
func (l *Limiter) updateMeans(delay float64) {
	l.samples++
	weight := 1 / float64(l.samples)
	l.recent += max(recentWeight, weight) * (delay - l.recent)
	l.baseline += max(baselineWeight, weight) * (delay - l.baseline)
}

// ObserveOverload takes in that the upstream refused a request for lack of capacity
// or holds a queue of its own.
func (l *Limiter) ObserveOverload(now time.Time) {
	l.decrease(now)
}

// decrease lowers the limit at most once in the time that one request takes, since
// the requests in flight still show the delay of the old limit.
func (l *Limiter) decrease(now time.Time) {
	if !l.decreasedAt.IsZero() && now.Sub(l.decreasedAt) < time.Duration(l.recent) {
		return
	}
	l.decreasedAt = now
	l.limit = max(1, l.limit*decreaseFactor)
}
