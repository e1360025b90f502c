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

// errBodyClosed is returned by reads of a streamed body after its caller
// disconnected.
var errBodyClosed = errors.New("the caller went away before its body was complete")

// plainBody is the body of a plain call: a buffered first part and, if the body is
// longer, the rest on the caller's connection.
type plainBody struct {
	buffered []byte
	// length is the total length in bytes, or -1 if it is not known.
	length int64
	// Each read of the rest sets a deadline of timeout on ctrl.
	ctrl    *http.ResponseController
	timeout time.Duration

	rest        io.Reader // nil if the whole body is buffered
	restStarted atomic.Bool
	closed      atomic.Bool
	restBytes   atomic.Int64
	// readMu is locked while the rest is read.
	readMu sync.Mutex
}

// replayable reports whether the body can still be sent from its start.
func (b *plainBody) replayable() bool { return !b.restStarted.Load() }

// bytesRead returns the number of bytes that were read: the buffered part and
// what followed of the rest.
func (b *plainBody) bytesRead() int64 { return int64(len(b.buffered)) + b.restBytes.Load() }

// reader returns the body for one attempt.
func (b *plainBody) reader(timer *idleTimer) io.ReadCloser {
	buffered := bytes.NewReader(b.buffered)
	if b.rest == nil {
		return io.NopCloser(struct{ io.Reader }{buffered})
	}
	return io.NopCloser(io.MultiReader(buffered, &restReader{body: b, idleTimer: timer}))
}

// detach ends reads of the caller's connection. It must be called before the
// caller's handler returns.
func (b *plainBody) detach() {
	if b.rest == nil {
		return
	}
	b.closed.Store(true)
	_ = b.ctrl.SetReadDeadline(time.Now())
	b.readMu.Lock()
	defer b.readMu.Unlock()
}

// restReader reads the part of a body that is not buffered.
type restReader struct {
	body      *plainBody
	idleTimer *idleTimer
}

// Read reads from the caller's connection. The idle timer is paused meanwhile,
// since the upstream cannot answer before it has the body.
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
