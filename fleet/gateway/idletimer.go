package gateway

import (
	"sync"
	"time"
)

// idleTimer calls a function when the other end of a connection has sent nothing
// for some time.
type idleTimer struct {
	timer *time.Timer

	mu          sync.Mutex
	idle        time.Duration
	pauses      int
	stopped     bool
	firstByteAt time.Time
}

// newIdleTimer returns a timer that calls silent after idle without data.
func newIdleTimer(idle time.Duration, silent func()) *idleTimer {
	return &idleTimer{idle: idle, timer: time.AfterFunc(idle, silent)}
}

// touch restarts the timer when data has arrived.
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

// pause stops the timer while the other end waits for something else. It runs
// again once every pause is resumed.
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

// setIdle changes the timeout and restarts the timer.
func (t *idleTimer) setIdle(idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = idle
	t.arm()
}

// stop stops the timer permanently.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// markFirstByte records the time of the first byte of the answer.
func (t *idleTimer) markFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstByteAt.IsZero() {
		t.firstByteAt = time.Now()
	}
}

// firstByte returns the time of the first byte, or the zero time.
func (t *idleTimer) firstByte() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstByteAt
}
