package replay

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

var (
	traceFile = flag.String("trace", "", "trace file to replay instead of those in traces/")
	jsonFile  = flag.String("json", "", "file for the reports")
	seeds     = flag.Int("seeds", 1, "number of seeds; the timings differ")
	hostLogs  = flag.Bool("logs", false, "print the hosts' logs")
)

// TestMain drops the lines that the HTTP libraries print about cut connections.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func load(t *testing.T, file string) *Trace {
	t.Helper()
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	trace, err := Parse(file, f)
	require.NoError(t, err)
	return trace
}

// replayed runs a trace under one seed in virtual time.
func replayed(t *testing.T, trace *Trace, seed uint64) *Report {
	metrics.NewMeter().Stop() // starts the library's own ticker outside the bubble
	var report *Report
	synctest.Test(t, func(t *testing.T) {
		logger := logr.Discard()
		if *hostLogs {
			logger = testr.NewWithOptions(t, testr.Options{Verbosity: 1})
		}
		var err error
		report, err = Run(trace, seed, logger)
		require.NoError(t, err)
		time.Sleep(time.Minute) // lets the last timers of closed connections end
	})
	return report
}

// TestTraces replays traces and fails when an outcome is not met.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("../traces/*.jsonl")
	require.NoError(t, err)
	if *traceFile != "" {
		files = []string{*traceFile}
	}
	var mu sync.Mutex
	var reports []*Report
	t.Run("replays", func(t *testing.T) {
		for _, file := range files {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".jsonl"), func(t *testing.T) {
				t.Parallel()
				done := replaySeeds(t, load(t, file))
				mu.Lock()
				defer mu.Unlock()
				reports = append(reports, done...)
			})
		}
	})
	if *jsonFile != "" {
		data, err := json.MarshalIndent(reports, "", "  ")
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(*jsonFile, data, 0o644))
	}
}

// replaySeeds replays a trace under each seed and prints the tables.
func replaySeeds(t *testing.T, trace *Trace) []*Report {
	var reports []*Report
	for i := range *seeds {
		began := time.Now()
		report := replayed(t, trace, trace.Seed+uint64(i))
		reports = append(reports, report)
		t.Logf("seed %d, replayed in %s\n%s", report.Seed, time.Since(began).Round(time.Millisecond), table(report))
		if !report.Met() {
			t.Errorf("seed %d: outcomes are not met; examples: %v", report.Seed, report.Examples)
		}
	}
	return reports
}

func table(r *Report) string {
	var out strings.Builder
	for _, l := range r.Lines {
		verdict := "met"
		if !l.Met {
			verdict = "NOT MET"
		}
		fmt.Fprintf(&out, "%-30s %s %10.2f   measured %10.2f   %s\n", l.Measure, l.Comparison, l.Bound, l.Measured, verdict)
	}
	for _, m := range Measures() {
		fmt.Fprintf(&out, "  %-30s %12.2f\n", m, r.Values[m])
	}
	return out.String()
}
