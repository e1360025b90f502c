package placer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/hazelworks/hazelworks/core/placement"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// errNotWriter reports that another writer has taken office.
var errNotWriter = errors.New("placer: not in office")

// streamWriter is this host's reading of a service's placement stream and its place in
// it. The caller holds the service's lock for all methods.
type streamWriter struct {
	self   record.Holder
	stream string
	log    platform.Log
	fold   *placement.Fold
	// epoch is that of this host's newest epoch record; zero if it has none.
	epoch record.Offset
}

// readToEnd applies all records of the stream that are not applied yet.
func (w *streamWriter) readToEnd(ctx context.Context) error {
	for {
		from := w.fold.Offset + 1
		entries, err := w.log.Read(ctx, w.stream, from, maxReadRecords, 0)
		if errors.Is(err, platform.ErrTrimmed) {
			bounds, err := w.log.Bounds(ctx, w.stream)
			if err != nil {
				return fmt.Errorf("placer: bounds of %s: %w", w.stream, err)
			}
			w.fold.Offset = bounds.First - 1
			continue
		}
		if err != nil {
			return fmt.Errorf("placer: read %s: %w", w.stream, err)
		}
		for _, e := range entries {
			w.apply(e)
		}
		if len(entries) < maxReadRecords {
			return nil
		}
	}
}

func (w *streamWriter) apply(e record.Entry) {
	r, err := placement.Decode(e.Data)
	if err != nil {
		r = &placement.Record{} // a record of another kind; only its offset counts
	}
	w.fold.Apply(e.Offset, r)
}

// isWriter tells whether this host is in office as far as it has read.
func (w *streamWriter) isWriter() bool {
	return w.fold.IsWriter(w.self, w.epoch)
}

// acquire makes sure that this host is in office: it reads the stream, and appends
// an epoch record and reads it back if another writer is.
func (w *streamWriter) acquire(ctx context.Context) error {
	if err := w.readToEnd(ctx); err != nil {
		return err
	}
	if w.isWriter() {
		return nil
	}
	nonce := rand.Uint64()
	r := &placement.Record{Kind: placement.KindEpoch, Writer: w.self, Nonce: nonce}
	if err := w.append(ctx, r); err != nil {
		return err
	}
	if w.fold.Writer != w.self || w.fold.Nonce != nonce {
		return errNotWriter
	}
	w.epoch = w.fold.Epoch
	return nil
}

// append adds a record and reads the stream back to its end. An append that has
// failed may have taken effect; reading back shows it.
func (w *streamWriter) append(ctx context.Context, r *placement.Record) error {
	data, err := placement.Encode(r)
	if err != nil {
		return err
	}
	_, appendErr := w.log.Append(ctx, w.stream, data)
	if err := w.readToEnd(ctx); err != nil {
		return errors.Join(appendErr, err)
	}
	if appendErr != nil {
		return fmt.Errorf("placer: append to %s: %w", w.stream, appendErr)
	}
	return nil
}

// appendOrder records an appendOrder and returns once it is read back under this epoch.
func (w *streamWriter) appendOrder(ctx context.Context, d placement.Decision) error {
	r := &placement.Record{
		Kind: placement.KindOrder, Writer: w.self, Epoch: w.epoch,
		Worker: d.Worker, Target: &d.Target, Reason: d.Reason,
	}
	if err := w.append(ctx, r); err != nil {
		return err
	}
	if !w.isWriter() {
		return errNotWriter
	}
	return nil
}

// appendHalt records that a target is not rolled out further.
func (w *streamWriter) appendHalt(ctx context.Context, t placement.Target) error {
	return w.append(ctx, &placement.Record{Kind: placement.KindHalt, Writer: w.self, Epoch: w.epoch, Target: &t})
}

// confirm reads the stream and tells whether this host is still in office. Each
// step towards a worker is preceded by it.
func (w *streamWriter) confirm(ctx context.Context) error {
	if err := w.readToEnd(ctx); err != nil {
		return err
	}
	if !w.isWriter() {
		return errNotWriter
	}
	return nil
}
