package settingswatch

import (
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/settings"
)

// meters are the metrics of a watcher.
type meters struct {
	version     metrics.Gauge
	position    metrics.Gauge
	accepted    metrics.Counter
	conflicts   metrics.Counter
	invalid     metrics.Counter
	logErrors   metrics.Counter
	peerUpdates metrics.Counter
	peerErrors  metrics.Counter
	snapshots   metrics.Counter
	// snapshotErrors counts failed appends of snapshots, also during outages of the
	// log.
	snapshotErrors metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("settings."+name, r)
	}
	return meters{
		version:     metrics.GetOrRegisterGauge("settings.version", r),
		position:    metrics.GetOrRegisterGauge("settings.position", r),
		accepted:    counter("changes_accepted"),
		conflicts:   counter("changes_conflicting"),
		invalid:     counter("changes_invalid"),
		logErrors:   counter("log_errors"),
		peerUpdates: counter("peer_updates"),
		peerErrors:  counter("peer_errors"),
		snapshots:   counter("snapshots_appended"),

		snapshotErrors: counter("snapshot_errors"),
	}
}

func (m *meters) count(status settings.Status) {
	switch status {
	case settings.StatusAccepted:
		m.accepted.Inc(1)
	case settings.StatusConflict:
		m.conflicts.Inc(1)
	case settings.StatusInvalid:
		m.invalid.Inc(1)
	}
}
