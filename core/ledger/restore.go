package ledger

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// maxSnapshotItems bounds the holders, budgets and remembered requests of a snapshot. The
// target has 15,000 budgets and 281,000 requests a shard.
const maxSnapshotItems = 1 << 22

var snapshotDecMode = mustSnapshotDecMode()

func mustSnapshotDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxSnapshotItems, MaxMapPairs: maxSnapshotItems}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Restore returns the fold encoded in a snapshot. It returns [ErrSnapshotVersion] for
// another format version and [ErrSnapshotInvalid] for data that is malformed or whose
// amounts do not add up. All errors in holders and budgets are joined.
func Restore(data []byte) (*Fold, error) {
	var s snapshot
	if err := snapshotDecMode.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotInvalid, err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: %d", ErrSnapshotVersion, s.Version)
	}
	f := New(Options(s.Options))
	f.offset, f.epoch, f.owner = s.Covers, s.Epoch, s.Owner
	f.now, f.swept = s.Now, s.Swept
	holders, err := f.restoreHolders(s.Holders)
	errs := []error{err}
	for i := range s.Budgets {
		errs = append(errs, f.restoreBudget(&s.Budgets[i], holders))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if err := f.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotInvalid, err)
	}
	return f, nil
}

func (f *Fold) restoreHolders(images []holderImage) ([]*holder, error) {
	var errs []error
	list := make([]*holder, 0, len(images))
	for _, img := range images {
		if _, ok := f.holders[img.Holder]; ok {
			errs = append(errs, fmt.Errorf("%w: holder %s is listed twice", ErrSnapshotInvalid, img.Holder))
		}
		h := &holder{
			id: img.Holder, grantSeq: img.GrantSeq, reportSeq: img.ReportSeq, lastGrant: img.LastGrant,
			lastReport: img.LastReport, pinnedReport: img.PinnedReport, pinnedUntil: img.PinnedUntil,
			closed: img.Closed, closedAt: img.ClosedAt, released: img.Released, releasedAt: img.ReleasedAt,
			epochSeq: img.EpochSeq,
		}
		f.holders[h.id] = h
		list = append(list, h)
	}
	return list, errors.Join(errs...)
}

func (f *Fold) restoreBudget(img *budgetImage, holders []*holder) error {
	if _, ok := f.budgets[img.ID]; ok {
		return fmt.Errorf("%w: budget %s is listed twice", ErrSnapshotInvalid, img.ID)
	}
	b := &budget{
		id: img.ID, prepaid: img.Prepaid, settled: img.Settled, available: img.Available,
		unbilled: img.Unbilled, duplicates: img.Duplicates, toppedUp: img.ToppedUp,
	}
	f.budgets[b.id] = b
	var errs []error
	var err error
	b.topUps, err = unpackWords[uint64](img.TopUps)
	errs = append(errs, err, b.restoreGrants(img.Grants, holders), b.keys.restore(img))
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("budget %s: %w", img.ID, err)
	}
	return nil
}

func (b *budget) restoreGrants(images []grantImage, holders []*holder) error {
	for i, img := range images {
		if img.Holder < 0 || img.Holder >= len(holders) {
			return fmt.Errorf("%w: grant %d refers to holder %d of %d", ErrSnapshotInvalid, i, img.Holder, len(holders))
		}
		if img.Outstanding < 0 || img.Outstanding > MaxTokens {
			return fmt.Errorf("%w: grant %d has %d tokens outstanding", ErrSnapshotInvalid, i, img.Outstanding)
		}
		h := holders[img.Holder]
		if b.findGrant(h) != nil {
			return fmt.Errorf("%w: holder %s has two grants of one budget", ErrSnapshotInvalid, h.id)
		}
		b.grants = append(b.grants, &holderGrant{
			holder: h, outstanding: img.Outstanding, outstandingSince: img.OutstandingSince,
			released: img.Released, releasedAt: img.ReleasedAt,
		})
	}
	return nil
}

func (k *billedKeys) restore(img *budgetImage) error {
	k.activeFrom, k.droppedUntil = img.ActiveFrom, img.DroppedUntil
	active, err := unpackWords[record.RequestKey](img.ActiveKeys)
	if err != nil {
		return err
	}
	for _, key := range active {
		k.add(key, img.ActiveFrom, 1)
	}
	for _, seg := range img.Keys {
		keys, err := unpackWords[record.RequestKey](seg.Keys)
		if err != nil {
			return err
		}
		k.sealed = append(k.sealed, segment{from: seg.From, to: seg.To, keys: keys})
		k.count += len(keys)
	}
	return nil
}
