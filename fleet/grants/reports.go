package grants

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

const (
	// maxReportItems bounds the settlements of one report.
	maxReportItems = 2000
	// maxOutcomes bounds the outcomes sent with one report.
	maxOutcomes = 200
	// undelayedShards is the number of shards up to which a host reports without
	// extra delay, and up to which the end of an answer waits for its report.
	// Each further shard adds flushPerShard to the delay, up to maxShardFlush.
	undelayedShards = 16
	flushPerShard   = 600 * time.Millisecond
	maxShardFlush   = 20 * time.Second
	// minReportIntervalRatio is the minimum ratio of the time between two reports
	// to the duration of the last one, so that a slow log gets fewer and larger
	// reports.
	minReportIntervalRatio = 4
)

// errHolderClosed reports that the ledger has closed this incarnation of the host.
var errHolderClosed = errors.New("grants: this incarnation is closed in the ledger")

// queueSettlement adds a settlement to the next report.
func (c *shardClient) queueSettlement(budget record.BudgetID, key record.RequestKey, cost record.Tokens) {
	c.draft.Settlements = append(c.draft.Settlements, record.Settlement{Budget: budget, Key: key, Cost: cost})
	notify(c.reportSignal)
}

// queueReturn adds a return to the next report.
func (c *shardClient) queueReturn(budget record.BudgetID, amount record.Tokens) {
	for i := range c.draft.Returns {
		if c.draft.Returns[i].Budget == budget {
			c.draft.Returns[i].Amount += amount
			return
		}
	}
	c.draft.Returns = append(c.draft.Returns, record.Return{Budget: budget, Amount: amount})
	notify(c.reportSignal)
}

// flushNow makes the next report due at once and returns a channel that is closed
// once the report has been read back.
func (c *shardClient) flushNow() <-chan struct{} {
	c.draftUrgent = true
	notify(c.reportSignal)
	return c.draftDone
}

// settlementDone returns a channel that is closed once the settlements queued so
// far have been read back. With many shards it returns nil, since their reports
// are delayed for longer than the end of an answer should wait.
func (c *shardClient) settlementDone() <-chan struct{} {
	if len(c.manager.clients) > undelayedShards {
		return nil
	}
	return c.draftDone
}

// runReports sends reports until the manager stops: one at a time, and an urgent one
// beside another, since a budget's last tokens may wait for a return.
func (c *shardClient) runReports() {
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		due, delay := c.reportDue()
		if !due {
			if !c.waitForSignal(c.reportSignal, 0) {
				return
			}
			continue
		}
		if !c.waitForFlush(delay) {
			return
		}
		ops, outcomes, sent := c.buildOps()
		sends.Go(func() {
			c.sendReport(ops, outcomes, sent)
			notify(c.reportSignal)
		})
	}
}

// maxSends bounds the sends in progress, of which all but the first are urgent.
const maxSends = 2

// reportDue reports whether anything is to be sent, and how long it may wait.
func (c *shardClient) reportDue() (bool, time.Duration) {
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	if c.sends > 0 && (!c.draftUrgent || c.emptyDraft() || c.sends >= maxSends) {
		return false, 0
	}
	if c.emptyDraft() && len(c.outcomes) == 0 {
		return false, 0
	}
	if c.draftUrgent || len(c.draft.Settlements) >= maxReportItems {
		return true, 0
	}
	return true, c.flushDelay()
}

// flushDelay returns the time for which settlements are batched. A host that
// settles in many shards reports to each one less often, to limit its calls to
// their owners. Outcomes of claims are exempt from that extra delay.
func (c *shardClient) flushDelay() time.Duration {
	opts := &c.manager.opts
	delay := min(opts.MaxFlush, max(opts.MinFlush, minReportIntervalRatio*c.lastReportDuration))
	extraShards := len(c.manager.clients) - undelayedShards
	if extraShards <= 0 || len(c.outcomes) > 0 {
		return delay
	}
	return min(maxShardFlush, max(delay, time.Duration(extraShards)*flushPerShard))
}

func (c *shardClient) emptyDraft() bool {
	return len(c.draft.Settlements) == 0 && len(c.draft.Returns) == 0 && !c.draft.Closing
}

// waitForFlush waits until delay has passed or the report is urgent. It returns
// false when the manager stops.
func (c *shardClient) waitForFlush(delay time.Duration) bool {
	end := time.Now().Add(delay)
	for {
		left := time.Until(end)
		if left <= 0 || c.urgent() {
			return true
		}
		if !c.waitForSignal(c.reportSignal, left) {
			return false
		}
	}
}

