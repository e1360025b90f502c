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
// opened.
type Server struct {
	handler http.Handler
	onError func(error)

	mu          sync.Mutex
	limits      Limits
	current     *generation
	generations []*generation
	closed      bool
}

// generation is an HTTP server with one set of limits.
type generation struct {
	server *http.Server
	conns  *connQueue
}

// New returns a server; onError is called with errors of accepting and serving connections.
func New(handler http.Handler, limits Limits, onError func(error)) *Server {
	s := &Server{handler: handler, onError: onError}
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
	s.limits = l
	g := &generation{
		server: &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: l.HeaderTimeout,
			IdleTimeout:       l.IdleTimeout,
			MaxHeaderBytes:    l.HeaderBytes,
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

// Serve accepts connections until the listener is closed. It then returns nil.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.onError(err)
			time.Sleep(acceptRetry)
			continue
		}
		s.mu.Lock()
		g := s.current
		s.mu.Unlock()
		g.conns.push(c)
	}
}

// acceptRetry is the pause after a failed accept. If there are no free descriptors, some
// are released in that time.
const acceptRetry = 20 * time.Millisecond

// Shutdown closes idle connections and waits until the others are idle or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	generations := s.generations
	s.mu.Unlock()
	var failures []error
	for _, g := range generations {
		failures = append(failures, g.server.Shutdown(ctx))
	}
	return errors.Join(failures...)
}

// Close closes all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	generations := s.generations
	s.mu.Unlock()
	for _, g := range generations {
		_ = g.conns.Close()
		_ = g.server.Close()
	}
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

func (q *connQueue) push(c net.Conn) {
	select {
	case q.conns <- c:
	case <-q.done:
		_ = c.Close()
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
