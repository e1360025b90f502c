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
	// spentTime is how long a spent budget refuses without asking again.
	spentTime = 200 * time.Millisecond
)

// ask is a grant request that has not been decided yet.
type ask struct {
	holding *holding
	op      record.Op
	// tried is true once a submission failed, so that the operation may still
	// take effect later.
	tried bool
	sent  time.Time // when it was first sent
}

// runGrants asks for grants, one at a time for the shard, until the bank stops.
func (a *account) runGrants() {
	for {
		next, wait := a.nextAsk(time.Now())
		if next == nil || wait > 0 {
			if !a.sleep(a.grantSignal, wait) {
				return
			}
			continue
		}
		reply, err := a.submit([]record.Op{next.op})
		if a.bank.ctx.Err() != nil {
			return
		}
		a.decide(next, &reply, err)
	}
}

// nextAsk returns the grant request to send, or how long to wait for one; zero
// means until something changes.
func (a *account) nextAsk(now time.Time) (*ask, time.Duration) {
	a.bank.mu.Lock()
	defer a.bank.mu.Unlock()
	if a.ask != nil {
		return a.ask, wait(now, a.askAt)
	}
	var earliest time.Duration
	for range a.holdings {
		h := a.holdings[0]
		a.holdings = append(a.holdings[1:], h)
		amount, need := h.wanted(now)
		if amount <= 0 || a.bank.closed {
			continue
		}
		if delay := wait(now, h.retryAt); delay > 0 {
			earliest = earlier(earliest, delay)
			continue
		}
		a.ask = a.newAsk(h, amount, need)
		a.ask.sent = now
		return a.ask, 0
	}
	return nil, earliest
}

func wait(now, until time.Time) time.Duration {
	return max(0, until.Sub(now))
}

func earlier(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (a *account) newAsk(h *holding, amount, need record.Tokens) *ask {
	holder := a.bank.opts.Self
	return &ask{holding: h, op: record.Op{
		Kind: record.KindGrant, Budget: h.id, Holder: &holder,
		Amount: amount, Need: max(0, need), Seq: a.grantSeq + 1,
	}}
}

// decide takes in the answer to a grant request.
func (a *account) decide(k *ask, reply *shard.Reply, err error) {
	a.bank.mu.Lock()
	defer a.bank.mu.Unlock()
	now := time.Now()
	if err != nil {
		a.failed(k, err)
		return
	}
	a.unreachable = false
	a.ask = nil
	res := &reply.Results[0]
	if k.tried || res.Applied || res.Reason == ledger.ReasonDuplicate {
		a.grantSeq = k.op.Seq
	}
	a.granted(now, k, res, reply)
	a.grantFailures = 0
}

// granted follows the fold's answer and serves those who wait.
func (a *account) granted(now time.Time, k *ask, res *ledger.Result, reply *shard.Reply) {
	h := k.holding
	h.available = res.Available
	h.follow(res.Offset, res.Outstanding, res.ReportSeq)
	if res.Granted > 0 {
		a.bank.grants.Inc(1)
		a.bank.opts.Logger.V(1).Info("granted", "budget", h.id, "amount", res.Granted, "free", h.free)
	}
	switch res.Reason {
	case ledger.ReasonReleased, ledger.ReasonClosed:
		h.released = true
		h.short = &shard.Shortage{Budget: h.id, Available: res.Available}
		a.bank.opts.Logger.Error(nil, "this incarnation may not hold the budget any more", "budget", h.id, "reason", res.Reason.String())
		a.bank.refuseAll(h)
		return
	}
	h.serve(now)
	if len(reply.Shortages) == 0 {
		h.short, h.retry, h.retryAt = nil, 0, time.Time{}
		return
	}
	a.fellShort(now, k, &reply.Shortages[0])
}

// fellShort refuses what can't be covered and paces the next request.
func (a *account) fellShort(now time.Time, k *ask, s *shard.Shortage) {
	h := k.holding
	h.short = s
	h.shortEnd = now.Add(spentTime)
	h.retry = min(maxGrantRetry, max(minGrantRetry, 2*h.retry))
	h.retryAt = now.Add(a.bank.jitter(h.retry))
	for len(h.waiters) > 0 && h.refusable(h.waiters[0], k) {
		w := h.waiters[0]
		h.waiters = h.waiters[1:]
		w.done <- a.bank.refusal(h, w.amount)
	}
	h.serve(now)
	if len(h.waiters) > 0 && !h.waiters[0].lastAsk.IsZero() {
		h.retryAt = now
	}
}

// refusable reports whether a shortage is the last word for a waiter: the
// budget is spent, or the waiter's last grant request has been answered.
func (h *holding) refusable(w *waiter, k *ask) bool {
	last := !w.lastAsk.IsZero() && !k.sent.Before(w.lastAsk)
	return (h.spent() || last) && w.amount > max(0, h.free)+h.short.Available
}

// refuseAll refuses all who wait for a budget.
func (b *Manager) refuseAll(h *holding) {
	for _, w := range h.waiters {
		w.done <- b.refusal(h, w.amount)
	}
	h.waiters = nil
}

// failed notes that neither the owner nor the log answered. The same request
// is sent again, since its effect is not known.
func (a *account) failed(k *ask, err error) {
	k.tried = true
	a.unreachable = true
	a.grantFailures++
	a.askAt = time.Now().Add(a.bank.jitter(retryWait(a.grantFailures)))
	a.bank.opts.Logger.V(1).Info("no grant", "budget", k.holding.id, "error", err.Error())
}

// retryWait grows from 50 ms to one second with the number of failures.
func retryWait(failures int) time.Duration {
	return min(time.Second, 50*time.Millisecond<<min(failures-1, 5))
}

// submit hands operations to the shard's owner.
func (a *account) submit(ops []record.Op) (shard.Reply, error) {
	ctx, cancel := context.WithTimeout(a.bank.ctx, a.bank.opts.SubmitTimeout)
	defer cancel()
	return a.bank.opts.Submitter.Request(ctx, a.id, ops)
}
