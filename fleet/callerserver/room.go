package callerserver

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/connlimit"
)

// ConnLimit bounds the open connections of a server.
type ConnLimit struct {
	// Port names the server in logs and metrics.
	Port string
	// Conns is the largest number of open connections; zero means no bound.
	Conns int
	// Interrupt lets connections yield while a request is handled. It is for requests that have no
	// effect and are answered at once, where only a caller that doesn't read the answer is met.
	Interrupt bool
	// Refusal is the answer to connections that are not served, whose requests are not handled. A few
	// at a time get it, others are closed unread, as all are if it is empty.
	Refusal string
	Logger  logr.Logger
	Metrics metrics.Registry
}

// WithConnLimit bounds the open connections. When all are taken, connections without a request yield
// to new ones; if there are none, the new ones are closed unread.
func WithConnLimit(l ConnLimit) Option {
	return func(s *Server) {
		s.room = &room{
			limit: l, log: l.Logger.WithName("connections"),
			open:    metrics.GetOrRegisterGauge("connections.open."+l.Port, l.Metrics),
			yielded: metrics.GetOrRegisterCounter("connections.yielded."+l.Port, l.Metrics),
			refused: metrics.GetOrRegisterCounter("connections.refused."+l.Port, l.Metrics),
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

const (
	// refusalTime bounds the time in which a refused connection takes its answer.
	refusalTime = 250 * time.Millisecond
	// minRefusals is how many connections may be refused with an answer at a time, however small the limit.
	minRefusals = 8
)

// room is what a server knows of its limit. Only the goroutine that accepts connections uses it,
// except for the gauge and the number of refusals.
type room struct {
	limit ConnLimit
	log   logr.Logger
	open  metrics.Gauge

	yielded, refused metrics.Counter
	// refusing is the number of connections that are being refused with an answer.
	refusing atomic.Int64
	// nextLook is when connections that yield are looked for again.
	nextLook time.Time
	loggedAt time.Time
	// loggedYielded and loggedRefused are the counts at that time.
	loggedYielded, loggedRefused int64
}

// makeRoom reports whether one more connection may be open, after others have yielded to it if all
// are taken.
func (s *Server) makeRoom(now time.Time) bool {
	r := s.room
	if r == nil || r.limit.Conns <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < r.limit.Conns {
		return true
	}
	yielded := 0
	if !now.Before(r.nextLook) {
		yielded = s.yield(now)
		r.yielded.Inc(int64(yielded))
	}
	if yielded == 0 {
		r.refused.Inc(1)
		if !now.Before(r.nextLook) {
			r.nextLook = now.Add(lookInterval)
		}
	}
	r.logFull(now, len(s.conns))
	return yielded > 0
}

// refuse closes a connection that is not served. It discards what arrives until the other end has closed it:
// otherwise the answer might be lost with a reset.
func (r *room) refuse(c net.Conn) {
	if r.limit.Refusal == "" || r.refusing.Load() >= int64(max(minRefusals, connlimit.Batch(r.limit.Conns))) {
		_ = c.Close()
		return
	}
	r.refusing.Add(1)
	go func() {
		defer r.refusing.Add(-1)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refusalTime))
		if _, err := io.WriteString(c, r.limit.Refusal); err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}()
}

// yield closes some connections to make room for others and returns their number. The caller holds mu.
func (s *Server) yield(now time.Time) int {
	open := make([]*trackedConn, 0, len(s.conns))
	described := make([]connlimit.Conn, 0, len(s.conns))
	for c := range s.conns {
		open, described = append(open, c), append(described, c.describe(now))
	}
	yielded, batch := 0, connlimit.Batch(s.room.limit.Conns)
	for _, i := range connlimit.Yielding(described, len(described), now, s.room.limit.Interrupt) {
		if yielded == batch {
			break
		}
		busy := described[i].Phase == connlimit.Busy || described[i].Phase == connlimit.Receiving
		if open[i].yield(described[i].Phase, busy && s.room.limit.Interrupt) {
			s.forget(open[i])
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
	r.log.Info("All connections are taken.", "port", r.limit.Port, "limit", r.limit.Conns, "open", open,
		"yielded", yielded-r.loggedYielded, "refused", refused-r.loggedRefused)
	r.loggedAt, r.loggedYielded, r.loggedRefused = now, yielded, refused
}

// forget removes a connection that is closed. The caller holds mu.
func (s *Server) forget(c *trackedConn) {
	delete(s.conns, c)
	s.countOpen()
}

// countOpen updates the number of open connections in the metrics. The caller holds mu.
func (s *Server) countOpen() {
	if s.room != nil {
		s.room.open.Update(int64(len(s.conns)))
	}
}
