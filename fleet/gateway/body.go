package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hazelworks/hazelworks/fleet/problem"
)

// bodiesRetryAfter is the Retry-After time when too many bodies are in flight.
const bodiesRetryAfter = time.Second

// bufferedBody is a body in memory. Its bytes count towards Limits.BodiesBytes
// until free is called.
type bufferedBody struct {
	data []byte
	free func()
}

// bufferBody reads a body of at most limit bytes.
func (g *Gateway) bufferBody(w http.ResponseWriter, r *http.Request, account string, limit int64) (bufferedBody, *problem.Problem) {
	if r.ContentLength > limit {
		return bufferedBody{}, tooLarge(limit)
	}
	body, err := g.readWithin(w, http.MaxBytesReader(w, r.Body, limit), r.ContentLength, account)
	if err != nil {
		return bufferedBody{}, bodyProblem(err, limit, g.limits.BodyTimeout)
	}
	return body, nil
}

// readWithin reads a body up to its end within Limits.BodyTimeout.
func (g *Gateway) readWithin(w http.ResponseWriter, source io.Reader, length int64, account string) (bufferedBody, error) {
	ctrl := http.NewResponseController(w)
	// Response recorders of tests do not support deadlines.
	_ = ctrl.SetReadDeadline(time.Now().Add(g.limits.BodyTimeout))
	body, err := g.bodies.read(source, length, account, func() { _ = ctrl.SetReadDeadline(time.Now()) })
	if err != nil {
		return bufferedBody{}, err
	}
	_ = ctrl.SetReadDeadline(time.Time{})
	return body, nil
}

func tooLarge(limit int64) *problem.Problem {
	return problem.New(http.StatusRequestEntityTooLarge, problem.CodeBodyTooLarge, "the body has more than %d bytes", limit)
}

func bodyProblem(err error, limit int64, timeout time.Duration) *problem.Problem {
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, errStopping):
		return stoppingProblem()
	case errors.Is(err, errBodyYields):
		p := problem.New(http.StatusServiceUnavailable, problem.CodeOverloaded, "too many request bodies are in flight")
		return p.WithRetryAfter(bodiesRetryAfter)
	case errors.As(err, &large):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.New(http.StatusRequestTimeout, problem.CodeBodyTimeout, "the body was not complete within %s", timeout)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, "the body ended early")
	default:
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, "the body could not be read")
	}
}
