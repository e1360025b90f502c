package allocation

import (
	"context"
	"errors"
	"net"
	"time"
)

// maxLateExcuse is the time without an answer of the log after which it counts as lost even if this
// host is late: longer than a call waits, and shorter than most outages.
const maxLateExcuse = 2 * time.Second

// late reports whether this host's own timers were late in the time before now, so that an overdue
// answer of the log proves nothing yet.
func (m *Manager) late(span time.Duration) bool {
	if m.opt.Late == nil || !m.opt.Late(span) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unansweredSince.IsZero() || time.Since(m.unansweredSince) < maxLateExcuse
}

// beginRound records that calls to the log begin. Rounds that fail without an answer count as one.
func (m *Manager) beginRound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unansweredSince.IsZero() {
		m.unansweredSince = time.Now()
	}
}

// answered records that the log has answered one of the calls of a round.
func (m *Manager) answered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unansweredSince.IsZero() {
		m.unansweredSince = time.Now()
	}
}

// endRound records that the calls of a round were answered.
func (m *Manager) endRound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unansweredSince = time.Time{}
}

// watchAnswers marks the log as unreachable if an answer becomes overdue before ctx ends, unless
// this host's own timers are late.
func (m *Manager) watchAnswers(ctx context.Context) {
	left := logOverdueAfter
	for left > 0 {
		pause(ctx, left)
		if ctx.Err() != nil {
			return
		}
		m.mu.Lock()
		left = logOverdueAfter - time.Since(m.unansweredSince)
		m.mu.Unlock()
		if left <= 0 && m.late(logOverdueAfter) {
			left = logOverdueAfter
		}
	}
	m.markUnreachable(ctx, errOverdue)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
