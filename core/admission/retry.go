package admission

// retryBurst bounds the retries that may be saved up while there are none.
const retryBurst = 20

// RetryBudget bounds retries to a share of the first attempts. Each first
// attempt earns a part of a retry; unused parts are kept up to a small burst.
type RetryBudget struct {
	share  float64
	earned float64
}

// NewRetryBudget returns a budget for the given share, which allows a single
// retry before the first attempts have earned more.
func NewRetryBudget(share float64) *RetryBudget {
	b := &RetryBudget{share: share}
	if share > 0 {
		b.earned = 1
	}
	return b
}

// SetShare changes the share for later attempts.
func (b *RetryBudget) SetShare(share float64) {
	b.share = share
}

// Attempt counts a first attempt.
func (b *RetryBudget) Attempt() {
	b.earned = min(b.earned+b.share, retryBurst)
}

// Retry takes a retry out of the budget and tells whether there was one.
func (b *RetryBudget) Retry() bool {
	if b.share <= 0 || b.earned < 1 {
		return false
	}
	b.earned--
	return true
}