func (c *shardClient) urgent() bool {
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	return c.draftUrgent || len(c.draft.Settlements) >= maxReportItems
}

// errEarlierReportMissing reports that the fold has not applied the report before.
var errEarlierReportMissing = errors.New("grants: the report before has not been applied")

// sendReport sends operations and retries until they have been read back. New entries
// go to the next report meanwhile. It gives up when the manager stops.
func (c *shardClient) sendReport(ops []record.Op, outcomes int, sent *sentReport) {
	for failures := 0; ; {
		start := time.Now()
		reply, err := c.submit(ops)
		if err == nil && sent != nil && reply.Results[0].Reason == ledger.ReasonGap {
			err = errEarlierReportMissing
		}
		if err == nil {
			c.applyReportReply(outcomes, reply.Results, sent, time.Since(start))
			return
		}
		failures++
		c.manager.opts.Logger.V(1).Info("report not read back", "shard", c.id, "error", err.Error())
		if !sleepFor(c.manager.ctx, c.manager.jitter(retryWait(failures))) {
			return
		}
	}
}

// buildOps returns the operations to send: the draft, which becomes a report in
// flight, and the outcomes of claims, unless others are being sent. It starts a new draft.
func (c *shardClient) buildOps() (ops []record.Op, outcomes int, sent *sentReport) {
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	if c.sends == 0 {
		outcomes = min(len(c.outcomes), maxOutcomes)
	}
	c.sends++
	if !c.emptyDraft() {
		sent = c.sealDraft()
		holder := c.manager.opts.Self
		ops = append(ops, record.Op{Kind: record.KindReport, Holder: &holder, Report: &sent.report})
	}
	ops = append(ops, c.outcomes[:outcomes]...)
	return ops, outcomes, sent
}

// sealDraft moves the draft to the reports in flight.
func (c *shardClient) sealDraft() *sentReport {
	c.returnExcess(time.Now())
	sent := &sentReport{report: c.draft, amounts: make(map[*allocation]record.Tokens), done: c.draftDone}
	c.draft = record.Report{Seq: sent.report.Seq + 1}
	c.draftDone = make(chan struct{})
	c.draftUrgent = false
	for _, a := range c.allocations {
		if a.queued != 0 {
			sent.amounts[a] = a.queued
			a.inFlight += a.queued
			a.queued = 0
		}
	}
	c.inFlight = append(c.inFlight, sent)
	c.manager.reports.Inc(1)
	return sent
}

// returnExcess adds the return of free amounts far above their target to the
// draft, just before it is sent.
func (c *shardClient) returnExcess(now time.Time) {
	if c.manager.closed {
		return
	}
	for _, a := range c.allocations {
		target := a.target(now)
		if len(a.waiters) == 0 && a.free > excessFactor*target {
			a.returnFree(a.free - target)
		}
	}
}

// excessFactor is the ratio of the free amount to its target above which the
// excess is returned.
const excessFactor = 2

// applyReportReply applies the fold's answer to a report and its outcomes.
func (c *shardClient) applyReportReply(outcomes int, results []ledger.Result, sent *sentReport, took time.Duration) {
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	c.sends--
	c.lastReportDuration = took
	c.outcomes = c.outcomes[outcomes:]
	if sent == nil {
		return
	}
	res := &results[0]
	if !res.Applied && res.Reason != ledger.ReasonDuplicate {
		c.manager.opts.Logger.Error(fmt.Errorf("%w: %s", errHolderClosed, res.Reason), "report refused", "shard", c.id, "seq", sent.report.Seq)
	}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(other *sentReport) bool { return other == sent })
	for a, amount := range sent.amounts {
		a.inFlight -= amount
	}
	for _, line := range res.Lines {
		if line.Unbilled > 0 {
			c.manager.unbilled.Inc(int64(line.Unbilled))
			c.manager.opts.Logger.Info("unbilled", "budget", line.Budget, "amount", line.Unbilled)
		}
		if a, ok := c.manager.budgets[line.Budget]; ok {
			a.updateOutstanding(foldPosition{offset: res.Offset, reportSeq: res.ReportSeq}, line.Outstanding)
			a.serveWaiters(time.Now())
		}
	}
	close(sent.done)
	c.wake()
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
