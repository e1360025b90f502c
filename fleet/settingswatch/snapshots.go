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
	// snapshotCheckInterval is the time between two checks whether a snapshot is
	// due.
	snapshotCheckInterval = 15 * time.Second
	// maxSnapshotLag is the number of entries after the last snapshot of the first
	// writer at which it appends the next one early.
	maxSnapshotLag = 64
	// snapshotWriters is the number of hosts that may write a snapshot.
	snapshotWriters = 4
)

// snapshotState is the state that decides when a snapshot is due.
type snapshotState struct {
	// head is the offset of the newest snapshot, and headSeenAt the time at which
	// this host first saw it.
	head       record.Offset
	headSeenAt time.Time
	// covers is the last offset that this host's newest snapshot covers.
	covers record.Offset
}

// writeSnapshots appends snapshots while this host is among the first snapshotWriters.
// Each later writer waits longer, so that usually only one of them writes.
func (w *Watcher) writeSnapshots(ctx context.Context) error {
	state := snapshotState{headSeenAt: time.Now()}
	ticker := time.NewTicker(snapshotCheckInterval)
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
		if err := w.appendSnapshotIfDue(ctx, &state, order); err != nil {
			w.meters.snapshotErrors.Inc(1)
			w.logger.Error(err, "cannot append a snapshot")
		}
	}
}

// writerOrder returns this host's position in the rendezvous order of the writers, 0
// for the first. Suspected hosts do not count.
func (w *Watcher) writerOrder() int {
	key := rendezvous.KeyOf(record.StreamSettingsSnapshots)
	self := w.opts.View.Self().Host
	own := rendezvous.Mix(key, rendezvous.KeyOf(string(self)))
	order := 0
	for _, h := range w.opts.View.Hosts() {
		if h.ID == self || h.ObservedState == member.StateSuspected {
			continue
		}
		if rendezvous.Mix(key, rendezvous.KeyOf(string(h.ID))) > own {
			order++
		}
	}
	return order
}

func (w *Watcher) appendSnapshotIfDue(ctx context.Context, state *snapshotState, order int) error {
	bounds, err := w.opts.Log.Bounds(ctx, record.StreamSettingsSnapshots)
	if err != nil {
		return fmt.Errorf("bounds of snapshots: %w", err)
	}
	now := time.Now()
	if bounds.Head != state.head {
		state.head, state.headSeenAt = bounds.Head, now
	}
	position := w.State().Position
	if position == 0 {
		return nil
	}
	early := order == 0 && position >= state.covers+maxSnapshotLag
	empty := order == 0 && bounds.Head < bounds.First
	age := now.Sub(state.headSeenAt)
	due := w.opts.SnapshotRefresh + time.Duration(order)*w.opts.SnapshotRefresh/2
	if !early && !empty && age < due {
		return nil
	}
	return w.appendSnapshot(ctx, state)
}

func (w *Watcher) appendSnapshot(ctx context.Context, state *snapshotState) error {
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
	state.head, state.headSeenAt, state.covers = offset, time.Now(), snapshot.Covers
	w.meters.snapshots.Inc(1)
	w.logger.Info("appended a snapshot", "offset", offset, "covers", snapshot.Covers, "bytes", len(data))
	return nil
}
