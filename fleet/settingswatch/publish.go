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

// ErrUnknownOutcome means that a change may be in force now or later. It is safe to
// publish the same change again, since a change counts once.
var ErrUnknownOutcome = errors.New("settings: the outcome of the change is not known yet")

// ConflictError reports that an earlier change edited the same path.
type ConflictError struct {
	settings.Conflict
}

// Error returns a text with the conflict.
func (e *ConflictError) Error() string {
	return "settings: conflict: " + e.Conflict.String()
}

// InvalidError reports that the changed tree has faults.
type InvalidError struct {
	Findings []string
}

// Error returns the findings, one on each line.
func (e *InvalidError) Error() string {
	return "settings: the change is not valid:\n" + strings.Join(e.Findings, "\n")
}

// unknownAppendWait is how long Publish waits for the change in the log after an
// append that may have succeeded, before it appends the change again.
const unknownAppendWait = 2 * time.Second

// Publish appends a change and waits until this watcher has read it back, so it
// needs Run to be active. It returns the decision also with a *ConflictError or an
// *InvalidError. [ErrUnknownOutcome] means that the change may have been appended;
// any other error means that it was not.
func (w *Watcher) Publish(ctx context.Context, change *settings.Change) (*settings.Decision, error) {
	if err := change.Validate(); err != nil {
		return nil, err
	}
	data, err := settings.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	retry := backoff{jitter: &w.jitter}
	mayBeAppended := false
	for {
		if d, ok := w.Decision(change.ID); ok {
			return d, decisionError(d)
		}
		_, err := w.opts.Log.Append(ctx, record.StreamSettings, data)
		wait := retry.wait
		switch {
		case err == nil:
			mayBeAppended = true
			wait = func(ctx context.Context) error { return w.awaitDecision(ctx, change.ID) }
		case errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled):
		default:
			mayBeAppended = true
			wait = func(ctx context.Context) error { return w.awaitDecisionBriefly(ctx, change.ID) }
		}
		if waitErr := wait(ctx); waitErr != nil {
			return nil, publishError(mayBeAppended, err, waitErr)
		}
	}
}

func publishError(mayBeAppended bool, appendErr, waitErr error) error {
	if mayBeAppended {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, waitErr)
	}
	return fmt.Errorf("settings: the change was not appended: %w", errors.Join(appendErr, waitErr))
}

// awaitDecision waits until the decision on the change with the given ID is known.
func (w *Watcher) awaitDecision(ctx context.Context, id string) error {
	for {
		changed := w.Changed()
		if _, ok := w.Decision(id); ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitDecisionBriefly is awaitDecision for at most unknownAppendWait. It returns nil
// when that is over, so that the append is repeated.
func (w *Watcher) awaitDecisionBriefly(ctx context.Context, id string) error {
	bounded, cancel := context.WithTimeout(ctx, unknownAppendWait)
	defer cancel()
	if err := w.awaitDecision(bounded, id); err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return nil
}

func decisionError(d *settings.Decision) error {
	switch d.Status {
	case settings.StatusConflict:
		return &ConflictError{Conflict: *d.Conflict}
	case settings.StatusInvalid:
		return &InvalidError{Findings: d.Findings}
	default:
		return nil
	}
}
