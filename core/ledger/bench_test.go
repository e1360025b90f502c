package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

const settlementsPerReport = 40

// foldWithGrants returns a fold with the given number of budgets, of each of which two
// holders have a grant.
func foldWithGrants(b testing.TB, budgets int) *Fold {
	f := New(Options{})
	batch := &record.Batch{Writer: hostA, Ops: []record.Op{{Kind: record.KindEpoch}}}
	_, err := f.Apply(record.Entry{Offset: 1, TimeMillis: 1}, batch)
	require.NoError(b, err)
	batch = &record.Batch{Writer: hostA, Epoch: 1}
	for i := range budgets {
		id := budgetName(i)
		batch.Ops = append(batch.Ops, record.Op{Kind: record.KindTopUp, Budget: id, ID: "t", Amount: 1 << 40})
		for _, h := range []record.Holder{hostA, hostB} {
			batch.Ops = append(batch.Ops, record.Op{Kind: record.KindGrant, Budget: id, Holder: &h, Seq: uint64(i + 1), Amount: 1 << 35})
		}
	}
	_, err = f.Apply(record.Entry{Offset: 2, TimeMillis: 2}, batch)
	require.NoError(b, err)
	return f
}

func budgetName(i int) record.BudgetID {
	return record.BudgetID(fmt.Sprintf("firm-%02d/budget-%05d", i%40, i))
}

// nextReport returns a batch with one report of requests not billed before.
func nextReport(f *Fold, n, budgets int) *record.Batch {
	r := &record.Report{Seq: uint64(n + 1)}
	for i := range settlementsPerReport {
		key := xxhash.Sum64String(fmt.Sprint(n, i))
		r.Settlements = append(r.Settlements, record.Settlement{Budget: budgetName((n*7 + i) % budgets), Key: record.RequestKey(key), Cost: 400})
	}
	return &record.Batch{Writer: hostA, Epoch: f.Epoch(), Ops: []record.Op{{Kind: record.KindReport, Holder: &hostA, Report: r}}}
}

// BenchmarkFold measures the time to fold one record of 40 settlements.
func BenchmarkFold(b *testing.B) {
	for _, budgets := range []int{10, 120, 1500} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			f := foldWithGrants(b, budgets)
			batches := make([]*record.Batch, b.N)
			for i := range batches {
				batches[i] = nextReport(f, i, budgets)
			}
			b.ResetTimer()
			for i, batch := range batches {
				entry := record.Entry{Offset: f.Offset() + 1, TimeMillis: int64(i) * 500}
				if _, err := f.Apply(entry, batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*settlementsPerReport)/b.Elapsed().Seconds(), "settlements/s")
		})
	}
}

// BenchmarkMemory measures the bytes of heap and snapshot per budget and per kept
// request key.
func BenchmarkMemory(b *testing.B) {
	for _, budgets := range []int{120, 1500, 15000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			measure(b, budgets, func() *Fold { return foldWithGrants(b, budgets) })
		})
	}
	for _, keys := range []int{20_000, 80_000, 320_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			measure(b, keys, func() *Fold { return foldWithKeys(b, keys) })
		})
	}
}

// foldWithKeys returns a fold with request keys billed evenly over an hour.
func foldWithKeys(b testing.TB, keys int) *Fold {
	f := foldWithGrants(b, 1)
	reports := keys / settlementsPerReport
	hour := time.Hour.Milliseconds()
	for n := range reports {
		entry := record.Entry{Offset: f.Offset() + 1, TimeMillis: 3 + hour*int64(n)/int64(reports)}
		if _, err := f.Apply(entry, nextReport(f, n, 1)); err != nil {
			b.Fatal(err)
		}
	}
	return f
}

// measure reports the largest heap growth of b.N builds, after a garbage collection
// before each, and the snapshot size, both per item.
func measure(b *testing.B, items int, build func() *Fold) {
	var used int64
	var size int
	for range b.N {
		before := heapBytes()
		f := build()
		used = max(used, heapBytes()-before)
		data, err := f.Snapshot(time.UnixMilli(0))
		require.NoError(b, err)
		size = len(data)
		runtime.KeepAlive(f)
	}
	b.ReportMetric(float64(used)/float64(items), "heap-B/item")
	b.ReportMetric(float64(size)/float64(items), "snapshot-B/item")
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
