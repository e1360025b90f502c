package callerserver

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Door decides which callers are served while a host can't serve all.
type Door interface {
	// Connect counts a new connection, with the request that it brings, and reports whether it
	// is served. Others are closed unread.
	Connect() bool
	// Request counts a later request of a connection and reports whether the connection stays
	// open after the answer.
	Request() (keep bool)
	// ClosedFor returns the time for which no connection will be served.
	ClosedFor() time.Duration
}

// Option is an option of [New].
type Option func(*Server)

// WithDoor sets the door; without one all callers are served.
func WithDoor(d Door) Option { return func(s *Server) { s.door = d } }

// WithListen sets how the listener is opened again. While the door is closed no connection is
// accepted then: callers send nothing that would take up the link, and connect to another host at
// once.
func WithListen(listen func() (net.Listener, error)) Option {
	return func(s *Server) { s.listen = listen }
}

type openDoor struct{}

// Connect implements Door.
func (openDoor) Connect() bool { return true }

// Request implements Door.
func (openDoor) Request() bool { return true }

// ClosedFor implements Door.
func (openDoor) ClosedFor() time.Duration { return 0 }

// connKey is the key of a request's *trackedConn in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
		first, open := c.begin()
		if !open {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			r = c.receive(r)
			defer c.endReceive()
		}
		if c.isRetired() {
			w = closingWriter{w}
		}
		if first {
			s.handler.ServeHTTP(w, r)
			return
		}
	}
	if !s.door.Request() {
		w = closingWriter{w}
	}
	s.handler.ServeHTTP(w, r)
}

// closingWriter ends the caller's connection with the answer, so that the caller chooses a host
// anew.
type closingWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w closingWriter) WriteHeader(status int) {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for [http.ResponseController].
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// maxClosed bounds the time for which no connection is accepted: callers must not take the host for
// lost.
const maxClosed = 500 * time.Millisecond

// awaitDoor closes the listener while the door is closed. It returns the listener to go on with,
// or nil if the server has been closed meanwhile or the listener can't be opened again.
func (s *Server) awaitDoor(l net.Listener) net.Listener {
	d := min(maxClosed, s.door.ClosedFor())
	if d <= 0 || s.listen == nil || s.isClosed() {
		return l // a server that shuts down answers the callers that have connected
	}
	_ = l.Close()
	time.Sleep(d)
	for !s.isClosed() {
		next, err := s.listen()
		if err != nil {
			s.onError(err)
			time.Sleep(acceptRetry)
			continue
		}
		s.mu.Lock()
		s.listener = next
		closed := s.closed
		s.mu.Unlock()
		if closed {
			_ = next.Close()
			return nil
		}
		return next
	}
	return nil
}

// CloseIdle closes the idle connections of callers. A request that has arrived is answered.
func (s *Server) CloseIdle() { s.closeIdle(time.Now()) }
