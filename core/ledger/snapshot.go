package ledger

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// snapshotVersion is the format version written. Restore rejects any other.
const snapshotVersion = 1

// bytesPerKey is the size of a request key in a snapshot.
const bytesPerKey = 8

// Errors of [Restore].
var (
	ErrSnapshotVersion = errors.New("ledger: snapshot has an unknown format version")
	ErrSnapshotInvalid = errors.New("ledger: snapshot is not valid")
)

// snapshot is the encoded form of a fold. The types named image are the encoded forms
// of its parts.
type snapshot struct {
	Version uint32        `cbor:"1,keyasint"`
	Covers  record.Offset `cbor:"2,keyasint"`
	Epoch   record.Offset `cbor:"3,keyasint,omitempty"`
	Owner   record.Holder `cbor:"4,keyasint"`
	Now     int64         `cbor:"5,keyasint,omitempty"`
	Swept   int64         `cbor:"6,keyasint,omitempty"`
	Holders []holderImage `cbor:"7,keyasint,omitempty"`
	Budgets []budgetImage `cbor:"8,keyasint,omitempty"`
	Options optionsImage  `cbor:"9,keyasint"`
	TakenAt int64         `cbor:"10,keyasint,omitempty"`
}

type optionsImage struct {
	Window          time.Duration `cbor:"1,keyasint"`
	HolderRetention time.Duration `cbor:"2,keyasint"`
	MaxKeys         int           `cbor:"3,keyasint"`
}

type holderImage struct {
	Holder       record.Holder `cbor:"1,keyasint"`
	GrantSeq     uint64        `cbor:"2,keyasint,omitempty"`
	ReportSeq    uint64        `cbor:"3,keyasint,omitempty"`
	LastGrant    record.Tokens `cbor:"4,keyasint,omitempty"`
	LastReport   int64         `cbor:"5,keyasint,omitempty"`
	PinnedReport int64         `cbor:"6,keyasint,omitempty"`
	PinnedUntil  int64         `cbor:"7,keyasint,omitempty"`
	Closed       bool          `cbor:"8,keyasint,omitempty"`
	ClosedAt     int64         `cbor:"9,keyasint,omitempty"`
	Released     bool          `cbor:"10,keyasint,omitempty"`
	ReleasedAt   int64         `cbor:"11,keyasint,omitempty"`
	EpochSeq     uint64        `cbor:"12,keyasint,omitempty"`
}

type budgetImage struct {
	ID           record.BudgetID `cbor:"1,keyasint"`
	Prepaid      record.Tokens   `cbor:"2,keyasint,omitempty"`
	Settled      record.Tokens   `cbor:"3,keyasint,omitempty"`
	Available    record.Tokens   `cbor:"4,keyasint,omitempty"`
	Unbilled     record.Tokens   `cbor:"5,keyasint,omitempty"`
	Duplicates   record.Tokens   `cbor:"6,keyasint,omitempty"`
	ToppedUp     bool            `cbor:"7,keyasint,omitempty"`
	TopUps       []byte          `cbor:"8,keyasint,omitempty"`
	Grants       []grantImage    `cbor:"9,keyasint,omitempty"`
	Keys         []segmentImage  `cbor:"10,keyasint,omitempty"`
	ActiveKeys   []byte          `cbor:"11,keyasint,omitempty"`
	ActiveFrom   int64           `cbor:"12,keyasint,omitempty"`
	DroppedUntil int64           `cbor:"13,keyasint,omitempty"`
}

type grantImage struct {
	// Holder is the holder's index in the snapshot's Holders.
	Holder           int           `cbor:"1,keyasint"`
	Outstanding      record.Tokens `cbor:"2,keyasint,omitempty"`
	OutstandingSince int64         `cbor:"3,keyasint,omitempty"`
	Released         bool          `cbor:"4,keyasint,omitempty"`
	ReleasedAt       int64         `cbor:"5,keyasint,omitempty"`
}

type segmentImage struct {
	From int64  `cbor:"1,keyasint"`
	To   int64  `cbor:"2,keyasint"`
	Keys []byte `cbor:"3,keyasint"`
}

