package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Reservoir of a histogram, weighted towards the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the relay's metrics. The histograms are in microseconds.
type meters struct {
	registry metrics.Registry
	events   metrics.Counter
	resumes  metrics.Counter
	retries  metrics.Counter
	reserve  metrics.Histogram
	gap      metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry: r,
		events:   metrics.GetOrRegisterCounter("relay.events", r),
		resumes:  metrics.GetOrRegisterCounter("relay.resumes", r),
		retries:  metrics.GetOrRegisterCounter("relay.repeats", r),
		reserve:  histogram("relay.reserve_us", r),
		gap:      histogram("relay.event_gap_us", r),
	}
}

// histogram returns a histogram. Its reservoir is made only if it is new: it takes
// tens of kilobytes.
func histogram(name string, r metrics.Registry) metrics.Histogram {
	if h, ok := r.Get(name).(metrics.Histogram); ok {
		return h
	}
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// observeRequest counts the end of a request by its service and status.
func (m *meters) observeRequest(service string, status int, took time.Duration) {
	name := strings.Join([]string{"relay", "requests", service, statusName(status)}, ".")
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	histogram("relay.duration_us."+service+"."+statusName(status), m.registry).Update(took.Microseconds())
}

// statusName names a status; zero stands for an answer that was cut.
func statusName(status int) string {
	if status == 0 {
		return "cut"
	}
	return strconv.Itoa(status)
}

// observeFirstEvent counts the time to the observeFirstEvent part of an answer.
func (m *meters) observeFirstEvent(service string, took time.Duration) {
	histogram("relay.first_us."+service, m.registry).Update(took.Microseconds())
}

// observeWait counts the estimated wait at the upstream that was chosen.
func (m *meters) observeWait(service string, wait time.Duration) {
	histogram("relay.queue_us."+service, m.registry).Update(wait.Microseconds())
}
