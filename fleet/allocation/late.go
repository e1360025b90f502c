package allocation

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/hazelworks/hazelworks/fleet/grants"
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

// beginRound records that calls to the log begin, and endRound that they were answered.
func (m *Manager) beginRound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unansweredSince.IsZero() {
		m.unansweredSince = time.Now()
	}
}

func (m *Manager) endRound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unansweredSince = time.Time{}
}

// claimIsLate reports whether a claim of this host is under way and only late, because the host is.
func (m *Manager) claimIsLate(refused *grants.RefusedError, waited time.Duration) bool {
	if !refused.Unreachable || refused.Outage || m.Isolated() {
		return false
	}
	return m.late(waited)
}

// markOverdue records that the log's answer is overdue, unless this host's own timers are late.
func (m *Manager) markOverdue(ctx context.Context) {
	if !m.late(logOverdueAfter) {
		m.markUnreachable(ctx, errOverdue)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
