package allocation

import "github.com/rcrowley/go-metrics"

type meters struct {
	writes   metrics.Counter
	claimed  metrics.Counter
	borrowed metrics.Counter
	lent     metrics.Counter
	refused  metrics.Counter
	eras     metrics.Counter

	free     metrics.Gauge
	reserved metrics.Gauge
	// difference is the sum of the allocations' differences, which must be zero.
	difference metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	return meters{
		writes:   metrics.GetOrRegisterCounter("budget_log_writes", r),
		claimed:  metrics.GetOrRegisterCounter("budget_claimed_tokens", r),
		borrowed: metrics.GetOrRegisterCounter("budget_borrowed_tokens", r),
		lent:     metrics.GetOrRegisterCounter("budget_lent_tokens", r),
		refused:  metrics.GetOrRegisterCounter("budget_refused_requests", r),
		eras:     metrics.GetOrRegisterCounter("budget_log_eras", r),

		free:       metrics.GetOrRegisterGauge("budget_free_tokens", r),
		reserved:   metrics.GetOrRegisterGauge("budget_reserved_tokens", r),
		difference: metrics.GetOrRegisterGauge("budget_difference_tokens", r),
	}
}
