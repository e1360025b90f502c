package peer

import (
	"context"
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

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// NewServer returns the server of a peer address. headerTimeout limits the time to
// read the headers of a request.
func NewServer(handler http.Handler, headerTimeout time.Duration) *Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
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
		conns: make(map[*serverConn]struct{}),
	}
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
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range open {
		c.closeUnused(now)
	}
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// listener tracks the connections of a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &serverConn{Conn: conn, server: l.server, usedAt: time.Now()}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}
