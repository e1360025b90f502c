package replay

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
	"github.com/hazelworks/hazelworks/standin/engine"
)

// Measure names a value that a replay measures.
type Measure string

// Measures. Counts are of requests unless said otherwise.
const (
	MeasureRequests       Measure = "requests"
	MeasureAnswered       Measure = "answered_percent"
	MeasureOverspend      Measure = "overspend_tokens"
	MeasureBilledTwice    Measure = "billed_twice_tokens"
	MeasureBilledNever    Measure = "billed_never"
	MeasureBilledWrong    Measure = "billed_wrong"
	MeasureLedgerDiffers  Measure = "ledger_differs_tokens"
	MeasureRanTwice       Measure = "ran_twice"
	MeasureNotRunRan      Measure = "not_run_but_ran"
	MeasureWrongAnswer    Measure = "wrong_answer"
	MeasureFalseRefused   Measure = "false_refusals_percent"
	MeasureRefusedHealthy Measure = "false_refusals_without_fault"
	MeasureStranded       Measure = "stranded_percent"
	MeasureUnanswered     Measure = "unanswered_without_fault"
	MeasureCutOff         Measure = "cut_off"
	MeasureSentLeaving    Measure = "sent_to_leaving"
	MeasureFirstTokenP50  Measure = "first_token_p50_ms"
	MeasureFirstTokenP95  Measure = "first_token_p95_ms"
	MeasureFirstTokenP99  Measure = "first_token_p99_ms"
	MeasureAppends        Measure = "appends_per_second"
)

// Measures returns all measures, in the order of the report.
func Measures() []Measure {
	return []Measure{
		MeasureRequests, MeasureAnswered, MeasureOverspend, MeasureBilledTwice, MeasureBilledNever, MeasureBilledWrong,
		MeasureLedgerDiffers, MeasureRanTwice, MeasureNotRunRan, MeasureWrongAnswer, MeasureFalseRefused,
		MeasureRefusedHealthy, MeasureUnanswered, MeasureCutOff, MeasureSentLeaving, MeasureStranded, MeasureFirstTokenP50, MeasureFirstTokenP95,
		MeasureFirstTokenP99, MeasureAppends,
	}
}

// Report is what a replay measured, from the books of the fakes alone.
type Report struct {
	Trace  string              `json:"trace"`
	Seed   uint64              `json:"seed"`
	Values map[Measure]float64 `json:"values"`
	Lines  []ReportLine        `json:"outcomes"`
	// Examples names some of the requests that a count is made of.
	Examples map[Measure][]string `json:"examples,omitempty"`
}

