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

// errNoOffice reports that another writer has taken office.
var errNoOffice = errors.New("placer: not in office")

// office is this host's reading of a service's placement stream and its place in
// it. The caller holds the service's lock for all methods.
type office struct {
	self   record.Holder
	stream string
	log    platform.Log
	fold   *placement.Fold
	// epoch is that of this host's newest epoch record; zero if it has none.
	epoch record.Offset
}

// follow applies all records of the stream that are not applied yet.
func (o *office) follow(ctx context.Context) error {
	for {
		from := o.fold.Offset + 1
		entries, err := o.log.Read(ctx, o.stream, from, maxRead, 0)
		if errors.Is(err, platform.ErrTrimmed) {
			bounds, err := o.log.Bounds(ctx, o.stream)
			if err != nil {
				return fmt.Errorf("placer: bounds of %s: %w", o.stream, err)
			}
			o.fold.Offset = bounds.First - 1
			continue
		}
		if err != nil {
			return fmt.Errorf("placer: read %s: %w", o.stream, err)
		}
		for _, e := range entries {
			o.apply(e)
		}
		if len(entries) < maxRead {
			return nil
		}
	}
}

func (o *office) apply(e record.Entry) {
	r, err := placement.Decode(e.Data)
	if err != nil {
		r = &placement.Record{} // a record of another kind; only its offset counts
	}
	o.fold.Apply(e.Offset, r)
}

// holds tells whether this host is in office as far as it has read.
func (o *office) holds() bool {
	return o.fold.IsWriter(o.self, o.epoch)
}

// take makes sure that this host is in office: it reads the stream, and appends
// an epoch record and reads it back if another writer is.
func (o *office) take(ctx context.Context) error {
	if err := o.follow(ctx); err != nil {
		return err
	}
	if o.holds() {
		return nil
	}
	nonce := rand.Uint64()
	r := &placement.Record{Kind: placement.KindEpoch, Writer: o.self, Nonce: nonce}
	if err := o.append(ctx, r); err != nil {
		return err
	}
	if o.fold.Writer != o.self || o.fold.Nonce != nonce {
		return errNoOffice
	}
	o.epoch = o.fold.Epoch
	return nil
}

// append adds a record and reads the stream back to its end. An append that has
// failed may have taken effect; reading back shows it.
func (o *office) append(ctx context.Context, r *placement.Record) error {
	data, err := placement.Encode(r)
	if err != nil {
		return err
	}
	_, failed := o.log.Append(ctx, o.stream, data)
	if err := o.follow(ctx); err != nil {
		return errors.Join(failed, err)
	}
	if failed != nil {
		return fmt.Errorf("placer: append to %s: %w", o.stream, failed)
	}
	return nil
}

// order records an order and returns once it is read back under this epoch.
func (o *office) order(ctx context.Context, d placement.Decision) error {
	r := &placement.Record{
		Kind: placement.KindOrder, Writer: o.self, Epoch: o.epoch,
		Worker: d.Worker, Target: &d.Target, Reason: d.Reason,
	}
	if err := o.append(ctx, r); err != nil {
		return err
	}
	if !o.holds() {
		return errNoOffice
	}
	return nil
}

// halt records that a target is not rolled out further.
func (o *office) halt(ctx context.Context, t placement.Target) error {
	return o.append(ctx, &placement.Record{Kind: placement.KindHalt, Writer: o.self, Epoch: o.epoch, Target: &t})
}

// confirm reads the stream and tells whether this host is still in office. Each
// step towards a worker is preceded by it.
func (o *office) confirm(ctx context.Context) error {
	if err := o.follow(ctx); err != nil {
		return err
	}
	if !o.holds() {
		return errNoOffice
	}
	return nil
}
