package shard

import (
	"context"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// snapshot returns the encoded fold and the offset up to which it covers the stream.
func (r *replica) snapshot(now time.Time) ([]byte, record.Offset, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := r.fold.Snapshot(now)
	return data, r.fold.Offset(), err
}

// snapshotDue reports whether the shard needs a new snapshot in the log: after
// Options.SnapshotRecords records, or after Options.SnapshotInterval even without new
// records.
func (r *replica) snapshotDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.fold.Offset() == 0 {
		return false
	}
	records := int(r.fold.Offset() - r.snapshotOffset)
	if records >= r.svc.opts.SnapshotRecords {
		return true
	}
	return now.Sub(r.snapshotAt) >= r.svc.opts.SnapshotInterval
}

// writeSnapshot appends the fold to the shard's snapshot stream.
func (r *replica) writeSnapshot(ctx context.Context, now time.Time) error {
	data, covers, err := r.snapshot(now)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.svc.opts.AppendTimeout)
	defer cancel()
	if _, err := r.svc.opts.Log.Append(ctx, record.StreamOfShardSnapshots(r.id), data); err != nil {
		return err
	}
	r.svc.snapshots.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshotAt = now
	r.snapshotOffset = covers
	r.svc.opts.Logger.V(1).Info("snapshot written", "shard", r.id, "covers", covers, "bytes", len(data))
	return nil
}

// writeSnapshots writes the due snapshots of the shards that this host owns or should
// own, one after the other. It stops at the first error.
func (s *Service) writeSnapshots(ctx context.Context) {
	for _, r := range s.all() {
		now := time.Now()
		if !r.snapshotDue(now) || !(r.owns() || s.pick(r.id, nil) == s.opts.Self.Host) {
			continue
		}
		if err := r.writeSnapshot(ctx, now); err != nil {
			s.opts.Logger.Info("snapshot failed", "shard", r.id, "error", err.Error())
			return
		}
	}
}
