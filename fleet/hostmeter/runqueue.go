package hostmeter

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"runtime/metrics"
	"sync"
	"time"
)

// schedulingLatencies is the runtime's histogram of the times that goroutines were ready to run before
// they ran, in seconds.
const schedulingLatencies = "/sched/latencies:seconds"

// lateWakeups is the share of the wake-ups that waited for at least the time that a [RunQueue] returns.
const lateWakeups = 0.1

// minWakeups is the least number of wake-ups of which that is known.
const minWakeups = 10

// RunQueue measures how long what is ready to run waits for the processor: goroutines in the run queue,
// and input that the runtime has not noticed yet, because it looks for input when nothing else is to be
// run. Its Wait is not safe for concurrent use.
type RunQueue struct {
	sample []metrics.Sample
	before []uint64
	probe  *inputProbe
}

// NewRunQueue returns a RunQueue that measures from now on. It returns an error if no pipe can be
// opened.
func NewRunQueue() (*RunQueue, error) {
	probe, err := newInputProbe()
	if err != nil {
		return nil, err
	}
	q := &RunQueue{sample: []metrics.Sample{{Name: schedulingLatencies}}, probe: probe}
	_ = q.Wait()
	return q, nil
}

// Close releases the pipe.
func (q *RunQueue) Close() error { return q.probe.close() }

// Wait returns the time for which a tenth of the wake-ups since the last call waited at least, or the
// last input if that waited longer.
func (q *RunQueue) Wait() time.Duration { return max(q.schedulingWait(), q.probe.next(time.Now())) }

// schedulingWait returns the time for which a tenth of the wake-ups since the last call waited at least,
// or zero if there were too few.
func (q *RunQueue) schedulingWait() time.Duration {
	metrics.Read(q.sample)
	if q.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // not known to this runtime
	}
	h := q.sample[0].Value.Float64Histogram()
	counts := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		counts[i] = n
		if i < len(q.before) {
			counts[i] -= q.before[i]
		}
	}
	q.before = append(q.before[:0], h.Counts...)
	return upperQuantile(counts, h.Buckets)
}

// upperQuantile returns the lower bound of the bucket in which the upper lateWakeups of the counts
// begin, or zero if there are fewer than minWakeups. bounds has one bound more than counts.
func upperQuantile(counts []uint64, bounds []float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	if total < minWakeups {
		return 0
	}
	left := uint64(math.Ceil(lateWakeups * float64(total)))
	for i := len(counts) - 1; i >= 0; i-- {
		if counts[i] >= left {
			return time.Duration(max(0, bounds[i]) * float64(time.Second))
		}
		left -= counts[i]
	}
	return 0
}

// inputProbe measures how long a byte in a pipe waits for its reader.
type inputProbe struct {
	in, out *os.File

	mu sync.Mutex
	// sentAt is when the byte was written that has not been read, or zero.
	sentAt time.Time
	// waited is how long the last byte waited.
	waited time.Duration
}

func newInputProbe() (*inputProbe, error) {
	out, in, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("hostmeter: pipe: %w", err)
	}
	p := &inputProbe{in: in, out: out}
	go p.read()
	return p, nil
}

func (p *inputProbe) read() {
	var one [1]byte
	for {
		if _, err := io.ReadFull(p.out, one[:]); err != nil {
			return // closed
		}
		p.mu.Lock()
		p.waited, p.sentAt = time.Since(p.sentAt), time.Time{}
		p.mu.Unlock()
	}
}

// next returns how long the last byte has waited, and writes another one if it has been read.
func (p *inputProbe) next(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sentAt.IsZero() {
		return now.Sub(p.sentAt)
	}
	waited := p.waited
	p.waited = 0
	if _, err := p.in.Write([]byte{0}); err == nil {
		p.sentAt = now
	}
	return waited
}

func (p *inputProbe) close() error { return errors.Join(p.in.Close(), p.out.Close()) }