// ReportLine compares one outcome with what was measured.
type ReportLine struct {
	Outcome
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

// leaveGrace is how long a leaving upstream may still get new work.
const leaveGrace = 5 * time.Second

// maxExamples bounds the requests that a report names for a measure.
const maxExamples = 3

// Met reports whether all outcomes are met.
func (r *Report) Met() bool {
	return !slices.ContainsFunc(r.Lines, func(l ReportLine) bool { return !l.Met })
}

func (r *run) report(seed uint64) *Report {
	m := &meter{
		run: r, audit: newAudit(), runs: make(map[string]engine.Run), effects: make(map[string][]time.Time),
		values: make(map[Measure]float64), examples: make(map[Measure][]string),
	}
	m.readBooks()
	m.money()
	m.answers()
	m.refusals()
	m.stops()
	m.delays()
	m.values[MeasureAppends] = float64(r.appends) / time.Duration(r.trace.Duration).Seconds()
	report := &Report{Trace: r.trace.Trace, Seed: seed, Values: m.values, Examples: m.examples}
	for _, o := range r.trace.Outcomes {
		value := m.values[o.Measure]
		report.Lines = append(report.Lines, ReportLine{Outcome: o, Measured: value, Met: o.Holds(value)})
	}
	return report
}

// meter works out the measures of one run.
type meter struct {
	*run
	audit *audit
	// runs and effects are the books of the upstreams, by request ID.
	runs     map[string]engine.Run
	effects  map[string][]time.Time
	values   map[Measure]float64
	examples map[Measure][]string
}

// count adds one request to a measure.
func (m *meter) count(measure Measure, q *request) {
	m.values[measure]++
	if len(m.examples[measure]) < maxExamples {
		a := q.last()
		m.examples[measure] = append(m.examples[measure], strings.Join([]string{q.engineID(), string(a.verdict), a.code, a.text}, " "))
	}
}

func (m *meter) readBooks() {
	for _, e := range m.engines {
		for _, r := range e.Runs() {
			if old, ok := m.runs[r.RequestID]; ok {
				r.Starts += old.Starts
				r.OutputTokens += old.OutputTokens
				r.Started = earlier(r.Started, old.Started)
			}
			m.runs[r.RequestID] = r
		}
	}
	for _, p := range m.plains {
		for _, e := range p.Effects() {
			m.effects[e.RequestID] = append(m.effects[e.RequestID], e.At)
		}
	}
	for name, entries := range m.kept {
		if strings.HasPrefix(name, "shard-") && !strings.HasSuffix(name, "-snapshots") {
			m.audit.stream(entries)
			m.judgeLedger(entries)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// judgeLedger compares the ledger's fold of a stream with the audit's.
func (m *meter) judgeLedger(entries []record.Entry) {
	fold := shardfold.New(shardfold.Options{Ledger: m.ledger})
	for _, entry := range entries {
		if _, err := fold.Apply(entry); err != nil {
			m.values[MeasureLedgerDiffers] = math.Inf(1)
			return
		}
	}
	if fold.Check() != nil {
		m.values[MeasureLedgerDiffers] = math.Inf(1)
	}
	for _, b := range fold.Ledger().Budgets() {
		audited := m.audit.budget(b.ID)
		m.values[MeasureBilledTwice] += float64(max(0, b.Settled-m.audit.billed(b.ID)))
		m.values[MeasureLedgerDiffers] += math.Abs(float64(b.Settled-audited.settled)) +
			math.Abs(float64(b.Prepaid-audited.prepaid)) + math.Abs(float64(b.Available-audited.available))
	}
}

func (m *meter) money() {
	m.values[MeasureOverspend] = max(m.audit.overspend(), m.overworked())
	m.values[MeasureStranded] = m.audit.stranded(m.live())
	for _, q := range m.books.requests {
		bills := m.audit.bills[billKey{q.budget, record.KeyOf(q.account, q.id)}]
		if _, ok := q.answered(); ok && len(bills) == 0 {
			m.count(MeasureBilledNever, q)
		}
		if run, ok := m.runs[q.engineID()]; ok && run.Starts == 1 && !run.Cancelled && len(bills) == 1 && bills[0].cost != m.cost(q, run) {
			m.count(MeasureBilledWrong, q)
		}
	}
}

// overworked returns the largest excess of what a budget's callers received
// over its prepaid tokens, whatever the log says.
func (m *meter) overworked() float64 {
	received := make(map[record.BudgetID]record.Tokens)
	for _, q := range m.books.requests {
		if _, ok := q.answered(); ok {
			received[q.budget] += m.cost(q, m.runs[q.engineID()])
		}
	}
	var worst record.Tokens
	for id, tokens := range received {
		worst = max(worst, tokens-m.audit.budget(id).prepaid)
	}
	return float64(worst)
}

// cost returns what a run costs by the price of its service.
func (m *meter) cost(q *request, r engine.Run) record.Tokens {
	if q.plain {
		service, _ := m.tree.resolved.Service(q.service)
		return service.Price.PerCall
	}
	for _, s := range m.tree.resolved.ServicesWithModel(r.Model) {
		output := min(r.OutputTokens, q.tokens)
		milli := int64(r.InputTokens)*s.Price.InputMilli + int64(output)*s.Price.OutputMilli
		return record.Tokens((milli + 999) / 1000)
	}
	return 0
}

// live returns the incarnations that were not killed.
func (m *meter) live() map[record.Holder]bool {
	live := make(map[record.Holder]bool)
	for _, n := range m.order {
		if self := n.host.Self(); !m.lost[self] {
			live[self] = true
		}
	}
	return live
}

func (m *meter) answers() {
	for _, q := range m.books.requests {
		m.values[MeasureRequests]++
		a, answered := q.answered()
		if answered {
			m.values[MeasureAnswered]++
		}
		if answered && !m.whole(q, a) {
			m.count(MeasureWrongAnswer, q)
		}
		if !answered && !q.refusedForBudget() && !m.faulty(q.started) && !m.faulty(q.ended) {
			m.count(MeasureUnanswered, q)
		}
		if len(m.effects[q.engineID()]) > 1 {
			m.count(MeasureRanTwice, q)
		}
		if m.ranUntold(q) {
			m.count(MeasureNotRunRan, q)
		}
	}
	m.values[MeasureAnswered] = percent(m.values[MeasureAnswered], m.values[MeasureRequests])
}

// whole reports whether an attempt brought the whole answer of its own request.
func (m *meter) whole(q *request, a attempt) bool {
	if q.plain {
		return strings.Contains(a.text, strconv.Quote(q.engineID()))
	}
	return a.text == m.wanted(q)
}

// wanted returns the text that engines generate for a request.
func (m *meter) wanted(q *request) string {
	var text strings.Builder
	for i := range q.tokens {
		text.WriteString(engine.TokenText(q.engineID(), i))
	}
	return text.String()
}

// ranUntold reports whether an upstream had begun a request when its caller was
// told for the first time, and not after a broken attempt, that it did not run.
func (m *meter) ranUntold(q *request) bool {
	for _, a := range q.attempts {
		if a.verdict != verdictNotRun {
			return false
		}
		told := a.at
		if r, ok := m.runs[q.engineID()]; ok && r.Started.Before(told) {
			return true
		}
		for _, at := range m.effects[q.engineID()] {
			if at.Before(told) {
				return true
			}
		}
	}
	return false
}

func (m *meter) refusals() {
	for _, q := range m.books.requests {
		if !q.refusedForBudget() {
			continue
		}
		if m.free(q.budget, q.last().at) < q.bound {
			continue
		}
		m.count(MeasureFalseRefused, q)
		if !m.faulty(q.last().at) {
			m.count(MeasureRefusedHealthy, q)
		}
	}
	m.values[MeasureFalseRefused] = percent(m.values[MeasureFalseRefused], m.values[MeasureRequests])
}

// free returns what a budget has left at a time, less the largest cost of the
// requests that ran or were not billed yet.
func (m *meter) free(id record.BudgetID, at time.Time) record.Tokens {
	left := m.audit.budget(id).unspent(at.UnixMilli())
	for _, q := range m.books.requests {
		if q.budget != id || !q.started.Before(at) {
			continue
		}
		bills := m.audit.bills[billKey{id, record.KeyOf(q.account, q.id)}]
		if len(bills) > 0 && bills[0].at > at.UnixMilli() {
			left -= q.bound
		}
	}
	return left
}

// stops counts what went wrong by hosts and upstreams that leave.
func (m *meter) stops() {
	for _, q := range m.books.requests {
		for _, a := range q.attempts {
			if a.cutOff && !m.faulty(a.at) {
				m.count(MeasureCutOff, q)
			}
		}
	}
	for id, at := range m.left {
		m.sentTo(id, at.Add(leaveGrace))
	}
}

// sentTo counts the work that an upstream began after a time.
func (m *meter) sentTo(upstream string, limit time.Time) {
	var late []string
	if e, ok := m.engines[upstream]; ok {
		for _, r := range e.Runs() {
			if r.Started.After(limit) {
				late = append(late, fmt.Sprintf("%s at %s %s after it left", r.RequestID, upstream, r.Started.Sub(limit)+leaveGrace))
			}
		}
	}
	if p, ok := m.plains[upstream]; ok {
		for _, e := range p.Effects() {
			if e.At.After(limit) {
				late = append(late, fmt.Sprintf("%s at %s %s after it left", e.RequestID, upstream, e.At.Sub(limit)+leaveGrace))
			}
		}
	}
	m.values[MeasureSentLeaving] += float64(len(late))
	named := append(m.examples[MeasureSentLeaving], late...)
	m.examples[MeasureSentLeaving] = named[:min(len(named), maxExamples)]
}

func (m *meter) delays() {
	var delays []float64
	for _, q := range m.books.requests {
		if a, ok := q.answered(); ok && !a.firstByte.IsZero() {
			delays = append(delays, float64(a.firstByte.Sub(q.started).Milliseconds()))
		}
	}
	slices.Sort(delays)
	m.values[MeasureFirstTokenP50] = quantile(delays, 0.50)
	m.values[MeasureFirstTokenP95] = quantile(delays, 0.95)
	m.values[MeasureFirstTokenP99] = quantile(delays, 0.99)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func percent(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
