package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
)

// Retry-After times of refusals for which no better time is known.
const (
	heldRetryAfter        = 5 * time.Second
	unreachableRetryAfter = 5 * time.Second
	overloadRetryAfter    = time.Second
	claimRetryAfter       = 2 * time.Second
	stoppingRetryAfter    = time.Second
)

// reserveProblem describes a failed reservation. It distinguishes a budget that is
// spent from one that other hosts hold or that cannot be reached.
func reserveProblem(ctx context.Context, err error) *problem.Problem {
	var refused *grants.RefusedError
	if !errors.As(err, &refused) {
		if ctx.Err() != nil {
			return contextProblem(context.Cause(ctx))
		}
		p := problem.New(http.StatusServiceUnavailable, problem.CodeBudgetUnreachable, "the budget could not be reserved: %v", err)
		return p.WithRetryAfter(unreachableRetryAfter)
	}
	switch {
	case refused.Unreachable:
		return problem.New(http.StatusServiceUnavailable, problem.CodeBudgetUnreachable, "%v", refused).WithRetryAfter(unreachableRetryAfter)
	case refused.Available+refused.HeldElsewhere >= refused.Wanted:
		return problem.New(http.StatusServiceUnavailable, problem.CodeBudgetHeld, "%v", refused).WithRetryAfter(heldRetryAfter)
	default:
		return problem.New(http.StatusPaymentRequired, problem.CodeBudgetSpent, "%v", refused)
	}
}

func pickProblem(ctx context.Context, err error) *problem.Problem {
	var refused *dispatch.RefusedError
	if !errors.As(err, &refused) {
		if ctx.Err() != nil {
			return contextProblem(context.Cause(ctx))
		}
		return problem.New(http.StatusServiceUnavailable, problem.CodeNoUpstream, "no upstream: %v", err).WithRetryAfter(overloadRetryAfter)
	}
	code := problem.CodeOverloaded
	if refused.Reason == dispatch.ReasonNoneEligible {
		code = problem.CodeNoUpstream
	}
	after := refused.RetryAfter
	if after <= 0 {
		after = overloadRetryAfter
	}
	return problem.New(http.StatusServiceUnavailable, code, "%v", refused).WithRetryAfter(after)
}

// noUpstreamProblem describes a request that got no upstream. If a retry is refused,
// it describes the failure before it, with the Retry-After time of the refusal.
func noUpstreamProblem(ctx context.Context, err error, previous attemptResult, attempt int) *problem.Problem {
	p := pickProblem(ctx, err)
	if attempt == 1 || previous.kind == resultNotStarted {
		return p
	}
	failure := previous.problem()
	if p.RetryAfter > 0 {
		failure.RetryAfter = p.RetryAfter
	}
	return failure
}

func isContextCause(err error) bool {
	return errors.Is(err, errDeadline) || errors.Is(err, errCallerDisconnected) || errors.Is(err, errUpstreamSilent) || errors.Is(err, quarantine.ErrQuarantined) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// contextProblem describes why a run was ended early.
func contextProblem(cause error) *problem.Problem {
	switch {
	case errors.Is(cause, quarantine.ErrQuarantined):
		return quarantinedProblem(cause)
	case errors.Is(cause, errStopping):
		return stoppingProblem()
	case errors.Is(cause, errUpstreamSilent):
		return problem.New(http.StatusGatewayTimeout, problem.CodeUpstreamTimeout, "the upstream fell silent")
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, "the deadline has passed")
	default:
		return problem.New(http.StatusServiceUnavailable, problem.CodeCancelled, "the request was cancelled: %v", cause).
			WithRetryAfter(overloadRetryAfter)
	}
}
