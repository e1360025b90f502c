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

// plainBody is the body of a plain call: a held beginning and, if it is longer,
// the rest on the caller's connection.
type plainBody struct {
	buffered []byte
	// length is the whole length, or -1 if it is not known.
	length int64
	// ctrl and timeout bound each read of the rest.
	ctrl    *http.ResponseController
	timeout time.Duration

	rest        io.Reader // nil if held is all
	restStarted atomic.Bool
	closed      atomic.Bool
	restBytes   atomic.Int64
	// readMu is held while the rest is read.
	readMu sync.Mutex
}

// replayable reports whether the body can be sent from its beginning.
func (b *plainBody) replayable() bool { return !b.restStarted.Load() }

// bytesRead returns the number of bytes of the body that were read.
func (b *plainBody) bytesRead() int64 { return int64(len(b.buffered)) + b.restBytes.Load() }

// reader returns the body for one attempt.
func (b *plainBody) reader(timer *idleTimer) io.ReadCloser {
	buffered := bytes.NewReader(b.buffered)
	if b.rest == nil {
		return io.NopCloser(struct{ io.Reader }{buffered})
	}
	return io.NopCloser(io.MultiReader(buffered, &restReader{body: b, idleTimer: timer}))
}

// detach ends reads of the caller's connection, before its handler returns.
func (b *plainBody) detach() {
	if b.rest == nil {
		return
	}
	b.closed.Store(true)
	_ = b.ctrl.SetReadDeadline(time.Now())
	b.readMu.Lock()
	defer b.readMu.Unlock()
}

// restReader reads the part of a body that is not held.
type restReader struct {
	body      *plainBody
	idleTimer *idleTimer
}

// Read waits for the caller; the upstream cannot answer meanwhile.
func (r *restReader) Read(p []byte) (int, error) {
	b := r.body
	b.readMu.Lock()
	defer b.readMu.Unlock()
	b.restStarted.Store(true)
	_ = b.ctrl.SetReadDeadline(time.Now().Add(b.timeout))
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	r.idleTimer.pause()
	defer r.idleTimer.resume()
	n, err := b.rest.Read(p)
	b.restBytes.Add(int64(n))
	return n, err
}
