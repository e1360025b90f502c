package replay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

// quietTime follows a trace, so that running requests end and bills are written.
const quietTime = time.Minute

// costMargin bounds the prompt of a request: it has fewer tokens than its body
// has bytes. A budget with less than the margin and the answer's cap left cannot
// cover a request.
const costMargin = 220

// run is one replay of a trace.
type run struct {
	*world
	began time.Time
	// lost are the incarnations that were killed.
	lost map[record.Holder]bool
	// faults is the number of faults in force; connected tells when it is zero.
	faults  int
	spans   []span
	load    sync.WaitGroup
	paused  map[*node]chan struct{}
	appends int64
	topUps  int
	// left is when each leaving upstream began to say so.
	left map[string]time.Time
	// ledger holds the options that the log is judged with.
	ledger ledger.Options
}

// span is a time in which some fault was in force.
type span struct {
	from time.Time
	to   time.Time
}

// Run replays a trace under a seed. It must be called in a synctest bubble.
func Run(t *Trace, seed uint64, logger logr.Logger) (*Report, error) {
	r, err := playTrace(t, seed, logger)
	if err != nil {
		return nil, fmt.Errorf("replay %s: %w", t.Trace, err)
	}
	return r.report(seed), nil
}

// playTrace replays a trace up to its end, without judging it.
func playTrace(t *Trace, seed uint64, logger logr.Logger) (*run, error) {
	w, err := newWorld(t, seed, logger)
	if err != nil {
		return nil, err
	}
	r := &run{world: w, lost: make(map[record.Holder]bool), paused: make(map[*node]chan struct{}), left: make(map[string]time.Time)}
	err = r.play()
	return r, errors.Join(err, w.end())
}

func (r *run) play() error {
	for _, n := range r.order {
		r.start(n)
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	copied := make(chan struct{})
	go r.copyLog(ctx, copied)
	r.began = time.Now()
	before := r.log.Appends()
	for i := range r.trace.Events {
		e := &r.trace.Events[i]
		pause(ctx, time.Until(r.began.Add(r.jitter(time.Duration(e.At)))))
		if err := r.happen(ctx, e); err != nil {
			return fmt.Errorf("line %d: %w", e.line, err)
		}
	}
	pause(ctx, time.Until(r.began.Add(time.Duration(r.trace.Duration))))
	r.appends = r.log.Appends() - before
	r.load.Wait()
	pause(ctx, quietTime)
	cancel()
	<-copied
	return nil
}

// jitter moves a time by up to a quarter of a second, for other seeds than the
// trace's own to differ in their timing.
func (r *run) jitter(at time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return at + time.Duration(r.rand.Int64N(int64(time.Second/4)))
}

func (r *run) copyLog(ctx context.Context, done chan struct{}) {
	defer close(done)
	interval := copyInterval
	if kept := time.Duration(r.trace.Log.Retention); kept > 0 {
		interval = min(interval, kept/4)
	}
	for pause(ctx, interval) {
		r.keepLog()
	}
}

func (r *run) happen(ctx context.Context, e *Event) error {
	switch e.Event {
	case EventTopUp:
		return r.topUp(ctx, e)
	case EventLoad:
		r.startLoad(ctx, e)
	case EventCut, EventHeal:
		r.cut(e, e.Event == EventCut)
	case EventSilence:
		r.silence(e)
	case EventLogDown, EventLogUp:
		r.log.SetDown(e.Event == EventLogDown)
		r.fault(e.Event == EventLogDown)
	case EventLostReplies:
		r.loseReplies(e.Share)
	case EventSlowAppends:
		for _, n := range r.order {
			n.link.SetAppendDelay(time.Duration(e.Delay))
		}
	case EventLeave:
		r.leave(e.Upstream)
	case EventRelease:
		return r.release(ctx, e)
	default:
		r.hostEvent(e)
	}
	return nil
}

func (r *run) hostEvent(e *Event) {
	n := r.nodes[string(e.Host)]
	switch e.Event {
	case EventKill:
		r.lost[n.host.Self()] = true
		r.fault(true)
		r.kill(n)
	case EventStart:
		r.fault(false)
		r.start(n)
	case EventStop:
		r.load.Go(func() { r.stop(n) })
	case EventPause:
		r.pauseHost(n)
	case EventWake:
		r.wakeHost(n)
	}
}

// fault notes that a fault begins or ends.
func (r *run) fault(begins bool) {
	if begins {
		if r.faults == 0 {
			r.spans = append(r.spans, span{from: time.Now()})
		}
		r.faults++
		return
	}
	r.faults = max(0, r.faults-1)
	if r.faults == 0 && len(r.spans) > 0 {
		r.spans[len(r.spans)-1].to = time.Now()
	}
}

// faulty reports whether a fault was in force in the time before at.
func (r *run) faulty(at time.Time) bool {
	const aftermath = 15 * time.Second
	for _, s := range r.spans {
		if !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to.Add(aftermath))) {
			return true
		}
	}
	return false
}

func (r *run) cut(e *Event, broken bool) {
	r.fault(broken)
	for _, from := range e.From {
		for _, to := range e.To {
			r.link(from, to, broken)
			if !e.OneWay {
				r.link(to, from, broken)
			}
		}
	}
}

