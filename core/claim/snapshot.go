package claim

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// ErrSnapshotInvalid is returned by [Restore] for data that is not a valid snapshot.
var ErrSnapshotInvalid = errors.New("claim: snapshot is not valid")

// maxClaims is the largest number of claims in a snapshot.
const maxClaims = 1 << 24

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxClaims}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

type snapshot struct {
	Now       int64         `cbor:"1,keyasint,omitempty"`
	Swept     int64         `cbor:"2,keyasint,omitempty"`
	Retention time.Duration `cbor:"3,keyasint"`
	MaxDetail int           `cbor:"4,keyasint"`
	Claims    []claimImage  `cbor:"5,keyasint,omitempty"`
}

type claimImage struct {
	Key       record.RequestKey `cbor:"1,keyasint"`
	Winner    attemptImage      `cbor:"2,keyasint"`
	Outcome   record.Outcome    `cbor:"3,keyasint,omitempty"`
	Detail    []byte            `cbor:"4,keyasint,omitempty"`
	UpdatedAt int64             `cbor:"5,keyasint,omitempty"`
	Ended     []attemptImage    `cbor:"6,keyasint,omitempty"`
}

type attemptImage struct {
	_      struct{} `cbor:",toarray"`
	Holder record.Holder
	Number uint32
}

// Snapshot returns the fold in CBOR. Equal folds give equal snapshots.
func (f *Fold) Snapshot() ([]byte, error) {
	s := snapshot{Now: f.now, Swept: f.swept, Retention: f.opts.Retention, MaxDetail: f.opts.MaxDetail}
	for key, c := range f.claims {
		img := claimImage{Key: key, Winner: c.winner.image(), Outcome: c.outcome, Detail: c.detail, UpdatedAt: c.updatedAt}
		for _, a := range c.ended {
			img.Ended = append(img.Ended, a.image())
		}
		s.Claims = append(s.Claims, img)
	}
	slices.SortFunc(s.Claims, func(a, b claimImage) int { return cmp.Compare(a.Key, b.Key) })
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("claim: encode snapshot: %w", err)
	}
	return data, nil
}

func (a attempt) image() attemptImage {
	return attemptImage{Holder: a.holder, Number: a.number}
}

func (a attemptImage) attempt() attempt {
	return attempt{holder: a.Holder, number: a.Number}
}

// Restore returns the fold encoded in a snapshot. It returns [ErrSnapshotInvalid] for
// data that cannot be decoded or lists a key twice.
func Restore(data []byte) (*Fold, error) {
	var s snapshot
	if err := decMode.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotInvalid, err)
	}
	f := New(Options{Retention: s.Retention, MaxDetail: s.MaxDetail})
	f.now, f.swept = s.Now, s.Swept
	for _, img := range s.Claims {
		if _, ok := f.claims[img.Key]; ok {
			return nil, fmt.Errorf("%w: key %d is listed twice", ErrSnapshotInvalid, img.Key)
		}
		c := &claim{winner: img.Winner.attempt(), outcome: img.Outcome, detail: img.Detail, updatedAt: img.UpdatedAt}
		for _, a := range img.Ended {
			c.ended = append(c.ended, a.attempt())
		}
		f.claims[img.Key] = c
	}
	return f, nil
}
