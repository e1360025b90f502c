package settingswatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
)

// ErrUnknownOutcome means that a change may be or come into force. The same
// change may be published again; it counts once.
var ErrUnknownOutcome = errors.New("settings: the outcome of the change is not known yet")

// ConflictError reports that an earlier change touched the same path.
type ConflictError struct {
	settings.Conflict
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return "settings: conflict: " + e.Conflict.String()
}

// InvalidError reports that the changed tree has faults.
type InvalidError struct {
	Findings []string
}

// Error returns the faults, one on each line.
func (e *InvalidError) Error() string {
	return "settings: the change is not valid:\n" + strings.Join(e.Findings, "\n")
}

// replyWait is how long a change whose append failed in an unknown way is
// looked for before it is appended again.
const replyWait = 2 * time.Second

// Publish appends a change and waits until this watcher has read it back, so it
// needs Run to be active. The judgement is returned also with a *ConflictError
// or an *InvalidError. Any other error leaves the outcome unknown if it is
// ErrUnknownOutcome, and means that nothing was appended otherwise.
func (w *Watcher) Publish(ctx context.Context, change *settings.Change) (*settings.Decision, error) {
	if err := change.Validate(); err != nil {
		return nil, err
	}
	data, err := settings.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	retry := backoff{jitter: &w.jitter}
	maybe := false
	for {
		if j, ok := w.Judgement(change.ID); ok {
			return j, judgementError(j)
		}
		_, err := w.opts.Log.Append(ctx, record.StreamSettings, data)
		wait := retry.wait
		switch {
		case err == nil:
			maybe = true
			wait = func(ctx context.Context) error { return w.awaitJudgement(ctx, change.ID) }
		case errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled):
		default:
			maybe = true
			wait = func(ctx context.Context) error { return w.lookForJudgement(ctx, change.ID) }
		}
		if waitErr := wait(ctx); waitErr != nil {
			return nil, publishError(maybe, err, waitErr)
		}
	}
}

func publishError(maybe bool, appendErr, waitErr error) error {
	if maybe {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, waitErr)
	}
	return fmt.Errorf("settings: the change was not appended: %w", errors.Join(appendErr, waitErr))
}

// awaitJudgement waits until the change with the given ID has been judged.
func (w *Watcher) awaitJudgement(ctx context.Context, id string) error {
	for {
		changed := w.Changed()
		if _, ok := w.Judgement(id); ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lookForJudgement is awaitJudgement with a bound after which the append is repeated.
func (w *Watcher) lookForJudgement(ctx context.Context, id string) error {
	bounded, cancel := context.WithTimeout(ctx, replyWait)
	defer cancel()
	if err := w.awaitJudgement(bounded, id); err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return nil
}

func judgementError(j *settings.Decision) error {
	switch j.Status {
	case settings.StatusConflict:
		return &ConflictError{Conflict: *j.Conflict}
	case settings.StatusInvalid:
		return &InvalidError{Findings: j.Findings}
	default:
		return nil
	}
}
