package relayhost

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/evacuation"
	"github.com/hazelworks/hazelworks/core/platform"
)

// emptiedWatch holds the failure domains that the operator has emptied.
type emptiedWatch struct {
	configKey string
	domainOf  func(key string) (string, bool)
	changed   func([]string)
	log       logr.Logger
	gauge     metrics.Gauge

	mu      sync.Mutex
	domains evacuation.Domains
	expiry  *time.Timer
}

func newEmptiedWatch(p Protocol, changed func([]string), log logr.Logger, registry metrics.Registry) *emptiedWatch {
	return &emptiedWatch{
		configKey: p.ConfigKey, domainOf: p.EmptiedDomain, changed: changed, log: log,
		gauge: metrics.GetOrRegisterGauge("failure_domains_emptied", registry),
	}
}

// update applies records with a method of evacuation.Domains.
func (e *emptiedWatch) update(records []platform.KeyedRecord, apply func([]evacuation.Record, time.Time) []evacuation.Change) {
	var out []evacuation.Record
	for _, r := range records {
		if domain, ok := e.domainOf(r.Key); ok {
			out = append(out, evacuation.Record{Domain: domain, Emptied: r.Value != nil, Offset: r.Offset})
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(apply(out, time.Now()))
	e.scheduleExpiry()
}

// publish makes changes known. The caller holds mu.
func (e *emptiedWatch) publish(changes []evacuation.Change) {
	if len(changes) == 0 {
		return
	}
	emptied := e.domains.Emptied()
	e.gauge.Update(int64(len(emptied)))
	e.changed(emptied)
	for _, c := range changes {
		text := "Failure domain is taken back."
		if c.Emptied {
			text = "Failure domain is emptied."
		}
		e.log.Info(text, "failure_domain", c.Domain, "offset", c.Offset, "reason", c.Reason, "emptied", emptied)
	}
}

// scheduleExpiry looks again when the next domain whose record is missing is taken back. The
// caller holds mu.
func (e *emptiedWatch) scheduleExpiry() {
	if e.expiry != nil {
		e.expiry.Stop()
	}
	changes, next := e.domains.Expire(time.Now())
	e.publish(changes)
	if next > 0 {
		e.expiry = time.AfterFunc(next, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.scheduleExpiry()
		})
	}
}

func (e *emptiedWatch) apply(records []platform.KeyedRecord) { e.update(records, e.domains.Apply) }

func (e *emptiedWatch) rewound(records []platform.KeyedRecord) { e.update(records, e.domains.Rewound) }

// snapshot applies the newest records. Without a configuration among them, the log has lost the
// operator's records.
func (e *emptiedWatch) snapshot(records []platform.KeyedRecord) {
	lost := !slices.ContainsFunc(records, func(r platform.KeyedRecord) bool { return r.Key == e.configKey && r.Value != nil })
	e.update(records, func(r []evacuation.Record, now time.Time) []evacuation.Change {
		return e.domains.Snapshot(r, lost, now)
	})
}

// operatorSnapshot, operatorRecords and operatorRewound apply the operator's records. A host serves
// once it has a configuration, so the emptied domains are applied before.
func (h *Host) operatorSnapshot(records []platform.KeyedRecord) {
	h.emptied.snapshot(records)
	h.table.apply(records)
}

func (h *Host) operatorRecords(records []platform.KeyedRecord) {
	h.emptied.apply(records)
	h.table.apply(records)
}

func (h *Host) operatorRewound(records []platform.KeyedRecord) {
	h.emptied.rewound(records)
	h.table.apply(records)
}
