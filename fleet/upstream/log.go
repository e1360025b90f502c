package upstream

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/route"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// poolMetrics holds the metrics of a pool.
type poolMetrics struct {
	registry metrics.Registry
	waited   metrics.Histogram // milliseconds
	silent   metrics.Counter
	polls    metrics.Counter
}

// sampleSize is the number of values that the histogram keeps.
const sampleSize = 1028

// newPoolMetrics uses no meters or timers: their shared ticker would stop the
// virtual time of tests.
func newPoolMetrics(r metrics.Registry) poolMetrics {
	return poolMetrics{
		registry: r,
		waited:   metrics.GetOrRegisterHistogram("upstream.waited_ms", r, metrics.NewUniformSample(sampleSize)),
		silent:   metrics.GetOrRegisterCounter("upstream.silent", r),
		polls:    metrics.GetOrRegisterCounter("upstream.polls", r),
	}
}

func (m *poolMetrics) count(name string) {
	metrics.GetOrRegisterCounter("upstream."+name, m.registry).Inc(1)
}

func (p *Pool) logChosen(q dispatch.Query, l *lease) {
	p.metrics.waited.Update(l.decision.Waited.Milliseconds())
	p.metrics.count("chosen." + l.decision.Reason)
	p.log.WithName("route").Info("Chosen.",
		"request", q.RequestID,
		"account", q.Account,
		"service", q.Service.Name,
		"candidates", l.decision.Candidates,
		"chosen", l.up.ID,
		"reason", l.decision.Reason,
		"waited", l.decision.Waited.Round(time.Microsecond).String(),
	)
}

func (p *Pool) logRefused(q dispatch.Query, err error) {
	reason := reasonOf(err)
	p.metrics.count("refused." + reason)
	p.log.WithName("route").Info("Refused.",
		"request", q.RequestID,
		"account", q.Account,
		"service", q.Service.Name,
		"reason", reason,
	)
}

func (p *Pool) logState(service, id string, before, after route.State) {
	p.metrics.count("state." + string(after))
	p.log.Info("Upstream state changed.", "service", service, "upstream", id, "before", before, "after", after)
}
