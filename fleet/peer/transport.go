package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// errSilent ends calls over a connection that has gone silent.
var errSilent = errors.New("peer: the connection has gone silent")

const (
	// checkAfter is the time for which a call receives nothing before its connection
	// is checked.
	checkAfter = time.Second
	// checkTimeout is the time without an answer to a check after which the connection
	// is considered dead.
	checkTimeout = 1500 * time.Millisecond
	// checkPath is the path that checks request; any answer shows that the connection
	// works.
	checkPath = "/"
)

// guardedTransport detects connections that go silent while calls wait on them. It
// sends a small request over the same connection. If that gets no answer either, it
// closes the connection, which ends the calls on it; later calls use a new one.
// Connections without calls cost nothing.
type guardedTransport struct {
	// header is the Authorization header of each call.
	header string
	dial   DialFunc

	mu         sync.Mutex
	transports map[string]*hostTransport
}

func newGuardedTransport(header string, dial DialFunc) *guardedTransport {
	return &guardedTransport{header: header, dial: dial, transports: make(map[string]*hostTransport)}
}

// hostTransport is the transport for one address. It tracks its open connections.
type hostTransport struct {
	*http.Transport
	dial DialFunc

	mu     sync.Mutex
	conns  map[*trackedConn]struct{}
	closed bool
}

func newHostTransport(dial DialFunc) *hostTransport {
	t := &hostTransport{dial: dial, conns: make(map[*trackedConn]struct{})}
	t.Transport = newTransport(t.dialTracked)
	return t
}

// dialTracked opens a connection and tracks it so that close can close it.
func (t *hostTransport) dialTracked(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := t.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = conn.Close()
		return nil, errSilent
	}
	tracked := &trackedConn{Conn: conn, transport: t}
	t.conns[tracked] = struct{}{}
	return tracked, nil
}

// trackedConn removes itself from its transport when it is closed.
type trackedConn struct {
	net.Conn
	transport *hostTransport
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.Conn.Close()
}

// close closes all connections, which ends the calls on them.
func (t *hostTransport) close() {
	t.mu.Lock()
	t.closed = true
	open := slices.Collect(maps.Keys(t.conns))
	t.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// RoundTrip sends a copy of the request with the secret.
func (t *guardedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	transport := t.transportFor(r.URL.Host)
	timer := newSilenceTimer(func() { t.check(ctx, transport, r, cancel) })
	request := r.Clone(ctx)
	request.Header.Set("Authorization", t.header)
	response, err := transport.RoundTrip(request)
	if err != nil {
		timer.stop()
		cancel(nil)
		return nil, markSilent(ctx, err)
	}
	timer.reset()
	response.Body = &guardedBody{ReadCloser: response.Body, ctx: ctx, timer: timer, cancel: cancel}
	return response, nil
}

// markSilent wraps err in errSilent if the call ended because its connection went
// silent.
func markSilent(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

func (t *guardedTransport) transportFor(addr string) *hostTransport {
	t.mu.Lock()
	defer t.mu.Unlock()
	transport, ok := t.transports[addr]
	if !ok {
		transport = newHostTransport(t.dial)
		t.transports[addr] = transport
	}
	return transport
}

// check sends a small request over the connection of a waiting call. If no answer
// arrives, it cancels the call with errSilent and drops the transport.
func (t *guardedTransport) check(ctx context.Context, transport *hostTransport, r *http.Request, cancel context.CancelCauseFunc) {
	checkCtx, stop := context.WithTimeout(ctx, checkTimeout)
	defer stop()
	url := *r.URL
	url.Path, url.RawQuery = checkPath, ""
	request, err := http.NewRequestWithContext(checkCtx, http.MethodHead, url.String(), nil)
	if err != nil {
		return
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
		return
	}
	if ctx.Err() != nil {
		return // the call ended before the check did
	}
	cancel(errSilent)
	t.drop(r.URL.Host, transport)
}

// drop closes a transport whose connection has gone silent; later calls create a new
// one.
func (t *guardedTransport) drop(addr string, silent *hostTransport) {
	t.mu.Lock()
	if t.transports[addr] == silent {
		delete(t.transports, addr)
	}
	t.mu.Unlock()
	silent.close()
}

// CloseIdleConnections closes the connections without calls.
func (t *guardedTransport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.transports {
		transport.CloseIdleConnections()
	}
}

// silenceTimer runs a check whenever a call has received nothing for checkAfter.
type silenceTimer struct {
	check func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newSilenceTimer(check func()) *silenceTimer {
	s := &silenceTimer{check: check}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(checkAfter, s.run)
	return s
}

func (s *silenceTimer) run() {
	s.check()
	s.reset()
}

// reset starts the wait again. It does nothing after stop.
func (s *silenceTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(checkAfter)
	}
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// guardedBody resets the timer of a call at each read, until the response ends.
type guardedBody struct {
	io.ReadCloser
	ctx    context.Context
	timer  *silenceTimer
	cancel context.CancelCauseFunc
}

// Read reads from the response.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.timer.stop()
		if !errors.Is(err, io.EOF) {
			err = markSilent(b.ctx, err)
		}
		return n, err
	}
	b.timer.reset()
	return n, nil
}

// Close ends the call.
func (b *guardedBody) Close() error {
	b.timer.stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
