package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/record"
)

// Reservoir of a histogram, weighted towards the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the gateway's metrics.
type meters struct {
	requests      metrics.Counter
	refused       metrics.Counter
	answered      metrics.Counter
	notRun        metrics.Counter
	unknown       metrics.Counter
	attempts      metrics.Counter
	quarantined   metrics.Counter
	retries       metrics.Counter
	resumes       metrics.Counter
	silent        metrics.Counter
	eventsPassed  metrics.Counter
	eventsDropped metrics.Counter
	overCap       metrics.Counter
	readers       metrics.Counter
	// unbilledEnds counts the answers that ended before their bill was in the log.
	unbilledEnds metrics.Counter
	// bodyBytes is the memory of requests' bodies, bodiesYielded counts those refused for it.
	bodyBytes     metrics.Gauge
	bodiesYielded metrics.Counter
	// The histograms are in microseconds.
	firstEvent metrics.Histogram
	duration   metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("gateway."+name, r)
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("gateway."+name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &meters{
		requests:      counter("requests"),
		bodyBytes:     metrics.GetOrRegisterGauge("gateway.bodies.bytes", r),
		bodiesYielded: counter("bodies.yielded"),
		refused:       counter("refused"),
		answered:      counter("outcome.answered"),
		notRun:        counter("outcome.not_run"),
		unknown:       counter("outcome.unknown"),
		attempts:      counter("attempts"),
		retries:       counter("retries"),
		quarantined:   counter("quarantined"),
		resumes:       counter("resumes"),
		silent:        counter("upstream.silent"),
		eventsPassed:  counter("events.passed"),
		eventsDropped: counter("events.dropped"),
		unbilledEnds:  counter("ended_before_billed"),
		overCap:       counter("over_cap"),
		readers:       counter("readers"),
		firstEvent:    histogram("first_event_us"),
		duration:      histogram("duration_us"),
	}
}

func (m *meters) outcome(o record.Outcome) {
	switch o {
	case record.OutcomeAnswered:
		m.answered.Inc(1)
	case record.OutcomeNotRun:
		m.notRun.Inc(1)
	default:
		m.unknown.Inc(1)
	}
}
