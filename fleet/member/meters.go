package member

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/membership"
	"github.com/hazelworks/hazelworks/core/statechart"
)

var errUnknownHost = errors.New("member: the host is not known")

// meters are the metrics of [Members].
type meters struct {
	hosts       map[statechart.State]metrics.Gauge
	probes      metrics.Counter
	probeErrors metrics.Counter
	failures    metrics.Counter
	pushes      metrics.Counter
	transitions metrics.Counter
	replaced    metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("member."+name, r)
	}
	hosts := make(map[statechart.State]metrics.Gauge)
	for _, state := range []statechart.State{membership.StateLive, membership.StateSuspected, membership.StateLeaving} {
		hosts[state] = metrics.GetOrRegisterGauge("member.hosts_"+string(state), r)
	}
	return meters{
		hosts:       hosts,
		probes:      counter("probes"),
		probeErrors: counter("probe_errors"),
		failures:    counter("reported_failures"),
		pushes:      counter("pushes"),
		transitions: counter("transitions"),
		replaced:    counter("connections_replaced"),
	}
}

func (m *Members) updateMeters() {
	count := make(map[statechart.State]int64)
	for _, h := range m.Hosts() {
		count[statechart.State(h.ObservedState)]++
	}
	for state, gauge := range m.meters.hosts {
		gauge.Update(count[state])
	}
}
