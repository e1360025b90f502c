package admission

import "time"

// LimiterConfig configures a [Limiter].
type LimiterConfig struct {
	// Initial is the limit to start from; Max bounds it.
	Initial int
	Max     int
	// Tolerance is the ratio of the recent delay to the baseline above which the
	// limit falls. Values up to 1 select the default.
	Tolerance float64
}

const (
	defaultTolerance = 2.0
	decreaseFactor   = 0.85
	// Weights of the newest delay in the recent mean and in the baseline. They are
	// low because delays vary widely with the length of prompts, so a single delay
	// says little.
	recentWeight   = 0.1
	baselineWeight = 0.005
	// warmUpSamples is the number of delays to observe before they can lower the limit.
	warmUpSamples = 20
	// minUtilisation is the share of the limit that must be in use for it to grow.
	minUtilisation = 0.8
)

// Limiter adapts the limit of requests in flight at one upstream. The limit
// increases additively while the recent delay stays near the baseline. It decreases
// multiplicatively when the delay rises above that or the upstream reports overload.
type Limiter struct {
	cfg   LimiterConfig
	limit float64

	// recent and baseline are moving means of the delay, in nanoseconds.
	recent      float64
	baseline    float64
	samples     int
	decreasedAt time.Time
}

// NewLimiter returns a limiter. An initial limit below 1 becomes 1, and a maximum
// below the initial limit is raised to it.
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

// Observe records the delay of a request, from sending it to the first byte of its
// answer, and the number in flight when it ended.
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

// updateMeans adds a delay to both means. Both begin as plain means, so that
// the first delays do not dominate for long.
func (l *Limiter) updateMeans(delay float64) {
	l.samples++
	weight := 1 / float64(l.samples)
	l.recent += max(recentWeight, weight) * (delay - l.recent)
	l.baseline += max(baselineWeight, weight) * (delay - l.baseline)
}

// ObserveOverload lowers the limit because the upstream refused a request for lack
// of capacity or has a queue of its own.
func (l *Limiter) ObserveOverload(now time.Time) {
	l.decrease(now)
}

// decrease lowers the limit, at most once per recent mean delay: requests in flight
// still show the delay of the old limit.
func (l *Limiter) decrease(now time.Time) {
	if !l.decreasedAt.IsZero() && now.Sub(l.decreasedAt) < time.Duration(l.recent) {
		return
	}
	l.decreasedAt = now
	l.limit = max(1, l.limit*decreaseFactor)
}
