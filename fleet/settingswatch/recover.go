package settingswatch

import (
	"context"
	"errors"
	"fmt"

	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
)

// ErrNotLost is the error of Recover if the settings are known or can be read.
var ErrNotLost = errors.New("settings: they are not lost, publish a change instead")

// Recover brings a declared tree into force after a total loss: the log no longer
// keeps the changes, no snapshot is left and no host has them in memory. It appends
// a snapshot that covers everything up to the head of the stream, and returns the
// version. Of two recoveries the first one wins. The error is [ErrNotLost] if there
// is nothing to recover.
func (w *Watcher) Recover(ctx context.Context, tree *jsontree.Node) (record.Offset, error) {
	if w.CaughtUp() {
		return 0, ErrNotLost
	}
	bounds, err := w.opts.Log.Bounds(ctx, record.StreamSettings)
	if err != nil {
		return 0, fmt.Errorf("settings: bounds: %w", err)
	}
	if err := w.restoreFromLog(ctx); err != nil {
		return 0, err
	}
	if w.State().Position+1 >= bounds.First {
		return 0, ErrNotLost
	}
	snapshot, err := settings.NewSnapshot(tree, bounds.Head)
	if err != nil {
		return 0, err
	}
	data, err := settings.EncodeSnapshot(snapshot)
	if err != nil {
		return 0, err
	}
	if _, err := w.opts.Log.Append(ctx, record.StreamSettingsSnapshots, data); err != nil {
		return 0, fmt.Errorf("settings: append snapshot: %w", err)
	}
	w.logger.Info("recovered declared settings after a total loss", "version", bounds.Head)
	return bounds.Head, nil
}
