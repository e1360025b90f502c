package ledger

import (
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/hazelworks/hazelworks/core/record"
)

// workload drives a fold by honest holders over an unreliable way to the log:
// appends are delayed, repeated and reordered, owners change, holders fall
// silent and return, operators release them.
type workload struct {
	t       *rapid.T
	rand    *rand.Rand
	fold    *Fold
	offset  record.Offset
	now     int64
	entries []record.Entry
	batches []*record.Batch
	// keptSnapshot is a snapshot that was taken at some earlier offset.
	keptSnapshot []byte
	holders      []*honestHolder
	pending      []*record.Batch
	topUps       int
	nextKey      record.RequestKey
	started      map[record.RequestKey]int64
	// billed and prepaid are worked out from the results alone.
	billed  map[record.RequestKey]bool
	spent   record.Tokens
	prepaid record.Tokens
}

// honestHolder is an honest holder with its own books of one budget.
type honestHolder struct {
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

// addHolder starts a new incarnation.
func (w *workload) addHolder() {
	a := &honestHolder{id: record.Holder{Host: "h", Incarnation: record.Incarnation(len(w.holders))}}
	w.holders = append(w.holders, a)
}

// randomInt draws evenly; rapid's own ranges favour small numbers.
func (w *workload) randomInt(low, high int) int {
	return low + w.rand.IntN(high-low+1)
}

func (w *workload) recentHolder() *honestHolder {
	return w.holders[w.randomInt(max(0, len(w.holders)-5), len(w.holders)-1)]
}

// activeHolder returns a holder that may act, or nil.
func (w *workload) activeHolder() *honestHolder {
	var list []*honestHolder
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
func (a *honestHolder) busy() bool {
	return len(a.runs) > 0 || len(a.queue) > 0 || a.sent != nil
}

// step takes one action at random.
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

func (w *workload) byActiveHolder(do func(*honestHolder)) func() {
	return func() {
		if a := w.activeHolder(); a != nil {
			do(a)
		}
	}
}

// send puts a batch of one operation on its way, under the newest epoch. Most
// batches arrive at once.
func (w *workload) send(op record.Op) {
	batch := &record.Batch{Writer: w.fold.Owner(), Seq: uint64(len(w.batches) + 1), Epoch: w.fold.Epoch(), Ops: []record.Op{op}}
	w.pending = append(w.pending, batch)
	if w.randomInt(0, 3) > 0 {
		w.append(batch)
	}
}

// deliver appends one of the batches that are on their way, and may leave a
// copy on its way.
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

// recordResult books the result of an operation for its holder and for the auditor.
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
		w.t.Fatalf("%d tokens of an honest holder are not billed", line.Unbilled)
	}
}

func (w *workload) find(id record.Holder) *honestHolder {
	i := slices.IndexFunc(w.holders, func(a *honestHolder) bool { return a.id == id })
	return w.holders[i]
}

// takeOver lets a holder claim the shard.
func (w *workload) takeOver() {
	writer := record.Holder{Host: "owner", Incarnation: record.Incarnation(w.randomInt(1, 3))}
	batch := &record.Batch{Writer: writer, Seq: uint64(len(w.batches) + 1), Ops: []record.Op{{Kind: record.KindEpoch}}}
	w.pending = append(w.pending, batch)
}

// topUp adds to the budget, or takes from it.
func (w *workload) topUp() {
	w.topUps++
	w.send(record.Op{Kind: record.KindTopUp, Budget: "m", ID: string(rune('A' + w.topUps)),
		Amount: record.Tokens(w.randomInt(-60, 100))})
}

// grant lets a holder ask for money.
func (w *workload) grant(a *honestHolder) {
	a.grantSeq++
	w.send(grant(a.id, a.grantSeq, record.Tokens(w.randomInt(1, 60))))
}

// run lets a holder start a request, a new one or a caller's retry.
func (w *workload) run(a *honestHolder) {
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

// finish lets a holder end its oldest request, if there is one.
func (w *workload) finish(a *honestHolder) {
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

// report lets a holder report one settlement, or give back what is free.
func (w *workload) report(a *honestHolder) {
	if a.sent == nil && len(a.queue) == 0 && w.randomInt(0, 5) > 0 {
		return
	}
	if a.sent == nil {
		a.sent = w.nextReport(a)
	}
	w.send(*a.sent)
}

func (w *workload) nextReport(a *honestHolder) *record.Op {
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

// close lets a holder finish, report all and end; a new incarnation follows.
func (w *workload) close(a *honestHolder) {
	w.reportAll(a)
	a.reportSeq++
	a.closing = true
	w.send(report(a.id, record.Report{Seq: a.reportSeq, Closing: true}))
	w.addHolder()
}

// reportAll reports everything that a holder has ended, and applies it.
func (w *workload) reportAll(a *honestHolder) {
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

// release lets an operator free a holder's grants, gone or not.
func (w *workload) release() {
	a := w.recentHolder()
	a.released = true
	w.send(release(a.id, "r"))
	w.addHolder()
}

// advanceTime lets time go by. Before a long time each holder reports all or falls silent.
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

// endSilence ends a holder's silence. Its requests have long timed out.
func (w *workload) endSilence() {
	a := w.recentHolder()
	a.silent = false
	for len(a.runs) > 0 {
		w.finish(a)
	}
}

// keepSnapshot takes a snapshot for later.
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

// restart replaces the fold by the kept snapshot and the records after it, and
// shows that nothing was lost and nothing is applied twice.
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
		w.t.Fatal("a restored fold differs from the one that it was taken of")
	}
	w.fold = f
}

// check compares the fold with the auditor's and the holders' own books.
func (w *workload) check() {
	if err := w.fold.Check(); err != nil {
		w.t.Fatal(err)
	}
	b, _ := w.fold.Budget("m")
	if b.Settled != w.spent || b.Prepaid != w.prepaid || w.spent > w.prepaid {
		w.t.Fatalf("books differ: %+v, spent %d of %d", b, w.spent, w.prepaid)
	}
	for _, h := range w.fold.Holders("m") {
		a := w.find(h.Holder)
		held := a.free + a.unreported
		for _, r := range a.runs {
			held += r.reserved
		}
		if !h.Released && !h.Closed && h.Outstanding != held {
			w.t.Fatalf("%s holds %d, but the fold says %d", a.id, held, h.Outstanding)
		}
	}
}
