package ledger

import (
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/hazelworks/hazelworks/core/record"
)

// workload applies the operations of correct holders to a fold, through an unreliable
// path to the log: appends are delayed, repeated and reordered, owners change, holders
// stop reporting and resume, and operators release holders.
type workload struct {
	t       *rapid.T
	rand    *rand.Rand
	fold    *Fold
	offset  record.Offset
	now     int64
	entries []record.Entry
	batches []*record.Batch
	// keptSnapshot is a snapshot taken at an earlier offset, nil if none was.
	keptSnapshot []byte
	holders      []*testHolder
	pending      []*record.Batch
	topUps       int
	nextKey      record.RequestKey
	started      map[record.RequestKey]int64
	// billed, spent and prepaid are computed from the results alone, independently of
	// the fold's state.
	billed  map[record.RequestKey]bool
	spent   record.Tokens
	prepaid record.Tokens
}

// testHolder is a holder that reports correctly. It keeps its own account of one
// budget.
type testHolder struct {
	id         record.Holder
	grantSeq   uint64
	reportSeq  uint64
	free       record.Tokens
	runs       []run
	queue      []record.Settlement
	unreported record.Tokens
	// sent is the report that has not been applied yet.
	sent     *record.Op
	silent   bool
	closing  bool
	released bool
}

type run struct {
	key      record.RequestKey
	reserved record.Tokens
}

var workloadOptions = Options{Window: time.Hour}

func newWorkload(t *rapid.T) *workload {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &workload{t: t, rand: rand.New(rand.NewPCG(seed, 0)), fold: New(workloadOptions), now: 1_000_000_000,
		started: make(map[record.RequestKey]int64), billed: make(map[record.RequestKey]bool)}
	w.takeOver()
	w.append(w.pending[0])
	w.append(&record.Batch{Ops: []record.Op{topUp("first", record.Tokens(w.randomInt(100, 1000)))}})
	for range 3 {
		w.addHolder()
	}
	return w
}

// addHolder adds a new incarnation.
func (w *workload) addHolder() {
	a := &testHolder{id: record.Holder{Host: "h", Incarnation: record.Incarnation(len(w.holders))}}
	w.holders = append(w.holders, a)
}

// randomInt returns a uniformly distributed number from low to high; rapid's own
// ranges favour small numbers.
func (w *workload) randomInt(low, high int) int {
	return low + w.rand.IntN(high-low+1)
}

func (w *workload) recentHolder() *testHolder {
	return w.holders[w.randomInt(max(0, len(w.holders)-5), len(w.holders)-1)]
}