// link cuts or heals one direction between two sides.
func (r *run) link(from, to string, broken bool) {
	if n, ok := r.nodes[from]; ok && to == sideLog {
		n.link.SetCut(broken)
		return
	}
	if broken {
		r.net.Cut(from, to)
		return
	}
	r.net.Heal(from, to)
}

func (r *run) silence(e *Event) {
	for _, from := range e.From {
		for _, to := range e.To {
			r.net.Silence(from, to)
		}
	}
}

func (r *run) loseReplies(share float64) {
	for i, n := range r.order {
		source := r.rand.Uint64()
		state := source + uint64(i)
		n.link.SetLoseReply(func() bool {
			state = state*6364136223846793005 + 1442695040888963407
			return float64(state>>11)/(1<<53) < share
		})
	}
}

func (r *run) leave(upstream string) {
	r.left[upstream] = time.Now()
	if e, ok := r.engines[upstream]; ok {
		e.SetLeaving(true)
	}
	if p, ok := r.plains[upstream]; ok {
		p.SetLeaving(true)
	}
}

// pauseHost holds back everything that a host sends. Its clock goes on, unlike
// that of a process that is really stopped.
func (r *run) pauseHost(n *node) {
	if r.paused[n] != nil {
		return
	}
	r.fault(true)
	wake := make(chan struct{})
	r.paused[n] = wake
	n.link.SetBeforeSend(func() { <-wake })
	r.isolate(n, true)
}

func (r *run) wakeHost(n *node) {
	wake := r.paused[n]
	if wake == nil {
		return
	}
	r.fault(false)
	delete(r.paused, n)
	n.link.SetBeforeSend(nil)
	close(wake)
	r.isolate(n, false)
}

func (r *run) isolate(n *node, broken bool) {
	sides := []string{sideCallers}
	for name := range r.nodes {
		sides = append(sides, name)
	}
	for name := range r.engines {
		sides = append(sides, name)
	}
	for name := range r.plains {
		sides = append(sides, name)
	}
	for _, side := range sides {
		if side != string(n.spec.ID) {
			r.link(string(n.spec.ID), side, broken)
			r.link(side, string(n.spec.ID), broken)
		}
	}
}

// topUp appends a top-up as an operator with access to the log does.
func (r *run) topUp(ctx context.Context, e *Event) error {
	r.topUps++
	op := record.Op{Kind: record.KindTopUp, Budget: e.Budget, ID: fmt.Sprintf("trace-%d", r.topUps), Amount: e.Amount, By: "trace"}
	return r.operate(ctx, e.Budget, op)
}

// release frees the grants of the host's incarnation that was killed last.
func (r *run) release(ctx context.Context, e *Event) error {
	n := r.nodes[string(e.Host)]
	holder := n.host.Self()
	for i, b := range r.tree.resolved.Budgets {
		op := record.Op{Kind: record.KindRelease, Budget: b.ID, Holder: &holder, ID: fmt.Sprintf("release-%s-%d", holder, i), By: "trace"}
		if err := r.operate(ctx, b.ID, op); err != nil {
			return err
		}
	}
	return nil
}

// operate appends an operator's record, again and again while the log is down.
func (r *run) operate(ctx context.Context, budget record.BudgetID, op record.Op) error {
	batch := &record.Batch{Writer: record.Holder{Host: "operator", Incarnation: 1}, Ops: []record.Op{op}}
	data, err := record.EncodeBatch(batch)
	if err != nil {
		return err
	}
	stream := record.StreamOfShard(record.ShardOf(budget, r.tree.resolved.Shards))
	for {
		if _, err = r.log.Append(ctx, stream, data); err == nil || !pause(ctx, time.Second) {
			return err
		}
	}
}

// startLoad sends requests of an account at random intervals in the background.
func (r *run) startLoad(ctx context.Context, e *Event) {
	c := r.caller(e.Account)
	var fixed []string
	for _, id := range e.Entry {
		fixed = append(fixed, r.nodes[string(id)].address(callerPort).String())
	}
	end := time.Now().Add(time.Duration(e.For))
	source := r.fork()
	r.load.Go(func() {
		for n := 0; ; n++ {
			gap := time.Duration(source.ExpFloat64() / e.Rate * float64(time.Second))
			if !pause(ctx, gap) || time.Now().After(end) {
				return
			}
			q := r.newRequest(e, n)
			r.books.add(q)
			order := rotate(fixed, n)
			r.load.Go(func() { c.run(ctx, q, e, order) })
		}
	})
}

func rotate(list []string, by int) []string {
	if len(list) == 0 {
		return nil
	}
	by %= len(list)
	return append(append([]string(nil), list[by:]...), list[:by]...)
}

func (r *run) newRequest(e *Event, n int) *request {
	q := &request{account: e.Account, id: fmt.Sprintf("line%d-%d", e.line, n), service: e.Service, plain: e.Service != "", tokens: e.Tokens}
	if account, ok := r.tree.resolved.Account(e.Account); ok {
		q.budget = account.Budget
	}
	q.bound = record.Tokens(max(e.MaxTokens, e.Tokens)) + costMargin
	return q
}
