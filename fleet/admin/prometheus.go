package admin

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "hazelworks_"

var quantiles = []float64{0.5, 0.95, 0.99}

// WritePrometheus writes all metrics of a registry in the Prometheus text
// format, sorted by name. Timers are written in seconds.
func WritePrometheus(w io.Writer, registry metrics.Registry) {
	all := make(map[string]any)
	registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, metricName(name), all[name])
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeValue(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeValue(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeValue(w, name+"_total", "counter", float64(m.Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name+"_seconds", s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1e-9)
	}
}

func writeValue(w io.Writer, name, kind string, value float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, value)
}

func writeSummary(w io.Writer, name string, values []float64, sum float64, count int64, scale float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i]*scale)
	}
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum*scale, name, count)
}

// metricName returns the Prometheus name of a metric: the prefix and the registry
// name, with an underscore for each character that Prometheus does not allow.
func metricName(name string) string {
	var b strings.Builder
	b.WriteString(metricPrefix)
	for _, c := range name {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_':
			b.WriteRune(c)
		default:
			b.WriteByte('_')
		}
	}
	return b.String()
}
