package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/problem"
)

// Times after which refused callers come back, where nothing better is known.
const (
	heldRetry        = 5 * time.Second
	unreachableRetry = 5 * time.Second
	overloadRetry    = time.Second
	claimRetry       = 2 * time.Second
)

// reserveProblem tells a budget that is spent from one that is held by hosts
// that cannot be reached.
func reserveProblem(ctx context.Context, err error) *problem.Problem {
	var refused *grants.RefusedError
	if !errors.As(err, &refused) {
		if ctx.Err() != nil {
			return contextProblem(context.Cause(ctx))
		}
		p := problem.New(http.StatusServiceUnavailable, problem.CodeBudgetUnreachable, "the budget could not be reserved: %v", err)
		return p.WithRetryAfter(unreachableRetry)
	}
	switch {
	case refused.Unreachable:
		return problem.New(http.StatusServiceUnavailable, problem.CodeBudgetUnreachable, "%v", refused).WithRetryAfter(unreachableRetry)
	case refused.Available+refused.HeldElsewhere >= refused.Wanted:
		return problem.New(http.StatusServiceUnavailable, problem.CodeBudgetHeld, "%v", refused).WithRetryAfter(heldRetry)
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
		return problem.New(http.StatusServiceUnavailable, problem.CodeNoUpstream, "no upstream: %v", err).WithRetryAfter(overloadRetry)
	}
	code := problem.CodeOverloaded
	if refused.Reason == dispatch.ReasonNoneAble {
		code = problem.CodeNoUpstream
	}
	after := refused.RetryAfter
	if after <= 0 {
		after = overloadRetry
	}
	return problem.New(http.StatusServiceUnavailable, code, "%v", refused).WithRetryAfter(after)
}

// unpicked describes a request that got no upstream. If a retry is refused, the
// failure before it is what the caller is told, with the time to come back.
func unpicked(ctx context.Context, err error, before verdict, attempt int) *problem.Problem {
	p := pickProblem(ctx, err)
	if attempt == 1 || before.fate == notStarted {
		return p
	}
	failure := before.problem()
	if p.RetryAfter > 0 {
		failure.RetryAfter = p.RetryAfter
	}
	return failure
}

func isContextCause(err error) bool {
	return errors.Is(err, errDeadline) || errors.Is(err, errCallerGone) || errors.Is(err, errSilent) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// contextProblem describes why a run was ended.
func contextProblem(cause error) *problem.Problem {
	switch {
	case errors.Is(cause, errSilent):
		return problem.New(http.StatusGatewayTimeout, problem.CodeUpstreamTimeout, "the upstream fell silent")
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, "the deadline has passed")
	default:
		return problem.New(http.StatusServiceUnavailable, problem.CodeCancelled, "the request was cancelled: %v", cause).
			WithRetryAfter(overloadRetry)
	}
}
