package relayhost

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/platform"
)

// Size and decay of a histogram's reservoir, weighted towards the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meteredLog counts the calls to the log and records their durations in microseconds.
type meteredLog struct {
	log      platform.KeyedLog
	registry metrics.Registry
	// answered is called with each answer of the log that came at once.
	answered func()
}

// quickAnswer is the time in which the log answers while no packets wait on the way. It usually takes 4 ms.
const quickAnswer = 100 * time.Millisecond

// cameAtOnce reports whether an answer came within [quickAnswer], or that long after the end of a wait for
// records. One that came before that may have been late.
func cameAtOnce(took, waited time.Duration) bool {
	return took < quickAnswer || took >= waited && took-waited < quickAnswer
}

func (m *meteredLog) Newest(ctx context.Context, stream string) ([]platform.KeyedRecord, platform.Position, error) {
	began := time.Now()
	records, next, err := m.log.Newest(ctx, stream)
	m.observe("newest", began, 0, err)
	return records, next, err
}

// Follow counts a read. It records no duration if the read may wait for records.
func (m *meteredLog) Follow(ctx context.Context, stream string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	began := time.Now()
	records, next, err := m.log.Follow(ctx, stream, from, wait)
	m.observe("follow", began, wait, err)
	return records, next, err
}

func (m *meteredLog) Put(ctx context.Context, stream string, w platform.Writer, records []platform.KeyedRecord) (platform.Position, error) {
	began := time.Now()
	end, err := m.log.Put(ctx, stream, w, records)
	m.observe("put", began, 0, err)
	return end, err
}

// Era implements platform.KeyedLog.
func (m *meteredLog) Era() platform.Era { return m.log.Era() }

func (m *meteredLog) observe(call string, began time.Time, waited time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	} else if cameAtOnce(time.Since(began), waited) {
		m.answered()
	}
	metrics.GetOrRegisterCounter("log_calls."+call+"."+outcome, m.registry).Inc(1)
	if waited > 0 {
		return
	}
	name := "log_call_us." + call
	h, ok := m.registry.Get(name).(metrics.Histogram)
	if !ok {
		h = metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	h.Update(time.Since(began).Microseconds())
}
