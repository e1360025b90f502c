package admission

import "time"

// retryBurst is the maximum number of retries that a budget accumulates.
const retryBurst = 20

// RetryLimits bound retries. In any time t there are at most
// Share x first attempts + Burst + PerSecond x t retries.
type RetryLimits struct {
	// Share is the number of retries that each first attempt adds.
	Share float64
	// Burst is the maximum number of retries that accumulate, at least 1.
	Burst float64
	// PerSecond is the number of retries that each second adds.
	PerSecond float64
}

// Shares of a host's part of the fleet's slack: for a burst, and for the rate over a
// window. They add up to less than one, which leaves room for a host that is
// counted late.
const (
	slackBurstShare = 0.4
	slackRateShare  = 0.5
)

// FleetRetryLimits returns one host's part of the retry limits of a fleet. In any
// window, the fleet's hosts together make at most share x first attempts + slack
// retries.
func FleetRetryLimits(share, slack float64, window time.Duration, hosts int) RetryLimits {
	part := slack / float64(max(1, hosts))
	return RetryLimits{Share: share, Burst: slackBurstShare * part, PerSecond: slackRateShare * part / window.Seconds()}
}

// RetryBudget is a token bucket for retries, which [RetryLimits] bound.
type RetryBudget struct {
	limits    RetryLimits
	available float64
	updatedAt time.Time
}

// NewRetryBudget returns a budget for the given share. Unless the share is zero, it
// allows one retry before first attempts have added more.
func NewRetryBudget(share float64) *RetryBudget {
	b := &RetryBudget{limits: RetryLimits{Share: share, Burst: retryBurst}}
	if share > 0 {
		b.available = 1
	}
	return b
}

// NewFleetRetryBudget returns one host's part of a fleet's budget. It starts empty
// because an earlier run of the host may have used its retries.
func NewFleetRetryBudget(limits RetryLimits, now time.Time) *RetryBudget {
	return &RetryBudget{limits: limits, updatedAt: now}
}

// SetShare changes the share for later attempts.
func (b *RetryBudget) SetShare(share float64) {
	b.limits.Share = share
}

// SetLimits changes the limits. Accumulated retries above the new burst are dropped.
func (b *RetryBudget) SetLimits(limits RetryLimits) {
	b.limits = limits
	b.add(0)
}

// RecordAttempt adds the share of a retry that a first attempt allows.
func (b *RetryBudget) RecordAttempt() {
	b.add(b.limits.Share)
}

func (b *RetryBudget) add(amount float64) {
	b.available = min(b.available+amount, max(b.limits.Burst, 1))
}

// AllowRetry reports whether the budget allows a retry, and subtracts it if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.add(b.limits.PerSecond * now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.limits.Share <= 0 || b.available < 1 {
		return false
	}
	b.available--
	return true
}
