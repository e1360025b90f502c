package placer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hazelworks/hazelworks/core/placement"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// errNotWriter reports that another host has become the writer.
var errNotWriter = errors.New("placer: this host is not the writer")

// streamWriter reads a service's placement stream and, while this host is the
// writer, appends to it. All methods need the service's lock.
type streamWriter struct {
	self   record.Holder
	stream string
	log    platform.Log
	fold   *placement.Fold
	// epoch is the offset of this host's newest epoch record; zero if it has none.
	epoch record.Offset
	// otherEpoch is the newest epoch of another host, which was first seen at otherSeenAt.
	otherEpoch  record.Offset
	otherSeenAt time.Time
}

// minTerm is how long a host leaves another one in office that it takes for dead. Two hosts
// that take each other for dead would otherwise replace each other all the time.
const minTerm = 4 * tickInterval

// readToEnd reads the stream to its end and applies the records that are new. If the
// log has trimmed the next record, reading continues at the first retained one.
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
		r = &placement.Record{} // not a placement record: only its offset is applied
	}
	w.fold.Apply(e.Offset, r)
}

// isWriter reports whether this host is the writer as of the last applied record.
func (w *streamWriter) isWriter() bool {
	return w.fold.IsWriter(w.self, w.epoch)
}

// acquire makes this host the writer. It reads the stream and, if this host is not
// the writer, appends an epoch record and reads it back. It returns errNotWriter if
// another host's epoch record followed, or if another host has been the writer for less than
// minTerm.
func (w *streamWriter) acquire(ctx context.Context, now time.Time) error {
	if err := w.readToEnd(ctx); err != nil {
		return err
	}
	if w.isWriter() {
		return nil
	}
	if w.fold.Epoch != 0 && w.fold.Writer.Host != w.self.Host {
		if w.fold.Epoch != w.otherEpoch {
			w.otherEpoch, w.otherSeenAt = w.fold.Epoch, now
		}
		if now.Sub(w.otherSeenAt) < minTerm {
			return errNotWriter
		}
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

// append appends a record and reads the stream to its end. An append that returned an
// error may have taken effect; reading the stream shows whether it did.
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

// appendOrder appends an order and reads it back. It returns errNotWriter if this
// host's epoch is no longer the newest.
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

// appendHalt records that the roll-out of a target stops.
func (w *streamWriter) appendHalt(ctx context.Context, t placement.Target) error {
	return w.append(ctx, &placement.Record{Kind: placement.KindHalt, Writer: w.self, Epoch: w.epoch, Target: &t})
}

// confirm reads the stream and returns errNotWriter if this host is no longer the
// writer. It precedes each order that is sent to a worker.
func (w *streamWriter) confirm(ctx context.Context) error {
	if err := w.readToEnd(ctx); err != nil {
		return err
	}
	if !w.isWriter() {
		return errNotWriter
	}
	return nil
}
