package settings

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// benchSizes are the numbers of entries, up to the target of 17 000.
var benchSizes = []int{1_700, 8_500, 17_000}

// generateTree returns a tree with n entries as JSON: 82 % budgets, 7 % accounts
// and 11 % upstreams, as in the target size, in 20 firms.
func generateTree(n int) []byte {
	const firms = 20
	var b strings.Builder
	b.WriteString(`{"shards":128,"firms":{`)
	for f := range firms {
		if f > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `"firm-%02d":{"defaults":{"service":{"repeatable":true},"account":{"budget":"budget-00000"}},"budgets":{`, f)
		writeList(&b, n*82/100/firms, func(i int) string { return fmt.Sprintf(`"budget-%05d":{"floor":%d}`, i, 2000+i) })
		b.WriteString(`},"accounts":{`)
		writeList(&b, n*7/100/firms, func(i int) string {
			return fmt.Sprintf(`"account-%04d":{"keys":["sha256:%032x%032x"],"budget":"budget-%05d"}`, i, f, i, i)
		})
		b.WriteString(`},"services":{"model":{"kind":"model","models":{"m":{}},"upstreams":{`)
		writeList(&b, n*11/100/firms, func(i int) string {
			return fmt.Sprintf(`"worker-%04d":{"url":"http://10.%d.%d.%d:9000","failure_domain":"d%d"}`, i, f, i/250, i%250, i%15)
		})
		b.WriteString(`}}}}`)
	}
	b.WriteString(`}}`)
	return []byte(b.String())
}

func writeList(b *strings.Builder, n int, item func(i int) string) {
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(item(i))
	}
}

func newGeneratedFold(tb testing.TB, n int) *Fold {
	var list findings.List
	tree := jsontree.ParsePlain(generateTree(n), &list)
	require.NoError(tb, list.Err())
	data, err := EncodeChange(&Change{Kind: KindEdit, ID: "seed", Edits: Edits(jsontree.NewObject(), tree)})
	require.NoError(tb, err)
	fold := NewFold()
	result := fold.Apply(entryAt(1, data))
	require.Equal(tb, StatusAccepted, result.Status, "%v", result.Decision)
	return fold
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkApply measures the application of one small change, and reports the
// heap that a fold retains.
func BenchmarkApply(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			before := heapBytes()
			fold := newGeneratedFold(b, n)
			retained := heapBytes() - before
			i := 0
			for b.Loop() {
				i++
				change := Change{Kind: KindEdit, ID: fmt.Sprint(i), Base: record.Offset(i), Edits: []Edit{newEdit("firms/firm-07/accounts/account-0001/weight", fmt.Sprint(1+i%9))}}
				data, err := EncodeChange(&change)
				require.NoError(b, err)
				require.Equal(b, StatusAccepted, fold.Apply(entryAt(record.Offset(i+1), data)).Status)
			}
			b.ReportMetric(float64(retained), "kept-B")
			runtime.KeepAlive(fold)
		})
	}
}

// BenchmarkSnapshot measures the encoding of a snapshot and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			fold := newGeneratedFold(b, n)
			size := 0
			for b.Loop() {
				data, err := EncodeSnapshot(fold.Snapshot())
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "record-B")
		})
	}
}
