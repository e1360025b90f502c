package peer

import (
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/connlimit"
)

// ConnLimit bounds the open connections of a server.
type ConnLimit struct {
	// Conns is the largest number of open connections; zero means no bound.
	Conns   int
	Logger  logr.Logger
	Metrics metrics.Registry
}

// WithConnLimit bounds the open connections. When all are taken, those without a call of another host yield
// to new ones; if there are none, the new ones are closed unread.
func WithConnLimit(l ConnLimit) Option {
	return func(s *Server) {
		s.room = &room{
			limit: l.Conns, log: l.Logger.WithName("connections"),
			open:    metrics.GetOrRegisterGauge("connections.open.peer", l.Metrics),
			yielded: metrics.GetOrRegisterCounter("connections.yielded.peer", l.Metrics),
			refused: metrics.GetOrRegisterCounter("connections.refused.peer", l.Metrics),
		}
	}
}

const (
	// lookInterval is the least time between two looks for connections that yield, after one that
	// has found none.
	lookInterval = 10 * time.Millisecond
	// fullLogInterval is the least time between two log lines about a full port.
	fullLogInterval = time.Second
)

// room is what a server knows of its limit. Only the goroutine that accepts connections uses it, except for
// the gauge.
type room struct {
	limit int
	log   logr.Logger
	open  metrics.Gauge

	yielded, refused metrics.Counter
	// nextLook is when connections that yield are looked for again.
	nextLook time.Time
	loggedAt time.Time
	// loggedYielded and loggedRefused are the counts at that time.
	loggedYielded, loggedRefused int64
}

// admit tracks a new connection. It closes it and returns nil if all are taken and none yields.
func (s *Server) admit(conn net.Conn, now time.Time) *serverConn {
	if !s.makeRoom(now) {
		_ = conn.Close()
		return nil
	}
	c := newServerConn(conn, s, now)
	s.track(c)
	return c
}

// makeRoom reports whether one more connection may be open, after others have yielded to it if all are taken.
func (s *Server) makeRoom(now time.Time) bool {
	r := s.room
	if r == nil || r.limit <= 0 || s.openConns() < r.limit {
		return true
	}
	yielded := 0
	if !now.Before(r.nextLook) {
		if yielded = s.yield(now); yielded == 0 {
			r.nextLook = now.Add(lookInterval)
		}
		r.yielded.Inc(int64(yielded))
	}
	if yielded == 0 {
		r.refused.Inc(1)
	}
	r.logFull(now, s.openConns())
	return yielded > 0
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// yield closes some connections to make room for others and returns their number.
func (s *Server) yield(now time.Time) int {
	open := s.openList()
	described := make([]connlimit.Conn, 0, len(open))
	for _, c := range open {
		described = append(described, c.describe(now))
	}
	yielded, batch := 0, connlimit.Batch(s.room.limit)
	for _, i := range connlimit.Yielding(described, len(described), now, false) {
		if yielded == batch {
			break
		}
		if open[i].closeUnused(now) {
			yielded++
		}
	}
	return yielded
}

func (r *room) logFull(now time.Time, open int) {
	if now.Sub(r.loggedAt) < fullLogInterval {
		return
	}
	yielded, refused := r.yielded.Count(), r.refused.Count()
	r.log.Info("All connections are taken.", "port", "peer", "limit", r.limit, "open", open,
		"yielded", yielded-r.loggedYielded, "refused", refused-r.loggedRefused)
	r.loggedAt, r.loggedYielded, r.loggedRefused = now, yielded, refused
}
