package gateway

import (
	"sync"
	"time"
)

// idleTimer bounds the silence of the other end of a connection.
type idleTimer struct {
	timer *time.Timer

	mu          sync.Mutex
	idle        time.Duration
	pauses      int
	stopped     bool
	firstByteAt time.Time
}

// newIdleTimer returns a watch that calls silent once nothing was heard for idle.
func newIdleTimer(idle time.Duration, silent func()) *idleTimer {
	return &idleTimer{idle: idle, timer: time.AfterFunc(idle, silent)}
}

// touch notes that the other end was heard.
func (t *idleTimer) touch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arm()
}

func (t *idleTimer) arm() {
	if t.pauses == 0 && !t.stopped {
		t.timer.Reset(t.idle)
	}
}

// pause stops the watch while the other end has to wait for something else. It
// goes on when each pause was resumed.
func (t *idleTimer) pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauses++
	t.timer.Stop()
}

// resume ends a pause.
func (t *idleTimer) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauses--
	t.arm()
}

// setIdle changes the bound, which starts anew.
func (t *idleTimer) setIdle(idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = idle
	t.arm()
}

// stop ends the watch for good.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// markFirstByte notes the first byte of the answer.
func (t *idleTimer) markFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstByteAt.IsZero() {
		t.firstByteAt = time.Now()
	}
}

// firstByte returns the time of the firstByte byte, or zero.
func (t *idleTimer) firstByte() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstByteAt
}
