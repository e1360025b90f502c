package peer

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Server serves the calls of other hosts on a peer address.
type Server struct {
	http *http.Server
	// onError is called with errors of accepting connections.
	onError func(error)
	// room bounds the open connections. It may be nil.
	room *room

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// Option is an option of [NewServer].
type Option func(*Server)

// WithAcceptErrors has a function called with errors of accepting connections. The server goes on
// after them.
func WithAcceptErrors(f func(error)) Option { return func(s *Server) { s.onError = f } }

// NewServer returns the server of a peer address. headerTimeout limits the time to
// read the headers of a request.
func NewServer(handler http.Handler, headerTimeout time.Duration, options ...Option) *Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			ConnContext:       withConn,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingAfter,
				PingTimeout:     pingTimeout,
			},
		},
		onError: func(error) {},
		conns:   make(map[*serverConn]struct{}),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Serve accepts connections until the server is closed or shut down. It then returns
// [http.ErrServerClosed].
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(listener{l, s}) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

const (
	// unusedLinger is the time for which other hosts may answer the notice of the shutdown. Connections
	// that nothing uses are closed then.
	unusedLinger = 2 * time.Second
	// shutdownPoll is the time between two looks for such connections.
	shutdownPoll = 100 * time.Millisecond
)

// Shutdown stops accepting connections and waits until the calls in progress are answered and their
// answers are written. It returns the error of ctx if ctx ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.http.Shutdown(ctx) }()
	began := time.Now()
	tick := time.NewTicker(shutdownPoll)
	defer tick.Stop()
	for {
		select {
		case err := <-done:
			return err
		case now := <-tick.C:
			if now.Sub(began) >= unusedLinger {
				s.closeUnused(now)
			}
		}
	}
}

func (s *Server) closeUnused(now time.Time) {
	for _, c := range s.openList() {
		c.closeUnused(now)
	}
}

func (s *Server) openList() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.countOpen()
}

// countOpen updates the number of open connections in the metrics. The caller holds mu.
func (s *Server) countOpen() {
	if s.room != nil {
		s.room.open.Update(int64(len(s.conns)))
	}
}

// acceptRetry is the pause after a failed accept. If there are no free descriptors, some are released in
// that time.
const acceptRetry = 20 * time.Millisecond

// listener tracks the connections of a server. Accept fails only once the listener is closed.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			if c := l.server.admit(conn, time.Now()); c != nil {
				return c, nil
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.server.onError(err)
		time.Sleep(acceptRetry)
	}
}

func (s *Server) track(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.countOpen()
}
