package hostmeter

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulingLatencies is the runtime's histogram of the times that goroutines were ready to run before
// they ran, in seconds.
const schedulingLatencies = "/sched/latencies:seconds"

// lateWakeups is the share of the wake-ups that waited for at least the time that a [RunQueue] returns.
const lateWakeups = 0.1

// minWakeups is the least number of wake-ups of which that is known.
const minWakeups = 10

// RunQueue measures how long what is ready to run waits for the processor. It is not safe for
// concurrent use.
type RunQueue struct {
	sample []metrics.Sample
	before []uint64
}

// NewRunQueue returns a RunQueue that measures from now on.
func NewRunQueue() *RunQueue {
	q := &RunQueue{sample: []metrics.Sample{{Name: schedulingLatencies}}}
	_ = q.Wait()
	return q
}

// Wait returns the time for which a tenth of the wake-ups since the last call waited at least, or zero
// if there were too few.
func (q *RunQueue) Wait() time.Duration {
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
