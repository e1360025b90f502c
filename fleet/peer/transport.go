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
	// A call that hears nothing for this long has its connection checked.
	checkAfter = time.Second
	// A check without an answer for this long means that the connection is dead.
	checkTimeout = 1500 * time.Millisecond
	// checkPath is asked for by checks; any answer will do.
	checkPath = "/"
)

// guardedTransport finds connections that have gone silent while calls wait on
// them. It sends a small request over the same connection; if that gets no
// answer either, the connection is closed, its calls end, and later ones use a
// new one. Connections that carry no call cost nothing.
type guardedTransport struct {
	header string
	dial   DialFunc

	mu    sync.Mutex
	links map[string]*link
}

func newGuardedTransport(header string, dial DialFunc) *guardedTransport {
	return &guardedTransport{header: header, dial: dial, links: make(map[string]*link)}
}

// link is the way to one address.
type link struct {
	*http.Transport
	dial DialFunc

	mu     sync.Mutex
	conns  map[*trackedConn]struct{}
	closed bool
}

func newLink(dial DialFunc) *link {
	l := &link{dial: dial, conns: make(map[*trackedConn]struct{})}
	l.Transport = newTransport(l.connect)
	return l
}

// connect opens a connection and keeps it, so that it can be closed.
func (l *link) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := l.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
		return nil, errSilent
	}
	tracked := &trackedConn{Conn: conn, link: l}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// trackedConn leaves its link when it is closed.
type trackedConn struct {
	net.Conn
	link *link
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// close closes the connections with all their calls.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	open := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// RoundTrip sends a copy of the request with the secret.
func (t *guardedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	way := t.link(r.URL.Host)
	w := newWatch(func() { t.check(ctx, way, r, cancel) })
	request := r.Clone(ctx)
	request.Header.Set("Authorization", t.header)
	response, err := way.RoundTrip(request)
	if err != nil {
		w.stop()
		cancel(nil)
		return nil, cause(ctx, err)
	}
	w.touch()
	response.Body = &guardedBody{ReadCloser: response.Body, ctx: ctx, watch: w, cancel: cancel}
	return response, nil
}

// cause names a silent connection as the reason of an error.
func cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

func (t *guardedTransport) link(addr string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[addr]
	if !ok {
		l = newLink(t.dial)
		t.links[addr] = l
	}
	return l
}

// check asks for any answer over the connection of a waiting call.
func (t *guardedTransport) check(ctx context.Context, way *link, r *http.Request, cancel context.CancelCauseFunc) {
	checkCtx, stop := context.WithTimeout(ctx, checkTimeout)
	defer stop()
	url := *r.URL
	url.Path, url.RawQuery = checkPath, ""
	request, err := http.NewRequestWithContext(checkCtx, http.MethodHead, url.String(), nil)
	if err != nil {
		return
	}
	response, err := way.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
		return
	}
	if ctx.Err() != nil {
		return // the call has ended meanwhile
	}
	cancel(errSilent)
	t.drop(r.URL.Host, way)
}

// drop closes a silent link; later calls open another.
func (t *guardedTransport) drop(addr string, silent *link) {
	t.mu.Lock()
	if t.links[addr] == silent {
		delete(t.links, addr)
	}
	t.mu.Unlock()
	silent.close()
}

// CloseIdleConnections closes the connections that carry no call.
func (t *guardedTransport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		l.CloseIdleConnections()
	}
}

// watch runs a check each time nothing was heard for checkAfter.
type watch struct {
	check func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newWatch(check func()) *watch {
	w := &watch{check: check}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(checkAfter, w.run)
	return w
}

func (w *watch) run() {
	w.check()
	w.touch()
}

// touch notes that something was heard.
func (w *watch) touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(checkAfter)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// guardedBody keeps the watch going until the answer ends.
type guardedBody struct {
	io.ReadCloser
	ctx    context.Context
	watch  *watch
	cancel context.CancelCauseFunc
}

// Read reads the answer.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.watch.stop()
		if !errors.Is(err, io.EOF) {
			err = cause(b.ctx, err)
		}
		return n, err
	}
	b.watch.touch()
	return n, nil
}

// Close ends the call.
func (b *guardedBody) Close() error {
	b.watch.stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