// Snapshot returns the fold in CBOR. It covers the entries up to Offset. The time now
// is informative only; equal folds give equal snapshots for the same now.
func (f *Fold) Snapshot(now time.Time) ([]byte, error) {
	s := snapshot{
		Version: snapshotVersion, Covers: f.offset, Epoch: f.epoch, Owner: f.owner,
		Now: f.now, Swept: f.swept, TakenAt: now.UnixMilli(), Options: optionsImage(f.opts),
	}
	index := make(map[*holder]int, len(f.holders))
	for _, h := range sortedHolders(f.holders) {
		index[h] = len(s.Holders)
		s.Holders = append(s.Holders, h.image())
	}
	for _, b := range f.budgets {
		s.Budgets = append(s.Budgets, b.image(index))
	}
	slices.SortFunc(s.Budgets, func(a, b budgetImage) int { return cmp.Compare(a.ID, b.ID) })
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode snapshot: %w", err)
	}
	return data, nil
}

func sortedHolders(holders map[record.Holder]*holder) []*holder {
	list := make([]*holder, 0, len(holders))
	for _, h := range holders {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *holder) int { return compareHolders(a.id, b.id) })
	return list
}

func (h *holder) image() holderImage {
	return holderImage{
		Holder: h.id, GrantSeq: h.grantSeq, ReportSeq: h.reportSeq, LastGrant: h.lastGrant,
		LastReport: h.lastReport, PinnedReport: h.pinnedReport, PinnedUntil: h.pinnedUntil,
		Closed: h.closed, ClosedAt: h.closedAt, Released: h.released, ReleasedAt: h.releasedAt,
		EpochSeq: h.epochSeq,
	}
}

func (b *budget) image(index map[*holder]int) budgetImage {
	img := budgetImage{
		ID: b.id, Prepaid: b.prepaid, Settled: b.settled, Available: b.available,
		Unbilled: b.unbilled, Duplicates: b.duplicates, ToppedUp: b.toppedUp,
		TopUps: packWords(b.topUps), ActiveFrom: b.keys.activeFrom, DroppedUntil: b.keys.droppedUntil,
		ActiveKeys: packWords(b.keys.activeKeys()),
	}
	for _, g := range b.grants {
		img.Grants = append(img.Grants, grantImage{
			Holder: index[g.holder], Outstanding: g.outstanding, OutstandingSince: g.outstandingSince,
			Released: g.released, ReleasedAt: g.releasedAt,
		})
	}
	slices.SortFunc(img.Grants, func(a, b grantImage) int { return cmp.Compare(a.Holder, b.Holder) })
	for _, seg := range b.keys.sealed {
		img.Keys = append(img.Keys, segmentImage{From: seg.from, To: seg.to, Keys: packWords(seg.keys)})
	}
	return img
}

// packWords encodes each value as 8 bytes, little-endian.
func packWords[T ~uint64](words []T) []byte {
	if len(words) == 0 {
		return nil
	}
	data := make([]byte, 0, len(words)*bytesPerKey)
	for _, w := range words {
		data = binary.LittleEndian.AppendUint64(data, uint64(w))
	}
	return data
}

// unpackWords parses a list written by packWords. It returns [ErrSnapshotInvalid] if
// the values are not strictly ascending.
func unpackWords[T ~uint64](data []byte) ([]T, error) {
	if len(data)%bytesPerKey != 0 {
		return nil, fmt.Errorf("%w: list length %d is not a multiple of 8 bytes", ErrSnapshotInvalid, len(data))
	}
	words := make([]T, 0, len(data)/bytesPerKey)
	for i := 0; i < len(data); i += bytesPerKey {
		w := T(binary.LittleEndian.Uint64(data[i:]))
		if i > 0 && w <= words[len(words)-1] {
			return nil, fmt.Errorf("%w: list is not strictly ascending", ErrSnapshotInvalid)
		}
		words = append(words, w)
	}
	return words, nil
}
