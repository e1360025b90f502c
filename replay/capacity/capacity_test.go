package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleOutput = `
goos: linux
BenchmarkFold/budgets=10-12   	 10000	 40000 ns/op	 816459 settlements/s
BenchmarkFold/budgets=20-12   	 10000	 60000 ns/op	 816459 settlements/s
BenchmarkFold/budgets=30-12   	 10000	 80000 ns/op	 816459 settlements/s
BenchmarkMemory/keys=100-12   	 9	 25463266 ns/op	 11.0 heap-B/item	 8.0 snapshot-B/item
BenchmarkDecide/candidates=20/prefix=true-12  	 5 	 449.5 ns/op	 0 B/op	 0 allocs/op
BenchmarkEmptyRead-12    	     262	   1417520 ns/op	       273.0 wire-B
    measure_test.go:44: 620 hosts: 424 B/s sent and received by each host, 1316 B/s with IP and TCP headers, 17.2 segments/s
ok  	example	1.0s
`

func TestParseResults(t *testing.T) {
	results, err := parseResults(strings.NewReader(sampleOutput))
	require.NoError(t, err)
	require.Len(t, results, 7)
	require.Equal(t, result{
		benchmark: "Decide/candidates/prefix=true",
		size:      20,
		values:    map[string]float64{"ns/op": 449.5, "B/op": 0, "allocs/op": 0},
	}, results[4])
	require.Equal(t, "EmptyRead", results[5].benchmark)
	require.Equal(t, 620.0, results[6].size)
}

func TestFitIsLeastSquaresLine(t *testing.T) {
	results, err := parseResults(strings.NewReader(sampleOutput))
	require.NoError(t, err)
	fold := quantities[0]
	s := fit(fold, pointsOf(results, fold))
	require.InDelta(t, 20000, s.base, 1)
	require.InDelta(t, 2000, s.perUnit, 1)
	require.InDelta(t, 0, s.maxDeviation, 1e-9)
}

func TestMissingResultsAreReportedTogether(t *testing.T) {
	results, err := parseResults(strings.NewReader(sampleOutput))
	require.NoError(t, err)
	_, err = fitAll(results)
	require.ErrorContains(t, err, "BenchmarkReport/settlements")
	require.ErrorContains(t, err, "BenchmarkApply/entries")
}

func TestOnlyTheMeasuredPartOfThePageIsReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	require.NoError(t, os.WriteFile(path, []byte("head\n"+beginMark+"\nold\n"+endMark+"\ntail\n"), 0o600))
	require.NoError(t, replaceMeasured(path, "new"))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "head\n"+beginMark+"\n\nnew\n"+endMark+"\ntail\n", string(data))
}

func TestLongerSlicesMakeFewerGrants(t *testing.T) {
	short := model{plan: plan{shards: 128, flushSeconds: 1, sliceSeconds: 3}}
	long := model{plan: plan{shards: 128, flushSeconds: 1, sliceSeconds: 300}}
	require.Greater(t, short.grantRate(), 10*long.grantRate())
	require.LessOrEqual(t, short.grantRate(), requestsPerSecond/hosts)
}