// activeHolder returns a random holder that may act, or nil.
func (w *workload) activeHolder() *testHolder {
	var list []*testHolder
	for _, a := range w.holders {
		if !a.silent && !a.closing && (!a.released || a.busy()) {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[w.randomInt(0, len(list)-1)]
}

// busy reports whether the holder has requests that are not billed yet.
func (a *testHolder) busy() bool {
	return len(a.runs) > 0 || len(a.queue) > 0 || a.sent != nil
}

// step runs one random action.
func (w *workload) step() {
	actions := []struct {
		weight int
		do     func()
	}{
		{6, w.deliver}, {1, w.takeOver}, {2, w.topUp}, {2, w.advanceTime}, {3, w.endSilence}, {1, w.keepSnapshot}, {1, w.restart}, {1, w.release},
		{5, w.byActiveHolder(w.grant)}, {8, w.byActiveHolder(w.run)}, {8, w.byActiveHolder(w.finish)}, {8, w.byActiveHolder(w.report)}, {1, w.byActiveHolder(w.close)},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	pick := w.randomInt(0, total-1)
	for _, a := range actions {
		if pick < a.weight {
			a.do()
			return
		}
		pick -= a.weight
	}
}

func (w *workload) byActiveHolder(do func(*testHolder)) func() {
	return func() {
		if a := w.activeHolder(); a != nil {
			do(a)
		}
	}
}

// send adds a batch of one operation, under the newest epoch, to the batches in
// flight. Most batches are appended immediately and stay in flight as copies.
func (w *workload) send(op record.Op) {
	batch := &record.Batch{Writer: w.fold.Owner(), Seq: uint64(len(w.batches) + 1), Epoch: w.fold.Epoch(), Ops: []record.Op{op}}
	w.pending = append(w.pending, batch)
	if w.randomInt(0, 3) > 0 {
		w.append(batch)
	}
}

// deliver appends one of the batches in flight, and may leave a copy of it in flight.
func (w *workload) deliver() {
	if len(w.pending) == 0 {
		return
	}
	i := w.randomInt(0, len(w.pending)-1)
	batch := w.pending[i]
	if w.randomInt(0, 3) > 0 {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
	w.append(batch)
}

func (w *workload) append(batch *record.Batch) {
	w.offset++
	entry := record.Entry{Offset: w.offset, TimeMillis: w.now}
	w.entries = append(w.entries, entry)
	w.batches = append(w.batches, batch)
	results, err := w.fold.Apply(entry, batch)
	if err != nil {
		w.t.Fatal(err)
	}
	for i, res := range results {
		w.recordResult(&batch.Ops[i], res)
	}
}

// recordResult adds the result of an operation to the holder's account and to the
// workload's totals.
func (w *workload) recordResult(op *record.Op, res Result) {
	if !res.Applied {
		return
	}
	switch op.Kind {
	case record.KindTopUp:
		w.prepaid += res.Amount
	case record.KindGrant:
		w.find(*op.Holder).free += res.Granted
	case record.KindReport:
		w.recordReportResult(op, res)
	}
}

func (w *workload) recordReportResult(op *record.Op, res Result) {
	a := w.find(*op.Holder)
	a.sent = nil
	if len(res.Lines) == 0 {
		return
	}
	line := res.Lines[0]
	a.free += line.Duplicate
	a.unreported -= line.Billed + line.Duplicate + line.Unbilled + line.Returned
	w.spent += line.Billed
	for _, s := range op.Report.Settlements {
		if line.Billed > 0 && w.billed[s.Key] {
			w.t.Fatalf("request %d is billed twice", s.Key)
		}
		w.billed[s.Key] = w.billed[s.Key] || line.Billed > 0
	}
	if line.Unbilled > 0 && !a.released {
		w.t.Fatalf("%d tokens of a correct holder are not billed", line.Unbilled)
	}
}

func (w *workload) find(id record.Holder) *testHolder {
	i := slices.IndexFunc(w.holders, func(a *testHolder) bool { return a.id == id })
	return w.holders[i]
}

// takeOver puts a batch in flight by which a writer takes over the shard.
func (w *workload) takeOver() {
	writer := record.Holder{Host: "owner", Incarnation: record.Incarnation(w.randomInt(1, 3))}
	batch := &record.Batch{Writer: writer, Seq: uint64(len(w.batches) + 1), Ops: []record.Op{{Kind: record.KindEpoch}}}
	w.pending = append(w.pending, batch)
}

// topUp increases or reduces the budget.
func (w *workload) topUp() {
	w.topUps++
	w.send(record.Op{Kind: record.KindTopUp, Budget: "m", ID: string(rune('A' + w.topUps)),
		Amount: record.Tokens(w.randomInt(-60, 100))})
}

// grant lets a holder request a grant.
func (w *workload) grant(a *testHolder) {
	a.grantSeq++
	w.send(grant(a.id, a.grantSeq, record.Tokens(w.randomInt(1, 60))))
}

// run lets a holder start a request, either a new one or a caller's retry.
func (w *workload) run(a *testHolder) {
	amount := record.Tokens(w.randomInt(1, 20))
	if a.free < amount {
		return
	}
	key := w.nextKey - record.RequestKey(w.randomInt(0, 2))
	started, known := w.started[key]
	if !known || w.randomInt(0, 1) == 0 || w.now-started > workloadOptions.Window.Milliseconds()/8 {
		w.nextKey++
		key = w.nextKey
		w.started[key] = w.now
	}
	a.free -= amount
	a.runs = append(a.runs, run{key: key, reserved: amount})
}

// finish completes the holder's oldest request, if there is one.
func (w *workload) finish(a *testHolder) {
	if len(a.runs) == 0 {
		return
	}
	r := a.runs[0]
	a.runs = a.runs[1:]
	cost := record.Tokens(w.randomInt(1, int(r.reserved)))
	a.free += r.reserved - cost
	a.unreported += cost
	a.queue = append(a.queue, record.Settlement{Budget: "m", Key: r.key, Cost: cost})
}

// report lets a holder report one settlement or return a part of its free amount. An
// unapplied report is sent again.
func (w *workload) report(a *testHolder) {
	if a.sent == nil && len(a.queue) == 0 && w.randomInt(0, 5) > 0 {
		return
	}
	if a.sent == nil {
		a.sent = w.nextReport(a)
	}
	w.send(*a.sent)
}

func (w *workload) nextReport(a *testHolder) *record.Op {
	a.reportSeq++
	r := record.Report{Seq: a.reportSeq}
	if len(a.queue) > 0 {
		r.Settlements = a.queue[:1:1]
		a.queue = a.queue[1:]
	} else {
		amount := record.Tokens(w.randomInt(0, int(a.free)))
		a.free -= amount
		a.unreported += amount
		r.Returns = []record.Return{{Budget: "m", Amount: amount}}
	}
	op := report(a.id, r)
	return &op
}

// close lets a holder finish its requests, report all and close. A new incarnation
// replaces it.
func (w *workload) close(a *testHolder) {
	w.reportAll(a)
	a.reportSeq++
	a.closing = true
	w.send(report(a.id, record.Report{Seq: a.reportSeq, Closing: true}))
	w.addHolder()
}

// reportAll finishes all requests of a holder, reports them and applies the reports.
func (w *workload) reportAll(a *testHolder) {
	for len(a.runs) > 0 {
		w.finish(a)
	}
	for a.sent != nil || len(a.queue) > 0 {
		w.report(a)
		if a.sent != nil {
			w.append(w.pending[len(w.pending)-1])
		}
	}
}

// release lets an operator release a holder, whether or not it still runs.
func (w *workload) release() {
	a := w.recentHolder()
	a.released = true
	w.send(release(a.id, "r"))
	w.addHolder()
}

// advanceTime advances the log time. Before a long step, each holder either reports
// all or becomes silent.
func (w *workload) advanceTime() {
	if w.randomInt(0, 5) > 0 {
		w.now += int64(w.randomInt(0, 60_000))
		return
	}
	for _, a := range w.holders {
		a.silent = a.silent || w.randomInt(0, 2) == 0
		if !a.silent && !a.closing {
			w.reportAll(a)
		}
	}
	w.now += int64(w.randomInt(1, 300)) * 60_000
}

// endSilence lets a holder report again. It finishes its requests, which have timed
// out by then.
func (w *workload) endSilence() {
	a := w.recentHolder()
	a.silent = false
	for len(a.runs) > 0 {
		w.finish(a)
	}
}

// keepSnapshot takes a snapshot for a later restart.
func (w *workload) keepSnapshot() {
	w.keptSnapshot = w.snapshot(w.fold)
}

func (w *workload) snapshot(f *Fold) []byte {
	data, err := f.Snapshot(time.UnixMilli(0))
	if err != nil {
		w.t.Fatal(err)
	}
	return data
}

// restart restores the kept snapshot and replays the records after it. It checks that
// no operation is lost or applied twice.
func (w *workload) restart() {
	if w.keptSnapshot == nil {
		return
	}
	f, err := Restore(w.keptSnapshot)
	if err != nil {
		w.t.Fatal(err)
	}
	for i := max(0, int(f.Offset())-3); i < len(w.entries); i++ {
		if _, err := f.Apply(w.entries[i], w.batches[i]); err != nil {
			w.t.Fatal(err)
		}
	}
	if !slices.Equal(w.snapshot(f), w.snapshot(w.fold)) {
		w.t.Fatal("the restored fold differs from the original")
	}
	w.fold = f
}

// check compares the fold with the workload's totals and the holders' own accounts.
func (w *workload) check() {
	if err := w.fold.Check(); err != nil {
		w.t.Fatal(err)
	}
	b, _ := w.fold.Budget("m")
	if b.Settled != w.spent || b.Prepaid != w.prepaid || w.spent > w.prepaid {
		w.t.Fatalf("totals differ: fold %+v, spent %d of %d prepaid", b, w.spent, w.prepaid)
	}
	for _, h := range w.fold.Holders("m") {
		a := w.find(h.Holder)
		held := a.free + a.unreported
		for _, r := range a.runs {
			held += r.reserved
		}
		if !h.Released && !h.Closed && h.Outstanding != held {
			w.t.Fatalf("holder %s has %d, but the fold has %d outstanding", a.id, held, h.Outstanding)
		}
	}
}
