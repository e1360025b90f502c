// Package callerserver accepts callers' connections and serves them within the
// limits in force. The limits may change while connections are open.
package callerserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound the size of a request's header and the times to send it and between
// requests.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server serves callers. A connection keeps the limits that were in force when it was
// opened. If others allow more, it is closed as soon as no request of it is in progress.
type Server struct {
	handler http.Handler
	onError func(error)

	mu          sync.Mutex
	limits      Limits
	current     *generation
	generations []*generation
	listener    net.Listener
	closed      bool
	// accepted is closed once no connections are accepted any more.
	accepted chan struct{}
	conns    map[*trackedConn]struct{}
	door     Door
	// listen opens the listener again. It may be nil.
	listen func() (net.Listener, error)
	// writeStall is how long a write to a caller may make no progress. Zero means no bound.
	writeStall time.Duration
	// room bounds the open connections. It may be nil.
	room *room
}

// generation is an HTTP server with one set of limits.
type generation struct {
	server *http.Server
	conns  *connQueue
}

// New returns a server; onError is called with errors of accepting and serving connections.
func New(handler http.Handler, limits Limits, onError func(error), options ...Option) *Server {
	s := &Server{handler: handler, onError: onError, accepted: make(chan struct{}), conns: make(map[*trackedConn]struct{}), door: openDoor{}}
	for _, o := range options {
		o(s)
	}
	s.SetLimits(limits)
	return s
}

// SetLimits changes the limits for connections that are opened from now on.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.current != nil && l == s.limits {
		return
	}
	if s.current != nil && l.allowMore(s.limits) {
		s.retireConns()
	}
	s.limits = l
	g := &generation{
		server: &http.Server{
			Handler:           http.HandlerFunc(s.serveRequest),
			ReadHeaderTimeout: l.HeaderTimeout,
			IdleTimeout:       l.IdleTimeout,
			MaxHeaderBytes:    l.HeaderBytes,
			ConnState:         s.trackState,
			ConnContext:       withConn,
		},
		conns: newConnQueue(),
	}
	if s.current != nil {
		_ = s.current.conns.Close()
	}
	s.current = g
	s.generations = append(s.generations, g)
	go func() {
		err := g.server.Serve(g.conns)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.onError(err)
		}
	}()
}

// allowMore reports whether a request that keeps the limits may break others.
func (l Limits) allowMore(than Limits) bool {
	return l.HeaderBytes > than.HeaderBytes || l.HeaderTimeout > than.HeaderTimeout
}

// retireConns has all connections closed that are open. The caller holds mu.
func (s *Server) retireConns() {
	now := time.Now()
	for c := range s.conns {
		if c.retire(now) {
			s.forget(c)
		}
	}
}

// Serve accepts connections until the listener is closed or the server shuts down. It then
// returns nil.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.accepted)
	s.mu.Lock()
	s.listener = l
	if s.closed {
		_ = l.Close()
	}
	s.mu.Unlock()
	for {
		if l = s.awaitDoor(l); l == nil {
			return nil
		}
		c, err := l.Accept()
		if err == nil && !s.door.Connect() && !s.isClosed() {
			_ = c.Close() // unread: the caller may repeat its request at another host
			continue
		}
		if err == nil && !s.makeRoom(time.Now()) {
			s.room.refuse(c)
			continue
		}
		if err == nil {
			s.serveConn(c)
			continue
		}
		var temporary net.Error
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &temporary) && temporary.Timeout():
			if s.isClosed() {
				_ = l.Close()
				return nil
			}
		default:
			s.onError(err)
			time.Sleep(acceptRetry)
		}
	}
}

// serveConn passes a connection to the server with the current limits. These may change
// meanwhile.
func (s *Server) serveConn(c net.Conn) {
	tracked := newTrackedConn(c)
	tracked.writeStall = s.writeStall
	s.mu.Lock()
	s.conns[tracked] = struct{}{}
	s.countOpen()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		g := s.current
		s.mu.Unlock()
		if g.conns.push(tracked) {
			return
		}
		s.mu.Lock()
		ended := s.current == g
		if ended {
			s.forget(tracked)
		}
		s.mu.Unlock()
		if ended {
			_ = c.Close()
			return
		}
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// acceptRetry is the pause after a failed accept. If there are no free descriptors, some
// are released in that time.
const acceptRetry = 20 * time.Millisecond

const (
	// acceptDrain is the time in which a server that shuts down still accepts the
	// connections that callers have opened before.
	acceptDrain = 20 * time.Millisecond
	// shutdownPoll is the time between two looks for connections that have become idle.
	shutdownPoll = 5 * time.Millisecond
)

// Shutdown stops accepting, answers the requests that have arrived, and closes each
// connection once it is idle. It returns the cause of ctx if ctx ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		stopAccepting(listener)
		select {
		case <-s.accepted:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	tick := time.NewTicker(shutdownPoll)
	defer tick.Stop()
	for s.closeIdle(time.Now()) > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return s.Close()
}

// stopAccepting makes a listener fail once it has returned the connections that are open.
func stopAccepting(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(time.Now().Add(acceptDrain)) == nil {
		return
	}
	_ = l.Close()
}

// closeIdle closes the idle connections and returns the number of all others.
func (s *Server) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		if c.closeIdle(now) {
			s.forget(c)
			continue
		}
		busy++
	}
	return busy
}

// trackState implements the ConnState hook of [http.Server].
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	c.setState(state)
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(c)
}

// Close stops accepting and closes all connections at once. It returns nil.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	generations, listener := s.generations, s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, g := range generations {
		_ = g.conns.Close()
		_ = g.server.Close()
	}
	return nil
}

// connQueue is a listener that returns connections accepted by another one.
type connQueue struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnQueue() *connQueue {
	return &connQueue{conns: make(chan net.Conn), done: make(chan struct{})}
}

// push waits until the connection is accepted. It returns false if the queue is closed.
func (q *connQueue) push(c net.Conn) bool {
	select {
	case q.conns <- c:
		return true
	case <-q.done:
		return false
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.done) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return &net.TCPAddr{} }
