package replay

import (
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

// faultTrace is a quiet minute with one model and one plain service.
const faultTrace = `{"trace":"faults","seed":1,"duration":"40s","hosts":[{"id":"h1","failure_domain":"a"},{"id":"h2","failure_domain":"b"}],"engines":{"first_token":"50ms","token_interval":"5ms"},"settings":{"schema":1,"shards":2,"firms":{"mb":{"budgets":{"x":{}},"accounts":{"x":{"budget":"x"}},"services":{"m":{"kind":"model","repeatable":true,"models":{"m":{"version":"1"}},"upstreams":{"m1":{"failure_domain":"a"}}},"p":{"kind":"plain","repeatable":false,"price":{"per_call":5},"upstreams":{"p1":{"failure_domain":"b"}}}}}}},"outcomes":[{"measure":"overspend_tokens","comparison":"==","bound":0}]}
{"at":"0s","event":"top-up","budget":"mb/x","amount":20000}
{"at":"5s","event":"load","account":"mb/x","rate":1,"for":"20s","model":"m","tokens":5,"max_tokens":9}
{"at":"5s","event":"load","account":"mb/x","rate":0.5,"for":"20s","service":"mb/p"}`

// stream returns the name of the shard stream that holds the bills.
func (r *run) billStream() string {
	return record.StreamOfShard(record.ShardOf("mb/x", r.tree.resolved.Shards))
}

// forge adds a batch to the kept log an hour after its end.
func (r *run) forge(t *testing.T, batch *record.Batch) {
	name := r.billStream()
	kept := r.kept[name]
	last := kept[len(kept)-1]
	data, err := record.EncodeBatch(batch)
	require.NoError(t, err)
	r.kept[name] = append(kept, record.Entry{Offset: last.Offset + 1, TimeMillis: last.TimeMillis + time.Hour.Milliseconds(), Data: data})
}

// forgeGrant adds a grant of a holder that is no host of the trace.
func (r *run) forgeGrant(t *testing.T) record.Holder {
	holder := record.Holder{Host: "forger", Incarnation: 1}
	epoch := record.Op{Kind: record.KindEpoch}
	grant := record.Op{Kind: record.KindGrant, Budget: "mb/x", Holder: &holder, Seq: 1, Amount: 500}
	r.forge(t, &record.Batch{Writer: holder, Seq: 1, OpensEpoch: true, Ops: []record.Op{epoch, grant}})
	return holder
}

// repeatBill forges a record in which a holder bills its last request again.
func (r *run) repeatBill(t *testing.T) {
	for _, entry := range r.kept[r.billStream()] {
		batch, err := record.DecodeBatch(entry.Data)
		require.NoError(t, err)
		for _, op := range batch.Ops {
			if op.Kind != record.KindReport || len(op.Report.Settlements) == 0 {
				continue
			}
			holder := r.forgeGrant(t)
			op.Holder = &holder
			op.Report.Seq = 1
			op.Report.Returns = nil
			r.forge(t, &record.Batch{Writer: holder, Seq: 2, Ops: []record.Op{op}})
			return
		}
	}
	t.Fatal("no bill in the log")
}

// TestChecksCanFail shows for each promise that its check sees a breach.
func TestChecksCanFail(t *testing.T) {
	first := func(r *run, plain bool) *request {
		for _, q := range r.books.requests {
			if q.plain == plain {
				return q
			}
		}
		t.Fatal("no request")
		return nil
	}
	tests := []struct {
		name    string
		measure Measure
		breach  func(t *testing.T, r *run)
	}{
		{"no breach", "", func(*testing.T, *run) {}},
		{"work without prepaid tokens", MeasureOverspend, func(_ *testing.T, r *run) { r.kept = map[string][]record.Entry{} }},
		{"answers that no bill covers", MeasureBilledNever, func(_ *testing.T, r *run) { r.kept = map[string][]record.Entry{} }},
		{"a ledger that forgets too early", MeasureBilledTwice, func(t *testing.T, r *run) {
			r.ledger = ledger.Options{Window: time.Millisecond}
			r.repeatBill(t)
		}},
		{"a ledger that differs from the log", MeasureLedgerDiffers, func(t *testing.T, r *run) {
			r.ledger = ledger.Options{Window: time.Millisecond}
			r.repeatBill(t)
		}},
		{"a bill with another cost", MeasureBilledWrong, func(_ *testing.T, r *run) { first(r, false).tokens-- }},
		{"a booking that takes effect twice", MeasureRanTwice, func(_ *testing.T, r *run) {
			again := httptest.NewRequest("POST", "/book", strings.NewReader("x"))
			again.Header.Set("Hazel-Request-Id", first(r, true).engineID())
			r.plains["mb/p/p1"].Handler().ServeHTTP(httptest.NewRecorder(), again)
		}},
		{"told not run after it ran", MeasureNotRunRan, func(_ *testing.T, r *run) {
			q := first(r, true)
			q.attempts = []attempt{{at: time.Now(), verdict: verdictNotRun}}
		}},
		{"another request's answer", MeasureWrongAnswer, func(_ *testing.T, r *run) {
			first(r, false).attempts[0].text = r.books.requests[len(r.books.requests)-1].attempts[0].text
		}},
		{"refused with tokens left", MeasureRefusedHealthy, func(_ *testing.T, r *run) {
			first(r, false).attempts = []attempt{{at: time.Now(), verdict: verdictNotRun, code: "budget-spent"}}
		}},
		{"given up without a fault", MeasureUnanswered, func(_ *testing.T, r *run) { first(r, true).attempts = nil }},
		{"a reply that breaks off", MeasureCutOff, func(_ *testing.T, r *run) { first(r, false).attempts[0].cutOff = true }},
		{"work for an upstream that left", MeasureSentLeaving, func(_ *testing.T, r *run) { r.left["mb/m/m1"] = r.began }},
		{"a lost host that holds a grant", MeasureStranded, func(t *testing.T, r *run) { r.forgeGrant(t) }},
	}
	trace, err := Parse("faults", strings.NewReader(faultTrace))
	require.NoError(t, err)
	metrics.NewMeter().Stop() // starts the library's own ticker outside the bubble
	synctest.Test(t, func(t *testing.T) {
		for _, test := range tests {
			r, err := playTrace(trace, 1, logr.Discard())
			require.NoError(t, err)
			test.breach(t, r)
			report := r.report(1)
			for _, m := range []Measure{MeasureOverspend, MeasureBilledTwice, MeasureBilledNever, MeasureBilledWrong, MeasureLedgerDiffers,
				MeasureRanTwice, MeasureNotRunRan, MeasureWrongAnswer, MeasureRefusedHealthy, MeasureUnanswered, MeasureStranded, MeasureCutOff, MeasureSentLeaving} {
				if m == test.measure {
					require.Positive(t, report.Values[m], test.name)
				} else if test.measure == "" {
					require.Zero(t, report.Values[m], "%s: %s: %v", test.name, m, report.Examples)
				}
			}
			time.Sleep(time.Minute)
		}
	})
}
