package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// Dialect interprets the heads of upstreams' answers.
type Dialect interface {
	// Belongs reports whether an answer is to the request with an ID. reused is true if
	// the connection has carried other requests, whose answers may come twice.
	Belongs(resp *http.Response, requestID string, reused bool) bool
}

// Request is a request as it is sent to an upstream.
type Request struct {
	// ID is the ID that the answer must echo.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the body, in any number of parts. It is not changed, and not read any more once Written,
	// which may be nil, is called.
	Body    [][]byte
	Written func()
	// NewConn is true if the request needs a new connection: the path may have lost the
	// state of the idle ones, or the request was sent on one of them before.
	NewConn bool
	// OpenedBy is the latest time at which the connection may have been opened; zero means
	// that any connection can be used.
	OpenedBy time.Time
	// HasBody is false if the request has no body at all, not even an empty one.
	HasBody bool
}

// Errors of [Pool.Send].
var (
	// ErrNotSent reports a failure before any byte of the request was sent.
	ErrNotSent = errors.New("exchange: nothing was sent")
	// ErrTooNew reports that the request may only use a connection that was opened before now,
	// and that there is none.
	ErrTooNew = errors.New("exchange: no connection that is old enough")
	// ErrForeign reports that answers to other requests were received instead of the
	// request's own.
	ErrForeign = errors.New("exchange: answers of other requests")
	// ErrNoAnswer reports that the connection failed or ended before the head of an answer was complete.
	ErrNoAnswer = errors.New("exchange: no answer")
	// ErrMalformed reports bytes that are no valid answer, in its head or in its body. The connection on
	// which they came has not failed.
	ErrMalformed = errors.New("exchange: malformed answer")
)

// ErrBrokenOff is returned by [Response.Read] if the connection failed or ended before the answer did.
var ErrBrokenOff = errors.New("exchange: answer broken off")

// IsClosedByPeer reports whether an error means that the upstream, or its operating system, has
// closed or reset the connection. Silence and timeouts are not.
func IsClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

const (
	// asyncBodyBytes is the size from which a body is written while the answer is read.
	// An upstream may answer before it has read the whole body.
	asyncBodyBytes = 2 << 10
	// writeBytes is the most that is written with one call. Parts of a body are joined up to that size.
	writeBytes = 64 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxForeignAnswers bounds the number of answers to other requests that are skipped.
	maxForeignAnswers = 4
	// maxForeignBytes bounds the size of a skipped answer's body.
	maxForeignBytes = 256 << 10
	// writeGrace bounds the wait for the rest of a request's body to be written after
	// the answer has ended. If it is exceeded, the connection is closed.
	writeGrace = 200 * time.Millisecond
)

// Response is the answer to a request. Close must be called.
type Response struct {
	*http.Response
	// Reused is true if the connection had served a request before.
	Reused bool
	// OpenedAt is when the connection was opened.
	OpenedAt time.Time

	pool        *Pool
	conn        *conn
	wrote       chan error
	stop        func() bool
	complete    bool
	foreignSeen bool // an answer to another request was skipped on this connection
}

// Send sends a request and returns its answer once the head was read. The connection is
// closed when ctx ends. An error that wraps [ErrNotSent] guarantees that the request did
// not run. After any other error it may have run.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.connect(ctx, r.NewConn, r.OpenedBy)
	if err != nil {
		r.written()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() != nil {
		r.written()
		p.put(c, 0)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	resp := &Response{pool: p, conn: c, Reused: c.reused, OpenedAt: c.openedAt, wrote: make(chan error, 1)}
	resp.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	resp.write(r)
	if err := resp.readHead(r); err != nil {
		if IsClosedByPeer(err) {
			p.closedByPeer()
		}
		resp.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return resp, nil
}

// write sends the request. A request with a long body is sent in the background.
func (r *Response) write(req *Request) {
	head, size := encodeHead(req), req.size()
	if size < asyncBodyBytes {
		for _, part := range req.Body {
			head = append(head, part...)
		}
		_, err := r.conn.Write(head)
		req.written()
		r.wrote <- err
		return
	}
	go func() {
		err := writeParts(r.conn, head, req)
		req.written()
		r.wrote <- err
	}()
}

// writeParts writes a head and a body with few calls. An error of one write fails those after it.
func writeParts(w io.Writer, head []byte, req *Request) error {
	buffered := bufio.NewWriterSize(w, min(writeBytes, len(head)+req.size()))
	_, _ = buffered.Write(head)
	for _, part := range req.Body {
		_, _ = buffered.Write(part)
	}
	return buffered.Flush()
}

// size returns the size of the body in bytes.
func (r *Request) size() int {
	size := 0
	for _, part := range r.Body {
		size += len(part)
	}
	return size
}

func (r *Request) written() {
	if r.Written != nil {
		r.Written()
	}
}

func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	// Writing to a buffer does not fail.
	_ = req.Header.Write(&b)
	if req.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(req.size()) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads answers until the head of the request's own answer.
func (r *Response) readHead(req *Request) error {
	for range maxForeignAnswers {
		resp, err := r.conn.readHead(req.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.pool.opt.Dialect.Belongs(resp, req.ID, r.conn.reused) {
			r.Response = resp
			return nil
		}
		r.foreignSeen = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes {
			return ErrForeign
		}
	}
	return ErrForeign
}

// Read reads the body. It returns io.EOF only after a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.complete = true
		return n, io.EOF
	case IsClosedByPeer(err):
		r.pool.closedByPeer()
	}
	return n, r.conn.readError(ErrBrokenOff, err)
}

// Close keeps the connection for other requests if the answer was read completely, and
// closes it otherwise.
func (r *Response) Close() {
	if !r.reusable() || !r.awaitWritten() {
		r.abort()
		return
	}
	if !r.stop() {
		return // the context has ended, which closes the connection
	}
	r.pool.put(r.conn, keepAliveTimeout(r.Header.Get("Keep-Alive")))
}

func (r *Response) reusable() bool {
	return r.complete && !r.foreignSeen && !r.Response.Close && r.conn.reader.Buffered() == 0
}

// awaitWritten waits until the request is written and reports whether that succeeded
// within writeGrace.
func (r *Response) awaitWritten() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-r.wrote:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (r *Response) abort() {
	r.stop()
	_ = r.conn.Close()
}
