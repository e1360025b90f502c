// Package evacuation keeps which failure domains the operator has emptied: their upstreams get
// nothing new until they are taken back. The operator's records decide. What is known outlasts a
// log that comes back from an older copy or has lost the operator's records.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

const (
	// keepTime is how long a domain stays emptied whose record the log has lost. The operator
	// writes it again before, or it was taken back meanwhile.
	keepTime = time.Minute
	// takenBackTTL is how long it is remembered that a record was taken back.
	takenBackTTL = time.Minute
)

// Record is the newest record of a failure domain.
type Record struct {
	Domain string
	// Emptied is false if the domain was taken back.
	Emptied bool
	Offset  record.Offset
}

// Change is a failure domain that is emptied or taken back from now on.
type Change struct {
	Record
	// Reason tells how it is known.
	Reason string
}

// Reasons of changes.
const (
	ReasonRecord  = "record"
	ReasonMissing = "the log has no record of it"
	ReasonLost    = "the log has lost its record"
)

// Domains holds the emptied failure domains. The zero value has none. It is not safe for
// concurrent use.
type Domains struct {
	emptied map[string]emptied
	// takenBack has the domains that were taken back.
	takenBack map[string]takenBack
}

type emptied struct {
	offset record.Offset
	// missingSince is when the log turned out to have lost the record, or zero.
	missingSince time.Time
}

// takenBack is the offset of a record that was taken back.
type takenBack struct {
	offset record.Offset
	at     time.Time
}

// Emptied returns the emptied failure domains, in order.
func (d *Domains) Emptied() []string { return slices.Sorted(maps.Keys(d.emptied)) }

// Apply applies new records, in order.
func (d *Domains) Apply(records []Record, now time.Time) []Change {
	var changes []Change
	for _, r := range records {
		if d.set(r, now) {
			changes = append(changes, Change{Record: r, Reason: ReasonRecord})
		}
	}
	return changes
}

func (d *Domains) set(r Record, now time.Time) (changed bool) {
	old, known := d.emptied[r.Domain]
	if r.Emptied {
		if d.emptied == nil {
			d.emptied = make(map[string]emptied)
		}
		d.emptied[r.Domain] = emptied{offset: r.Offset}
		delete(d.takenBack, r.Domain)
		return !known
	}
	if !known {
		return false
	}
	delete(d.emptied, r.Domain)
	if d.takenBack == nil {
		d.takenBack = make(map[string]takenBack)
	}
	d.takenBack[r.Domain] = takenBack{offset: old.offset, at: now}
	return true
}

// Snapshot applies the newest records of a log in which history was trimmed. A domain without a
// record was taken back, unless the log has lost the operator's records.
func (d *Domains) Snapshot(records []Record, lost bool, now time.Time) []Change {
	if lost {
		d.keepMissing(records, now)
		return d.Apply(records, now)
	}
	var changes []Change
	for _, domain := range d.missing(records) {
		r := Record{Domain: domain, Offset: d.emptied[domain].offset}
		d.set(r, now)
		changes = append(changes, Change{Record: r, Reason: ReasonMissing})
	}
	return append(changes, d.Apply(records, now)...)
}

// Rewound applies the newest records of a log that came back from an older copy. A record that was
// taken back since has no effect.
func (d *Domains) Rewound(records []Record, now time.Time) []Change {
	maps.DeleteFunc(d.takenBack, func(_ string, t takenBack) bool { return now.Sub(t.at) >= takenBackTTL })
	records = slices.DeleteFunc(slices.Clone(records), func(r Record) bool {
		t, ok := d.takenBack[r.Domain]
		return ok && r.Emptied && r.Offset == t.offset
	})
	d.keepMissing(records, now)
	return d.Apply(records, now)
}

// missing returns the emptied domains that have no record, in order.
func (d *Domains) missing(records []Record) []string {
	return slices.DeleteFunc(d.Emptied(), func(domain string) bool {
		return slices.ContainsFunc(records, func(r Record) bool { return r.Domain == domain })
	})
}

func (d *Domains) keepMissing(records []Record, now time.Time) {
	for _, domain := range d.missing(records) {
		e := d.emptied[domain]
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		d.emptied[domain] = e
	}
}

// Expire takes those domains back whose records have been missing for long. It returns the time
// until the next one, or zero if there is none.
func (d *Domains) Expire(now time.Time) (changes []Change, next time.Duration) {
	for _, domain := range d.Emptied() {
		e := d.emptied[domain]
		if e.missingSince.IsZero() {
			continue
		}
		left := keepTime - now.Sub(e.missingSince)
		if left <= 0 {
			delete(d.emptied, domain)
			changes = append(changes, Change{Record: Record{Domain: domain, Offset: e.offset}, Reason: ReasonLost})
		} else if next == 0 || left < next {
			next = left
		}
	}
	return changes, next
}
