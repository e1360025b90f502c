package gateway

import (
	"bytes"
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
func (g *Gateway) bufferBody(w http.ResponseWriter, r *http.Request, limit int64) (bufferedBody, *problem.Problem) {
	size := limit
	if r.ContentLength >= 0 {
		size = r.ContentLength
	}
	if size > limit {
		return bufferedBody{}, tooLarge(limit)
	}
	if !g.bodies.TryAcquire(size) {
		p := problem.New(http.StatusServiceUnavailable, problem.CodeOverloaded, "too many request bodies are in flight")
		return bufferedBody{}, p.WithRetryAfter(bodiesRetryAfter)
	}
	data, err := readWithin(w, r, limit, g.limits.BodyTimeout)
	if err != nil {
		g.bodies.Release(size)
		return bufferedBody{}, bodyProblem(err, limit, g.limits.BodyTimeout)
	}
	return bufferedBody{data: data, free: func() { g.bodies.Release(size) }}, nil
}

func readWithin(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	ctrl := http.NewResponseController(w)
	// Response recorders of tests do not support deadlines.
	_ = ctrl.SetReadDeadline(time.Now().Add(timeout))
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, err
	}
	_ = ctrl.SetReadDeadline(time.Time{})
	return buf.Bytes(), nil
}

func tooLarge(limit int64) *problem.Problem {
	return problem.New(http.StatusRequestEntityTooLarge, problem.CodeBodyTooLarge, "the body has more than %d bytes", limit)
}

func bodyProblem(err error, limit int64, timeout time.Duration) *problem.Problem {
	var large *http.MaxBytesError
	switch {
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
