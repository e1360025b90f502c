package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/fleet/problem"
)

// errStopping is the cause with which requests end that still wait at this host when its time is over.
var errStopping = errors.New("the host stops")

// stopTimes are the times of a graceful stop.
type stopTimes struct {
	// expected is when callers stop using this host.
	expected func() time.Time
	// end is when requests that are not answered are cut.
	end time.Time
}

// SetEnd announces that the host ends at a time. From the time that expected returns, requests are rejected
// that may take longer than that; callers use other hosts then.
func (g *Gateway) SetEnd(expected func() time.Time, end time.Time) {
	g.stop.Store(&stopTimes{expected, end})
}

// isTooLate reports whether a request that arrives now, and may take a time, has to be rejected.
func (g *Gateway) isTooLate(now time.Time, timeout time.Duration) bool {
	s := g.stop.Load()
	return s != nil && now.Add(timeout).After(s.end) && now.After(s.expected())
}

// RefuseWaiting refuses the requests that wait at this host and were sent to nobody, now and later.
func (g *Gateway) RefuseWaiting() {
	g.refuseWaiting()
	g.bodies.end()
}

// untilRefused returns a context for the time for which a request waits at this host.
func (g *Gateway) untilRefused(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.waiting, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func stoppingProblem() *problem.Problem {
	return problem.New(http.StatusServiceUnavailable, problem.CodeNotReady, "%v", errStopping).WithRetryAfter(stoppingRetryAfter)
}
