package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Record has what was sent, answered and run. It is written to a file as it happens.
type Record struct {
	began time.Time

	mu  sync.Mutex
	out io.WriteCloser
	// sent are the times at which clients have sent requests.
	sent     []time.Time
	arrivals []Arrival
	seen     map[string]bool
}

// Arrival is the arrival of a request at a worker, whatever the worker does with it.
type Arrival struct {
	At time.Time
	ID string
	// First is true for the first arrival of a request.
	First bool
}

// NewRecord returns a record that is written to a file.
func NewRecord(path string) (*Record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), out: out, seen: make(map[string]bool)}, nil
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

// arrive records that a request has reached a worker.
func (r *Record) arrive(id, worker string) {
	now := time.Now()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, Arrival{At: now, ID: id, First: !r.seen[id]})
	r.seen[id] = true
	r.mu.Unlock()
	r.Logf("%s reaches %s", id, worker)
}

// send records that a client sends a request.
func (r *Record) send(id, host string) {
	now := time.Now()
	r.mu.Lock()
	r.sent = append(r.sent, now)
	r.mu.Unlock()
	r.Logf("%s is sent to %s", id, host)
}

// Close closes the file.
func (r *Record) Close() { _ = r.out.Close() }
