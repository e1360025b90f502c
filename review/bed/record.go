package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Record has what was sent, answered and run. It is written to a file as it happens.
type Record struct {
	began time.Time

	mu   sync.Mutex
	out  io.WriteCloser
	runs map[string][]*Run
}

// Run is one run of a request at a worker.
type Run struct {
	events atomic.Int64
}

// NewRecord returns a record that is written to a file.
func NewRecord(path string) (*Record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), out: out, runs: make(map[string][]*Run)}, nil
}

// Logf writes a line with the seconds since the begin.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf writes a line to the record and to the standard output.
func (r *Record) Sayf(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// run records that a worker begins to run a request.
func (r *Record) run(id, tenant, worker string) *Run {
	run := &Run{}
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], run)
	r.mu.Unlock()
	r.Logf("run %s of %s at %s", id, tenant, worker)
	return run
}

// delivered returns the most events that one run of a request has sent, and whether it has run.
func (r *Record) delivered(id string) (events int64, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs[id] {
		events, ran = max(events, run.events.Load()), true
	}
	return events, ran
}

// Close closes the file.
func (r *Record) Close() { _ = r.out.Close() }
