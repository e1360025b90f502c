package settingswatch

import (
	"context"
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/rendezvous"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
)

const (
	// snapshotCheck is how often a host looks whether a snapshot is due.
	snapshotCheck = 15 * time.Second
	// snapshotLag is the number of entries after which a snapshot is due early.
	snapshotLag = 64
	// snapshotWriters is the number of hosts that stand by to write one.
	snapshotWriters = 4
)

// snapshotWatch tells when a snapshot is due.
type snapshotWatch struct {
	// head and seen are the newest snapshot's offset and when it was first seen.
	head record.Offset
	seen time.Time
	// covers is the offset that this host's newest snapshot covers.
	covers record.Offset
}

// writeSnapshots appends snapshots while this host is among the first writers.
// Each later writer waits longer, so that one of them is enough as a rule.
func (w *Watcher) writeSnapshots(ctx context.Context) error {
	watch := snapshotWatch{seen: time.Now()}
	ticker := time.NewTicker(snapshotCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		order := w.writerOrder()
		if order >= snapshotWriters {
			continue
		}
		if err := w.snapshotIfDue(ctx, &watch, order); err != nil {
			w.meters.snapshotErrors.Inc(1)
			w.logger.Error(err, "no snapshot appended")
		}
	}
}

// writerOrder returns this host's place among the writers, 0 for the first.
func (w *Watcher) writerOrder() int {
	key := rendezvous.KeyOf(record.StreamSettingsSnapshots)
	self := w.opts.View.Self().Host
	own := rendezvous.Mix(key, rendezvous.KeyOf(string(self)))
	order := 0
	for _, h := range w.opts.View.Hosts() {
		if h.ID == self || h.Belief == member.StateSuspected {
			continue
		}
		if rendezvous.Mix(key, rendezvous.KeyOf(string(h.ID))) > own {
			order++
		}
	}
	return order
}

func (w *Watcher) snapshotIfDue(ctx context.Context, watch *snapshotWatch, order int) error {
	bounds, err := w.opts.Log.Bounds(ctx, record.StreamSettingsSnapshots)
	if err != nil {
		return fmt.Errorf("bounds of snapshots: %w", err)
	}
	now := time.Now()
	if bounds.Head != watch.head {
		watch.head, watch.seen = bounds.Head, now
	}
	position := w.State().Position
	if position == 0 {
		return nil
	}
	early := order == 0 && position >= watch.covers+snapshotLag
	empty := order == 0 && bounds.Head < bounds.First
	age := now.Sub(watch.seen)
	due := w.opts.SnapshotRefresh + time.Duration(order)*w.opts.SnapshotRefresh/2
	if !early && !empty && age < due {
		return nil
	}
	return w.appendSnapshot(ctx, watch)
}

func (w *Watcher) appendSnapshot(ctx context.Context, watch *snapshotWatch) error {
	w.mu.Lock()
	snapshot := w.fold.Snapshot()
	w.mu.Unlock()
	data, err := settings.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	offset, err := w.opts.Log.Append(ctx, record.StreamSettingsSnapshots, data)
	if err != nil {
		return fmt.Errorf("append snapshot: %w", err)
	}
	watch.head, watch.seen, watch.covers = offset, time.Now(), snapshot.Covers
	w.meters.snapshots.Inc(1)
	w.logger.Info("appended a snapshot", "offset", offset, "covers", snapshot.Covers, "bytes", len(data))
	return nil
}
