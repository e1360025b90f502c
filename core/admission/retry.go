package admission

import "time"

// retryBurst bounds the retries that may be saved up while there are none.
const retryBurst = 20

// RetryLimits bound retries. In any time t there are at most
// Share x first attempts + Burst + PerSecond x t of them.
type RetryLimits struct {
	// Share is the part of a retry that each first attempt earns.
	Share float64
	// Burst bounds what is saved up.
	Burst float64
	// PerSecond is what is earned by time.
	PerSecond float64
}

// The parts of a fleet's slack that a host may use at once and over a window.
// They add up to less than one, which leaves room for a host that is counted
// late.
const (
	slackBurstShare   = 0.4
	slackRateShare = 0.5
)

// FleetRetryLimits returns a host's part of limits that a fleet of hosts keeps
// together: in any window, the share of the first attempts, plus a slack.
func FleetRetryLimits(share, slack float64, window time.Duration, hosts int) RetryLimits {
	part := slack / float64(max(1, hosts))
	return RetryLimits{Share: share, Burst: slackBurstShare * part, PerSecond: slackRateShare * part / window.Seconds()}
}

// RetryBudget bounds retries to a share of the first attempts, and a slack.
type RetryBudget struct {
	limits RetryLimits
	available float64
	updatedAt   time.Time
}

// NewRetryBudget returns a budget for the given share, which allows a single
// retry before the first attempts have earned more.
func NewRetryBudget(share float64) *RetryBudget {
	b := &RetryBudget{limits: RetryLimits{Share: share, Burst: retryBurst}}
	if share > 0 {
		b.available = 1
	}
	return b
}

// NewFleetRetryBudget returns a host's part of a fleet's budget. It begins empty,
// since an earlier run of the host may have used what there was.
func NewFleetRetryBudget(limits RetryLimits, now time.Time) *RetryBudget {
	return &RetryBudget{limits: limits, updatedAt: now}
}

// SetShare changes the share for later attempts.
func (b *RetryBudget) SetShare(share float64) {
	b.limits.Share = share
}

// SetLimits changes the limits. What was saved up beyond them is lost.
func (b *RetryBudget) SetLimits(limits RetryLimits) {
	b.limits = limits
	b.add(0)
}

// RecordAttempt counts a first attempt.
func (b *RetryBudget) RecordAttempt() {
	b.add(b.limits.Share)
}

func (b *RetryBudget) add(amount float64) {
	b.available = min(b.available+amount, max(b.limits.Burst, 1))
}

// AllowRetry takes a retry out of the budget and tells whether there was one.
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
