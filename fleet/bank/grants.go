package bank

import (
	"context"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

const (
	// minGrantRetry and maxGrantRetry bound the wait after a grant fell short.
	minGrantRetry = 20 * time.Millisecond
	maxGrantRetry = 250 * time.Millisecond
	// spentRefusalTime is how long a spent budget refuses without asking again.
	spentRefusalTime = 200 * time.Millisecond
)

// grantRequest is a grant request that has not been decided yet.
type grantRequest struct {
	allocation *allocation
	op         record.Op
	// effectUnknown is true once a submission failed, so that the operation may still
	// take effect later.
	effectUnknown bool
	firstSent     time.Time // when it was first sent
}

// runGrants asks for grants, one at a time for the shard, until the bank stops.
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

// nextGrantRequest returns the grant request to send, or how long to wait for one; zero
// means until something changes.
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

func timeUntil(now, until time.Time) time.Duration {
	return max(0, until.Sub(now))
}

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

// handleGrantReply takes in the answer to a grant request.
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

// applyGrantResult follows the fold's answer and serves those who wait.
func (c *shardClient) applyGrantResult(now time.Time, request *grantRequest, res *ledger.Result, reply *shard.Reply) {
	a := request.allocation
	a.available = res.Available
	a.updateOutstanding(res.Offset, res.Outstanding, res.ReportSeq)
	if res.Granted > 0 {
		c.manager.grants.Inc(1)
		c.manager.opts.Logger.V(1).Info("granted", "budget", a.id, "amount", res.Granted, "free", a.free)
	}
	switch res.Reason {
	case ledger.ReasonReleased, ledger.ReasonClosed:
		a.released = true
		a.shortage = &shard.Shortage{Budget: a.id, Available: res.Available}
		c.manager.opts.Logger.Error(nil, "this incarnation may not hold the budget any more", "budget", a.id, "reason", res.Reason.String())
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

// handleShortage refuses what can't be covered and paces the next request.
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

// mustRefuse reports whether a shortage is the last word for a waiter: the
// budget is spent, or the waiter's last grant request has been answered.
func (a *allocation) mustRefuse(w *waiter, request *grantRequest) bool {
	last := !w.lastRequestAt.IsZero() && !request.firstSent.Before(w.lastRequestAt)
	return (a.isSpent() || last) && w.amount > max(0, a.free)+a.shortage.Available
}

// refuseAll refuses all who wait for a budget.
func (m *Manager) refuseAll(a *allocation) {
	for _, w := range a.waiters {
		w.done <- m.refusal(a, w.amount)
	}
	a.waiters = nil
}

// handleGrantFailure notes that neither the owner nor the log answered. The same request
// is sent again, since its effect is not known.
func (c *shardClient) handleGrantFailure(request *grantRequest, err error) {
	request.effectUnknown = true
	c.unreachable = true
	c.grantFailures++
	c.pendingGrantAt = time.Now().Add(c.manager.jitter(retryWait(c.grantFailures)))
	c.manager.opts.Logger.V(1).Info("no grant", "budget", request.allocation.id, "error", err.Error())
}

// retryWait grows from 50 ms to one second with the number of failures.
func retryWait(failures int) time.Duration {
	return min(time.Second, 50*time.Millisecond<<min(failures-1, 5))
}

// submit hands operations to the shard's owner.
func (c *shardClient) submit(ops []record.Op) (shard.Reply, error) {
	ctx, cancel := context.WithTimeout(c.manager.ctx, c.manager.opts.SubmitTimeout)
	defer cancel()
	return c.manager.opts.Submitter.Request(ctx, c.id, ops)
}
