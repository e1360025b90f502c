package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Dialect tells what the heads of an upstream's answers mean.
type Dialect interface {
	// Belongs tells whether an answer is that of the request with an ID.
	Belongs(resp *http.Response, requestID string) bool
}

// Request is a request in the form in which it leaves.
type Request struct {
	// ID is the ID that the answer must echo.
	ID     string
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConn requests get a new connection: idle ones are suspected to have been
	// forgotten on their path.
	NewConn bool
	// HasBody is false if the request has no body at all, not even an empty one.
	HasBody bool
}

// Errors of [Pool.Send].
var (
	// ErrNotSent marks failures before any byte of a request has left.
	ErrNotSent = errors.New("exchange: nothing was sent")
	// ErrForeign reports that other answers came in place of the request's own.
	ErrForeign = errors.New("exchange: answers of other requests")
)

const (
	// asyncBodyBytes is the size from which a body is written while the answer is
	// read: an upstream may answer before it has read all of it.
	asyncBodyBytes = 2 << 10
	// maxForeignAnswers bounds the answers of other requests that are skipped.
	maxForeignAnswers = 4
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBytes = 256 << 10
	// writeGrace bounds the wait for the rest of a body to be written after the
	// answer has ended; an unfinished connection is closed.
	writeGrace = 200 * time.Millisecond
)

// Response is the answer to a request. Close must be called.
type Response struct {
	*http.Response
	// Reused is true if the connection had served a request before.
	Reused bool

	pool        *Pool
	conn        *conn
	wrote       chan error
	stop        func() bool
	complete    bool
	foreignSeen bool // another answer came first on this connection
}

// Send sends a request and returns the head of its answer. The connection is
// closed when ctx ends. An error that wraps ErrNotSent is certain; any other one
// leaves open whether the request ran.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.connect(ctx, r.NewConn)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() != nil {
		p.put(c, 0)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	resp := &Response{pool: p, conn: c, Reused: c.reused, wrote: make(chan error, 1)}
	resp.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	resp.write(r)
	if err := resp.readHead(r); err != nil {
		resp.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return resp, nil
}

// write sends the request, a long body in the background.
func (r *Response) write(req *Request) {
	head := encodeHead(req)
	if len(req.Body) < asyncBodyBytes {
		_, err := r.conn.Write(append(head, req.Body...))
		r.wrote <- err
		return
	}
	go func() {
		_, err := r.conn.Write(append(head, req.Body...))
		r.wrote <- err
	}()
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
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads heads until that of the request's own answer.
func (r *Response) readHead(req *Request) error {
	for range maxForeignAnswers {
		resp, err := http.ReadResponse(r.conn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return fmt.Errorf("exchange: read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if r.pool.opt.Dialect.Belongs(resp, req.ID) {
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

// Read reads the body. It returns io.EOF only after a whole one.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close keeps the connection for other requests if the answer was read to its
// end, and closes it otherwise.
func (r *Response) Close() {
	if !r.reusable() || !r.awaitWritten() {
		r.abort()
		return
	}
	if !r.stop() {
		return // the context has ended and closed it
	}
	r.pool.put(r.conn, keepAliveTimeout(r.Header.Get("Keep-Alive")))
}

func (r *Response) reusable() bool {
	return r.complete && !r.foreignSeen && !r.Response.Close && r.conn.reader.Buffered() == 0
}

// awaitWritten waits for the end of the request's body.
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
