// Package claim folds the claims and outcomes of one shard stream. A claim is
// the right to run a request that must not repeat: the first claim by offset
// has it, and everybody who reads the stream agrees on which one that is.
package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
)

// Defaults of [Options].
const (
	DefaultRetention = 24 * time.Hour
	DefaultMaxDetail = 1 << 10
)

// sweepInterval is the log time between two passes over the claims, in milliseconds.
const sweepInterval = int64(10 * time.Minute / time.Millisecond)

// Options tune what a fold remembers. All hosts of a fleet must use the same.
type Options struct {
	// Retention is how long a claim is remembered after its last record, in log
	// time. Past it the same request could be claimed again. A claim without an
	// outcome is remembered until its holder has ended as well, since a holder
	// that is paused may still run the request.
	Retention time.Duration
	// MaxDetail bounds an outcome's detail, in bytes. A longer one is dropped;
	// the outcome is kept.
	MaxDetail int
}

func (o Options) withDefaults() Options {
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.MaxDetail = cmp.Or(o.MaxDetail, DefaultMaxDetail)
	return o
}

// State describes the claim of a request.
type State struct {
	Winner  record.Holder
	Attempt uint32
	Outcome record.Outcome
	Detail  []byte
}

// attempt identifies one claim operation of a holder.
type attempt struct {
	holder record.Holder
	number uint32
}

type claim struct {
	winner  attempt
	outcome record.Outcome
	detail  []byte
	// updatedAt is the log time of the newest record of the claim.
	updatedAt int64
	// ended lists earlier winners whose outcome was "not run".
	ended []attempt
}

// Fold is the state of a shard's claims. It is not safe for concurrent use.
type Fold struct {
	opts   Options
	now    int64 // newest log time seen, in Unix milliseconds
	swept  int64 // log time of the last sweep
	claims map[record.RequestKey]*claim
}

// New returns an empty fold. Zero options mean the defaults.
func New(opts Options) *Fold {
	return &Fold{opts: opts.withDefaults(), claims: make(map[record.RequestKey]*claim)}
}

// Advance moves the log time and forgets claims past their retention. Ended
// tells whether a holder has closed or was released.
func (f *Fold) Advance(timeMillis int64, ended func(record.Holder) bool) {
	f.now = max(f.now, timeMillis)
	if f.now-f.swept < sweepInterval {
		return
	}
	f.swept = f.now
	for key, c := range f.claims {
		old := f.now-c.updatedAt > f.opts.Retention.Milliseconds()
		if old && (c.outcome != record.OutcomePending || ended(c.winner.holder)) {
			delete(f.claims, key)
		}
	}
}

// Apply folds one claim or outcome at the current log time. Current tells
// whether the batch was written by the shard's owner; a claim of any other
// batch is void, which means that it was never made.
func (f *Fold) Apply(op *record.Op, fromOwner bool) ledger.Result {
	res := ledger.Result{Kind: op.Kind, Budget: op.Budget, Holder: op.Holder}
	switch {
	case op.Holder == nil:
		res.Reason = ledger.ReasonInvalid
	case op.Kind == record.KindClaim:
		f.applyClaim(op, fromOwner, &res)
	case op.Kind == record.KindOutcome:
		f.applyOutcome(op, &res)
	default:
		res.Reason = ledger.ReasonUnknownKind
	}
	f.fillClaim(op.Key, &res)
	return res
}

func (f *Fold) applyClaim(op *record.Op, fromOwner bool, res *ledger.Result) {
	claimant := attempt{holder: *op.Holder, number: op.Attempt}
	c, found := f.claims[op.Key]
	if found && c.winner == claimant {
		res.Won = true
		res.Reason = ledger.ReasonDuplicate
		return
	}
	if !fromOwner {
		res.Reason = ledger.ReasonStaleEpoch
		return
	}
	if !found {
		f.claims[op.Key] = &claim{winner: claimant, updatedAt: f.now}
		res.Won, res.Applied = true, true
		return
	}
	if c.outcome != record.OutcomeNotRun || slices.Contains(c.ended, claimant) {
		res.Reason = ledger.ReasonTaken
		return
	}
	c.ended = append(c.ended, c.winner)
	c.winner, c.outcome, c.detail, c.updatedAt = claimant, record.OutcomePending, nil, f.now
	res.Won, res.Applied = true, true
}

func (f *Fold) applyOutcome(op *record.Op, res *ledger.Result) {
	c, found := f.claims[op.Key]
	claimant := attempt{holder: *op.Holder, number: op.Attempt}
	switch {
	case op.Outcome == record.OutcomePending:
		res.Reason = ledger.ReasonInvalid
	case !found || c.winner != claimant:
		res.Reason = ledger.ReasonNotWinner
	case c.outcome != record.OutcomePending:
		res.Reason = ledger.ReasonDuplicate
	default:
		c.outcome, c.updatedAt = op.Outcome, f.now
		if len(op.Detail) <= f.opts.MaxDetail {
			c.detail = slices.Clone(op.Detail)
		}
		res.Applied = true
	}
}

// fillClaim fills in the claim that holds after an operation.
func (f *Fold) fillClaim(key record.RequestKey, res *ledger.Result) {
	c, found := f.claims[key]
	if !found {
		return
	}
	winner := c.winner.holder
	res.Winner = &winner
	res.Outcome, res.Detail = c.outcome, c.detail
}

// Get returns the claim of a request.
func (f *Fold) Get(key record.RequestKey) (State, bool) {
	c, found := f.claims[key]
	if !found {
		return State{}, false
	}
	return State{Winner: c.winner.holder, Attempt: c.winner.number, Outcome: c.outcome, Detail: c.detail}, true
}

// Len returns the number of claims that are remembered.
func (f *Fold) Len() int { return len(f.claims) }
