package relay

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/fleet/exchange"
)

// Size and decay of a histogram's reservoir, weighted towards the last five minutes.
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
	eventGap metrics.Histogram
	// quarantined counts the requests that were not sent, or not sent again, because of a
	// quarantine.
	quarantined metrics.Counter
	// notResumed counts the streams that could not go on because no upstream of the version
	// that has begun them takes requests, or that version is not known.
	notResumed metrics.Counter
	// overload counts the requests that were rejected because this host had too many.
	overload metrics.Counter
	// forwarded counts the requests that other hosts have sent for this one, helped those that
	// this host has taken from others.
	forwarded metrics.Counter
	helped    metrics.Counter
	// bodyBytes is the memory that the bodies of requests hold. bodiesYielded counts those that were
	// refused because it was needed for others.
	bodyBytes     metrics.Gauge
	bodiesYielded metrics.Counter
	// malformed counts the attempts whose answer was not valid, brokenOff those whose connection failed or
	// ended before the end of their answer, and after its head.
	malformed metrics.Counter
	brokenOff metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry: r,
		events:   metrics.GetOrRegisterCounter("relay.events", r),
		resumes:  metrics.GetOrRegisterCounter("relay.resumes", r),
		retries:  metrics.GetOrRegisterCounter("relay.repeats", r),
		reserve:  histogram("relay.reserve_us", r),
		eventGap: histogram("relay.event_gap_us", r),

		quarantined: metrics.GetOrRegisterCounter("relay.quarantined", r),
		overload:    metrics.GetOrRegisterCounter("relay.overload", r),
		forwarded:   metrics.GetOrRegisterCounter("relay.forwarded", r),
		helped:      metrics.GetOrRegisterCounter("relay.helped", r),
		notResumed:  metrics.GetOrRegisterCounter("relay.not_resumed", r),

		bodyBytes:     metrics.GetOrRegisterGauge("relay.body_bytes", r),
		bodiesYielded: metrics.GetOrRegisterCounter("relay.bodies_yielded", r),

		malformed: metrics.GetOrRegisterCounter("relay.answers_malformed", r),
		brokenOff: metrics.GetOrRegisterCounter("relay.answers_broken_off", r),
	}
}

// countLost counts an attempt that ended with an error, which may be nil, if its answer was broken.
func (m *meters) countLost(err error) {
	switch {
	case errors.Is(err, exchange.ErrMalformed):
		m.malformed.Inc(1)
	case errors.Is(err, exchange.ErrBrokenOff):
		m.brokenOff.Inc(1)
	}
}

// histogram returns the histogram of a name. It allocates a reservoir, which takes
// tens of kilobytes, only for a new name.
func histogram(name string, r metrics.Registry) metrics.Histogram {
	if h, ok := r.Get(name).(metrics.Histogram); ok {
		return h
	}
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// observeRequest counts a request by its service and status, and records its duration.
func (m *meters) observeRequest(service string, status int, took time.Duration) {
	name := strings.Join([]string{"relay", "requests", service, statusName(status)}, ".")
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	histogram("relay.duration_us."+service+"."+statusName(status), m.registry).Update(took.Microseconds())
}

// statusName returns the name of a status in metrics; zero means that the answer was
// cut off.
func statusName(status int) string {
	if status == 0 {
		return "cut"
	}
	return strconv.Itoa(status)
}

// observeFirstEvent records the time from a request's arrival to the start of its answer.
func (m *meters) observeFirstEvent(service string, took time.Duration) {
	histogram("relay.first_us."+service, m.registry).Update(took.Microseconds())
}

// observeWait records the estimated wait at the upstream that was chosen.
func (m *meters) observeWait(service string, wait time.Duration) {
	histogram("relay.queue_us."+service, m.registry).Update(wait.Microseconds())
}
