package wallet

import "github.com/rcrowley/go-metrics"

type meters struct {
	writes   metrics.Counter
	claimed  metrics.Counter
	borrowed metrics.Counter
	lent     metrics.Counter
	refused  metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	return meters{
		writes:   metrics.GetOrRegisterCounter("budget_log_writes", r),
		claimed:  metrics.GetOrRegisterCounter("budget_claimed_tokens", r),
		borrowed: metrics.GetOrRegisterCounter("budget_borrowed_tokens", r),
		lent:     metrics.GetOrRegisterCounter("budget_lent_tokens", r),
		refused:  metrics.GetOrRegisterCounter("budget_refused_requests", r),
	}
}
