// Package claim folds the claims and outcomes of one shard stream. A claim asks for
// the right to run a request that must not run twice. The first claim by offset wins
// it, so all readers of the stream agree on the winner.
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

// sweepInterval is the log time between two passes that drop old claims, in
// milliseconds.
const sweepInterval = int64(10 * time.Minute / time.Millisecond)

// Options set how long a fold keeps its state. All hosts of a fleet must use the same
// values.
type Options struct {
	// Retention is how long a claim is kept after its last record, in log time. After
	// it, the same request could be claimed again. A claim without an outcome is kept
	// until its holder has also closed or been released, since a paused holder may
	// still run the request.
	Retention time.Duration
	// MaxDetail is the largest detail of an outcome, in bytes. A longer detail is
	// dropped; the outcome is kept.
	MaxDetail int
}

func (o Options) withDefaults() Options {
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.MaxDetail = cmp.Or(o.MaxDetail, DefaultMaxDetail)
	return o
}

// State describes the winning claim of a request and its outcome.
type State struct {
	Winner  record.Holder
	Attempt uint32
	Outcome record.Outcome
	Detail  []byte
}

// attempt identifies one claim by its holder and the holder's attempt number.
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

// Fold is the state of all claims in a shard. It is not safe for concurrent use.
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

// Advance sets the log time and drops claims past their retention. The function ended
// reports whether a holder has closed or was released.
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

// Apply folds one claim or outcome at the current log time. The argument fromOwner
// states whether the shard's owner wrote the batch. A claim in any other batch is
// void and has no effect.
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

// fillClaim sets the result's winner, outcome and detail after an operation.
func (f *Fold) fillClaim(key record.RequestKey, res *ledger.Result) {
	c, found := f.claims[key]
	if !found {
		return
	}
	winner := c.winner.holder
	res.Winner = &winner
	res.Outcome, res.Detail = c.outcome, c.detail
}

// Get returns the claim of a request. It returns false if there is none.
func (f *Fold) Get(key record.RequestKey) (State, bool) {
	c, found := f.claims[key]
	if !found {
		return State{}, false
	}
	return State{Winner: c.winner.holder, Attempt: c.winner.number, Outcome: c.outcome, Detail: c.detail}, true
}

// Len returns the number of claims kept.
func (f *Fold) Len() int { return len(f.claims) }
