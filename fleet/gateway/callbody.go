package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// errBodyClosed is read from a streamed body after its caller went away.
var errBodyClosed = errors.New("the caller went away before its body was complete")

// callBody is the body of a plain call: a held beginning and, if it is longer,
// the rest on the caller's connection.
type callBody struct {
	held []byte
	// length is the whole length, or -1 if it is not known.
	length int64
	// ctrl and timeout bound each read of the rest.
	ctrl    *http.ResponseController
	timeout time.Duration

	rest   io.Reader // nil if held is all
	opened atomic.Bool
	closed atomic.Bool
	read   atomic.Int64
	// reading is held while the rest is read.
	reading sync.Mutex
}

// replayable reports whether the body can be sent from its beginning.
func (b *callBody) replayable() bool { return !b.opened.Load() }

// passed returns the number of bytes of the body that were read.
func (b *callBody) passed() int64 { return int64(len(b.held)) + b.read.Load() }

// reader returns the body for one attempt.
func (b *callBody) reader(w *watch) io.ReadCloser {
	held := bytes.NewReader(b.held)
	if b.rest == nil {
		return io.NopCloser(struct{ io.Reader }{held})
	}
	return io.NopCloser(io.MultiReader(held, &bodyRest{body: b, watch: w}))
}

// detach ends reads of the caller's connection, before its handler returns.
func (b *callBody) detach() {
	if b.rest == nil {
		return
	}
	b.closed.Store(true)
	_ = b.ctrl.SetReadDeadline(time.Now())
	b.reading.Lock()
	defer b.reading.Unlock()
}

// bodyRest reads the part of a body that is not held.
type bodyRest struct {
	body  *callBody
	watch *watch
}

// Read waits for the caller; the upstream cannot answer meanwhile.
func (r *bodyRest) Read(p []byte) (int, error) {
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	b.opened.Store(true)
	_ = b.ctrl.SetReadDeadline(time.Now().Add(b.timeout))
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	r.watch.pause()
	defer r.watch.resume()
	n, err := b.rest.Read(p)
	b.read.Add(int64(n))
	return n, err
}
