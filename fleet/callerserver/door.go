package callerserver

import (
	"net"
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
func WithDoor(Door) Option { return func(*Server) {} }

// WithListen sets how the listener is opened again.
func WithListen(func() (net.Listener, error)) Option { return func(*Server) {} }

// maxClosed bounds the time for which no connection is accepted: callers must not take the host for
// lost.
const maxClosed = 500 * time.Millisecond

// CloseIdle closes the idle connections of callers. A request that has arrived is answered.
func (s *Server) CloseIdle() { s.closeIdle(time.Now()) }
