package allocation

import (
	"context"
	"errors"
	"net"
	"time"
)

// late reports whether this host's own timers were late in the time before now.
func (m *Manager) late(span time.Duration) bool { return m.opt.Late != nil && m.opt.Late(span) }

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
