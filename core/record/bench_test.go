package record

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func reportBatch(settlements int) *Batch {
	holder := Holder{Host: "north-east-router-0123", Incarnation: 1796330994621179754}
	report := &Report{Seq: 1234}
	for i := range settlements {
		report.Settlements = append(report.Settlements, Settlement{
			Budget: BudgetID(fmt.Sprintf("firm-%02d/budget-%05d", i%4, i%16)),
			Key:    KeyOf("firm/account", fmt.Sprint(i)),
			Cost:   Tokens(400 + i),
		})
	}
	return &Batch{Writer: holder, Seq: 99, Epoch: 12345, Ops: []Op{{Kind: KindReport, Holder: &holder, Report: report}}}
}

// BenchmarkReport measures the time to encode a report and its encoded size.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("settlements=%d", n), func(b *testing.B) {
			batch := reportBatch(n)
			size := 0
			for b.Loop() {
				data, err := EncodeBatch(batch)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "record-B")
		})
	}
}
