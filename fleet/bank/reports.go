package bank

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

const (
	// maxReportItems bounds the settlements of one report.
	maxReportItems = 2000
	// maxOutcomes bounds the outcomes sent with one report.
	maxOutcomes = 200
	// quickShards is the number of shards that a host reports to without delay,
	// and up to which the end of an answer waits for its report.
	// Each further one adds flushPerShard, up to maxShardFlush.
	quickShards   = 16
	flushPerShard = 600 * time.Millisecond
	maxShardFlush = 20 * time.Second
	// submitSpacing is the least ratio of the time between two reports to the
	// time that the last one took, so that a slow log gets larger reports.
	submitSpacing = 4
)

// errHolderClosed reports that the fold has ended this incarnation.
var errHolderClosed = errors.New("bank: this incarnation is closed in the ledger")

// queueSettlement adds a settlement to the next report.
func (a *account) queueSettlement(budget record.BudgetID, key record.RequestKey, cost record.Tokens) {
	a.draft.Settlements = append(a.draft.Settlements, record.Settlement{Budget: budget, Key: key, Cost: cost})
	notify(a.reportSignal)
}

// queueReturn adds a return to the next report.
func (a *account) queueReturn(budget record.BudgetID, amount record.Tokens) {
	for i := range a.draft.Returns {
		if a.draft.Returns[i].Budget == budget {
			a.draft.Returns[i].Amount += amount
			return
		}
	}
	a.draft.Returns = append(a.draft.Returns, record.Return{Budget: budget, Amount: amount})
	notify(a.reportSignal)
}

// hurry sends the next report without waiting for more, and returns a channel
// that is closed once it has been read back.
func (a *account) hurry() <-chan struct{} {
	a.draftUrgent = true
	notify(a.reportSignal)
	return a.draftDone
}

// settlementDone returns a channel that is closed once the settlements queued so
// far have been read back. With many shards it returns nil, since their reports
// collect for longer than the end of an answer should wait.
func (a *account) settlementDone() <-chan struct{} {
	if len(a.bank.accounts) > quickShards {
		return nil
	}
	return a.draftDone
}

// runReports sends reports, one at a time, until the bank stops.
func (a *account) runReports() {
	for {
		due, delay := a.reportDue()
		if !due {
			if !a.sleep(a.reportSignal, 0) {
				return
			}
			continue
		}
		if !a.collect(delay) {
			return
		}
		if !a.sendReport() {
			return
		}
	}
}

// reportDue reports whether anything is to be sent, and how long it may wait.
func (a *account) reportDue() (bool, time.Duration) {
	a.bank.mu.Lock()
	defer a.bank.mu.Unlock()
	if a.emptyDraft() && len(a.outcomes) == 0 {
		return false, 0
	}
	if a.draftUrgent || len(a.draft.Settlements) >= maxReportItems {
		return true, 0
	}
	return true, a.flushDelay()
}

// flushDelay is how long settlements collect. A host that settles in many
// shards reports to each one less often, so that its calls to their owners stay
// few. Outcomes of claims don't wait longer for that.
func (a *account) flushDelay() time.Duration {
	opts := &a.bank.opts
	delay := min(opts.MaxFlush, max(opts.MinFlush, submitSpacing*a.lastSubmit))
	further := len(a.bank.accounts) - quickShards
	if further <= 0 || len(a.outcomes) > 0 {
		return delay
	}
	return min(maxShardFlush, max(delay, time.Duration(further)*flushPerShard))
}

func (a *account) emptyDraft() bool {
	return len(a.draft.Settlements) == 0 && len(a.draft.Returns) == 0 && !a.draft.Closing
}

// collect waits for more settlements until delay has passed or a report is urgent.
func (a *account) collect(delay time.Duration) bool {
	end := time.Now().Add(delay)
	for {
		left := time.Until(end)
		if left <= 0 || a.urgent() {
			return true
		}
		if !a.sleep(a.reportSignal, left) {
			return false
		}
	}
}

func (a *account) urgent() bool {
	a.bank.mu.Lock()
	defer a.bank.mu.Unlock()
	return a.draftUrgent || len(a.draft.Settlements) >= maxReportItems
}

// sendReport sends the draft until it has been read back. The next report
// collects meanwhile. It returns false when the bank stops.
func (a *account) sendReport() bool {
	ops, outcomes, done := a.cut()
	for failures := 0; ; {
		start := time.Now()
		reply, err := a.submit(ops)
		if err == nil {
			a.reported(ops, outcomes, reply.Results, done, time.Since(start))
			return true
		}
		failures++
		a.bank.opts.Logger.V(1).Info("report not read back", "shard", a.id, "seq", a.sent.Seq, "error", err.Error())
		if !sleepFor(a.bank.ctx, a.bank.jitter(retryWait(failures))) {
			return false
		}
	}
}

// cut turns the draft into the report under way and starts a new draft.
func (a *account) cut() (ops []record.Op, outcomes int, done chan struct{}) {
	a.bank.mu.Lock()
	defer a.bank.mu.Unlock()
	outcomes = min(len(a.outcomes), maxOutcomes)
	if !a.emptyDraft() {
		ops = append(ops, a.cutDraft())
		done = a.draftDone
		a.draftDone = make(chan struct{})
	}
	ops = append(ops, a.outcomes[:outcomes]...)
	return ops, outcomes, done
}

func (a *account) cutDraft() record.Op {
	a.returnExcess(time.Now())
	a.sent = a.draft
	a.draft = record.Report{Seq: a.sent.Seq + 1}
	a.draftUrgent = false
	for _, h := range a.holdings {
		h.inFlight, h.queued = h.queued, 0
	}
	a.bank.reports.Inc(1)
	report := a.sent
	holder := a.bank.opts.Self
	return record.Op{Kind: record.KindReport, Holder: &holder, Report: &report}
}

// returnExcess adds the return of free amounts far above their target to a
// report that is sent anyway.
func (a *account) returnExcess(now time.Time) {
	if a.bank.closed {
		return
	}
	for _, h := range a.holdings {
		target := h.target(now)
		if len(h.waiters) == 0 && h.free > excessFactor*target {
			h.giveBack(h.free - target)
		}
	}
}

// excessFactor is the ratio of the free amount to its target above which the
// excess is returned.
const excessFactor = 2

// reported takes in the fold's answer to a report and its outcomes.
func (a *account) reported(ops []record.Op, outcomes int, results []ledger.Result, done chan struct{}, took time.Duration) {
	a.bank.mu.Lock()
	defer a.bank.mu.Unlock()
	a.lastSubmit = took
	a.outcomes = a.outcomes[outcomes:]
	if done == nil {
		return
	}
	res := &results[0]
	if !res.Applied && res.Reason != ledger.ReasonDuplicate {
		a.bank.opts.Logger.Error(fmt.Errorf("%w: %s", errHolderClosed, res.Reason), "report refused", "shard", a.id, "seq", a.sent.Seq)
	}
	for _, h := range a.holdings {
		h.inFlight = 0
	}
	for _, line := range res.Lines {
		if line.Unbilled > 0 {
			a.bank.unbilled.Inc(int64(line.Unbilled))
			a.bank.opts.Logger.Info("unbilled", "budget", line.Budget, "amount", line.Unbilled)
		}
		if h, ok := a.bank.budgets[line.Budget]; ok {
			h.follow(res.Offset, line.Outstanding, res.ReportSeq)
			h.serve(time.Now())
		}
	}
	a.finished = a.finished || a.sent.Closing
	close(done)
	a.wake()
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
