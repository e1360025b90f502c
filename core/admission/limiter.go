package admission

import "time"

// LimiterConfig tunes a [Limiter].
type LimiterConfig struct {
	// Initial is the limit to start from; Max bounds it.
	Initial int
	Max     int
	// Tolerance is the ratio of delay to the lowest recent delay above which the
	// limit falls.
	Tolerance float64
}

// Constants of the limiter.
const (
	limitTolerance = 2.0
	limitDecrease  = 0.85
	// baselineAge is how long a lowest delay is trusted.
	baselineAge = 30 * time.Second
	// utilisation is the used share of the limit below which it does not grow.
	utilisation = 0.8
)

// Limiter adapts the number of requests in flight at one upstream: additive
// increase while the delay stays near its lowest recent value, multiplicative
// decrease when it rises above that or the upstream says that it is overloaded.
type Limiter struct {
	cfg   LimiterConfig
	limit float64

	// The lowest delays of the current and the previous window.
	lowest   time.Duration
	previous time.Duration
	windowAt time.Time
	cutAt    time.Time
	mean     float64
}

// NewLimiter returns a limiter.
func NewLimiter(cfg LimiterConfig) *Limiter {
	cfg.Initial = max(1, cfg.Initial)
	cfg.Max = max(cfg.Initial, cfg.Max)
	if cfg.Tolerance <= 1 {
		cfg.Tolerance = limitTolerance
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
	l.window(delay, now)
	l.smooth(delay)
	if l.mean > l.cfg.Tolerance*float64(l.base()) {
		l.cut(now)
		return
	}
	if float64(inFlight) >= utilisation*float64(l.Limit()) {
		l.limit = min(l.limit+1/l.limit, float64(l.cfg.Max))
	}
}

// Overloaded takes in that the upstream refused a request for lack of capacity.
func (l *Limiter) Overloaded(now time.Time) {
	l.cut(now)
}

// cut lowers the limit at most once in the time that one request takes, since
// the requests in flight still show the delay of the old limit.
func (l *Limiter) cut(now time.Time) {
	if !l.cutAt.IsZero() && now.Sub(l.cutAt) < time.Duration(l.mean) {
		return
	}
	l.cutAt = now
	l.limit = max(1, l.limit*limitDecrease)
}

func (l *Limiter) window(delay time.Duration, now time.Time) {
	if l.windowAt.IsZero() || now.Sub(l.windowAt) >= baselineAge {
		l.previous = l.lowest
		l.lowest = delay
		l.windowAt = now
	}
	l.lowest = min(l.lowest, delay)
}

func (l *Limiter) base() time.Duration {
	if l.previous > 0 {
		return min(l.lowest, l.previous)
	}
	return l.lowest
}

func (l *Limiter) smooth(delay time.Duration) {
	const weight = 0.2
	if l.mean == 0 {
		l.mean = float64(delay)
		return
	}
	l.mean += weight * (float64(delay) - l.mean)
}
