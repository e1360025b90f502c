package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/quarantine"
)

// logRecord is a quarantine in the log. Times are in Unix milliseconds, by the clock of the
// host that wrote it.
type logRecord struct {
	Kind    quarantine.Kind `json:"kind"`
	ID      string          `json:"id"`
	UntilMS int64           `json:"until_ms"`
	Terms   int             `json:"terms"`
	// Account is the hash of the only account that is concerned, in hexadecimal, or empty.
	Account string `json:"account,omitempty"`
}

// endTolerance is the difference between the ends of a quarantine in the log and at this host for
// which the log is not written again. Hosts begin the same quarantine at different moments.
const endTolerance = 5 * time.Second

// logged is what the log has of a quarantine.
type logged struct {
	until   int64 // in Unix milliseconds
	account uint64
}

func recordKey(s quarantine.Subject) string {
	return fmt.Sprintf("%d-%x", s.Kind, s.ID)
}

func encodeRecord(q quarantine.Quarantine) (platform.KeyedRecord, error) {
	r := logRecord{Kind: q.Subject.Kind, ID: strconv.FormatUint(q.Subject.ID, 16), UntilMS: q.Until.UnixMilli(), Terms: q.Terms}
	if q.Account != 0 {
		r.Account = strconv.FormatUint(q.Account, 16)
	}
	value, err := json.Marshal(r)
	return platform.KeyedRecord{Key: recordKey(q.Subject), Value: value}, err
}

// decodeKey returns the subject of a record's key.
func decodeKey(key string) (quarantine.Subject, error) {
	var s quarantine.Subject
	if _, err := fmt.Sscanf(key, "%d-%x", &s.Kind, &s.ID); err != nil {
		return s, fmt.Errorf("quarantine: record %q: %w", key, err)
	}
	return s, nil
}

func decodeRecord(r platform.KeyedRecord) (quarantine.Quarantine, error) {
	s, err := decodeKey(r.Key)
	if err != nil {
		return quarantine.Quarantine{}, err
	}
	var v logRecord
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return quarantine.Quarantine{}, fmt.Errorf("quarantine: record %q: %w", r.Key, err)
	}
	q := quarantine.Quarantine{Subject: s, Until: time.UnixMilli(v.UntilMS), Since: time.Now(), Terms: max(1, v.Terms)}
	if v.Account != "" {
		if q.Account, err = strconv.ParseUint(v.Account, 16, 64); err != nil {
			return quarantine.Quarantine{}, fmt.Errorf("quarantine: record %q: %w", r.Key, err)
		}
	}
	return q, nil
}

// Loaded reports whether the quarantines in the log were read.
func (k *Keeper) Loaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded
}

// Snapshot applies the newest records of the log.
func (k *Keeper) Snapshot(records []platform.KeyedRecord) {
	k.Records(records)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loaded = true
}

// Rewound applies the records of a log that came back from an older copy. Quarantines that
// are not in it are written again.
func (k *Keeper) Rewound(records []platform.KeyedRecord) {
	k.mu.Lock()
	clear(k.logged)
	for _, q := range k.tracker.Active(time.Now()) {
		k.schedule(q.Subject, othersWriteDelay)
	}
	k.mu.Unlock()
	k.Records(records)
}

// Records applies new records of the log. A record that is deleted lifts its quarantine.
func (k *Keeper) Records(records []platform.KeyedRecord) {
	for _, r := range records {
		if err := k.applyRecord(r); err != nil {
			k.log.Info("Record of the log names no quarantine.", "key", r.Key, "offset", r.Offset, "error", err.Error())
		}
	}
}

func (k *Keeper) applyRecord(r platform.KeyedRecord) error {
	if r.Value == nil {
		s, err := decodeKey(r.Key)
		if err != nil {
			return err
		}
		k.mu.Lock()
		delete(k.logged, s)
		_, active := k.tracker.Get(s, time.Now())
		k.mu.Unlock()
		if active {
			k.lift(s, "its record was deleted", "")
		}
		return nil
	}
	q, err := decodeRecord(r)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.logged[q.Subject] = logged{until: q.Until.UnixMilli(), account: q.Account}
	if _, isNew := k.apply(q, now); isNew {
		k.begin(q, "", "record of the log", othersWriteDelay)
	}
	k.scheduleCleaning(q.Subject, q.Until.Sub(now))
	return nil
}

// scheduleCleaning schedules the deletion of a record some time after its quarantine has
// ended. The caller holds mu.
func (k *Keeper) scheduleCleaning(s quarantine.Subject, left time.Duration) {
	time.AfterFunc(max(0, left)+cleanDelay, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.schedule(s, cleanDelay)
	})
}

// Run writes quarantines to the log until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for {
		wait := k.writeDue(ctx)
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.wake:
		case <-timer:
		}
	}
}

// writeRetry is the pause after a failed write, with a random part of up to as much again.
const writeRetry = 250 * time.Millisecond

// writeDue writes what is due and returns the time until the next write, or zero if nothing
// is scheduled.
func (k *Keeper) writeDue(ctx context.Context) time.Duration {
	records := k.takeDue()
	if len(records) > 0 {
		if _, err := k.opt.Log.Put(ctx, k.opt.Stream, platform.Writer{}, records); err != nil {
			k.log.Info("Quarantines could not be written.", "records", len(records), "error", err.Error())
			k.retry(ctx, records)
		}
	}
	return k.untilNext()
}

// retry schedules another write of records. The time of a failed call may be its answer's
// only, so the records may be in the log.
func (k *Keeper) retry(ctx context.Context, records []platform.KeyedRecord) {
	timer := time.NewTimer(writeRetry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		if s, err := decodeKey(r.Key); err == nil {
			k.schedule(s, writeRetry)
		}
	}
}

// takeDue returns the records by which the log differs from the tracker, of the subjects that
// are due.
func (k *Keeper) takeDue() []platform.KeyedRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	var out []platform.KeyedRecord
	for s, at := range k.due {
		if now.Before(at) {
			continue
		}
		delete(k.due, s)
		q, active := k.tracker.Get(s, now)
		old, known := k.logged[s]
		switch {
		case !active && known:
			out = append(out, platform.KeyedRecord{Key: recordKey(s)})
		case active && (!known || old.until+endTolerance.Milliseconds() < q.Until.UnixMilli() || old.account != q.Account):
			r, err := encodeRecord(q)
			if err != nil {
				k.log.Error(err, "Quarantine could not be encoded.", "subject", s.String())
				continue
			}
			out = append(out, r)
		}
	}
	return out
}

func (k *Keeper) untilNext() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	var first time.Time
	for _, at := range k.due {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Until(first))
}
