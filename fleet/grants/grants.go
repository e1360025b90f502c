package grants

import (
	"context"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

const (
	// minGrantRetry and maxGrantRetry bound the backoff after a grant that did
	// not cover the request.
	minGrantRetry = 20 * time.Millisecond
	maxGrantRetry = 250 * time.Millisecond
	// spentRefusalTime is the time after a shortage in which requests for a
	// spent budget are refused without a new grant request.
	spentRefusalTime = 200 * time.Millisecond
)

// grantRequest is a grant request without an answer so far.
type grantRequest struct {
	allocation *allocation
	op         record.Op
	// effectUnknown is true once a submission failed: the operation may still
	// take effect later.
	effectUnknown bool
	firstSent     time.Time
}

// runGrants requests grants from the shard, one at a time, until the manager stops.
func (c *shardClient) runGrants() {
	for {
		next, wait := c.nextGrantRequest(time.Now())
		if next == nil || wait > 0 {
			if !c.waitForSignal(c.grantSignal, wait) {
				return
			}
			continue
		}
		reply, err := c.submit([]record.Op{next.op})
		if c.manager.ctx.Err() != nil {
			return
		}
		c.handleGrantReply(next, &reply, err)
	}
}

// nextGrantRequest returns the grant request to send and the time to wait before
// sending it. Without a request it returns nil and the time after which to check
// again; zero then means to wait for a signal.
func (c *shardClient) nextGrantRequest(now time.Time) (*grantRequest, time.Duration) {
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	if c.pendingGrant != nil {
		return c.pendingGrant, timeUntil(now, c.pendingGrantAt)
	}
	var earliest time.Duration
	for range c.allocations {
		a := c.allocations[0]
		c.allocations = append(c.allocations[1:], a)
		amount, need := a.neededGrant(now)
		if amount <= 0 || c.manager.closed {
			continue
		}
		if delay := timeUntil(now, a.retryAt); delay > 0 {
			earliest = minNonZero(earliest, delay)
			continue
		}
		c.pendingGrant = c.newGrantRequest(a, amount, need)
		c.pendingGrant.firstSent = now
		return c.pendingGrant, 0
	}
	return nil, earliest
}

// timeUntil returns the time from now to until, or zero if until has passed.
func timeUntil(now, until time.Time) time.Duration {
	return max(0, until.Sub(now))
}

// minNonZero returns the shorter duration; a zero a counts as unset.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (c *shardClient) newGrantRequest(a *allocation, amount, need record.Tokens) *grantRequest {
	holder := c.manager.opts.Self
	return &grantRequest{allocation: a, op: record.Op{
		Kind: record.KindGrant, Budget: a.id, Holder: &holder,
		Amount: amount, Need: max(0, need), Seq: c.grantSeq + 1,
	}}
}

// handleGrantReply applies the answer to a grant request.
func (c *shardClient) handleGrantReply(request *grantRequest, reply *shard.Reply, err error) {
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	now := time.Now()
	if err != nil {
		c.handleGrantFailure(request, err)
		return
	}
	c.unreachable = false
	c.pendingGrant = nil
	res := &reply.Results[0]
	if request.effectUnknown || res.Applied || res.Reason == ledger.ReasonDuplicate {
		c.grantSeq = request.op.Seq
	}
	c.applyGrantResult(now, request, res, reply)
	c.grantFailures = 0
}

// applyGrantResult updates the allocation from the fold's answer and serves the
// waiters.
func (c *shardClient) applyGrantResult(now time.Time, request *grantRequest, res *ledger.Result, reply *shard.Reply) {
	a := request.allocation
	a.available = res.Available
	a.updateOutstanding(foldPosition{offset: res.Offset, reportSeq: res.ReportSeq, grant: true}, res.Outstanding)
	if res.Granted > 0 {
		c.manager.grants.Inc(1)
		c.manager.opts.Logger.V(1).Info("granted", "budget", a.id, "amount", res.Granted, "free", a.free)
	}
	switch res.Reason {
	case ledger.ReasonReleased, ledger.ReasonClosed:
		a.released = true
		a.shortage = &shard.Shortage{Budget: a.id, Available: res.Available}
		c.manager.opts.Logger.Error(nil, "holder was released or closed; no more reservations", "budget", a.id, "reason", res.Reason.String())
		c.manager.refuseAll(a)
		return
	}
	a.serveWaiters(now)
	if len(reply.Shortages) == 0 {
		a.shortage, a.retryDelay, a.retryAt = nil, 0, time.Time{}
		return
	}
	c.handleShortage(now, request, &reply.Shortages[0])
}

// handleShortage refuses the waiters that can't be served and delays the next
// grant request.
func (c *shardClient) handleShortage(now time.Time, request *grantRequest, s *shard.Shortage) {
	a := request.allocation
	a.shortage = s
	a.shortageUntil = now.Add(spentRefusalTime)
	a.retryDelay = min(maxGrantRetry, max(minGrantRetry, 2*a.retryDelay))
	a.retryAt = now.Add(c.manager.jitter(a.retryDelay))
	for len(a.waiters) > 0 && a.mustRefuse(a.waiters[0], request) {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		w.done <- c.manager.refusal(a, w.amount)
	}
	a.serveWaiters(now)
	if len(a.waiters) > 0 && !a.waiters[0].lastRequestAt.IsZero() {
		a.retryAt = now
	}
}

// mustRefuse reports whether a waiter must be refused after a shortage: the
// amounts don't cover it, and either the budget is spent or the waiter's last
// grant request has been answered.
func (a *allocation) mustRefuse(w *waiter, request *grantRequest) bool {
	last := !w.lastRequestAt.IsZero() && !request.firstSent.Before(w.lastRequestAt)
	return (a.isSpent() || last) && w.amount > max(0, a.free)+a.shortage.Available
}

// refuseAll refuses all waiters of a budget.
func (m *Manager) refuseAll(a *allocation) {
	for _, w := range a.waiters {
		w.done <- m.refusal(a, w.amount)
	}
	a.waiters = nil
}

// handleGrantFailure schedules a retry after neither the owner nor the log
// answered. The same request is sent again, since its effect is unknown.
func (c *shardClient) handleGrantFailure(request *grantRequest, err error) {
	request.effectUnknown = true
	c.unreachable = true
	c.grantFailures++
	c.pendingGrantAt = time.Now().Add(c.manager.jitter(retryWait(c.grantFailures)))
	c.manager.opts.Logger.V(1).Info("no grant", "budget", request.allocation.id, "error", err.Error())
}

// retryWait returns the backoff after a number of failures. It doubles from 50 ms
// up to one second.
func retryWait(failures int) time.Duration {
	return min(time.Second, 50*time.Millisecond<<min(failures-1, 5))
}

// submit sends operations to the shard's owner.
func (c *shardClient) submit(ops []record.Op) (shard.Reply, error) {
	ctx, cancel := context.WithTimeout(c.manager.ctx, c.manager.opts.SubmitTimeout)
	defer cancel()
	return c.manager.opts.Submitter.Request(ctx, c.id, ops)
}
