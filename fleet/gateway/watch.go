package gateway

import (
	"sync"
	"time"
)

// watch bounds the silence of the other end of a connection.
type watch struct {
	timer *time.Timer

	mu      sync.Mutex
	idle    time.Duration
	pauses  int
	stopped bool
	firstAt time.Time
}

// newWatch returns a watch that calls silent once nothing was heard for idle.
func newWatch(idle time.Duration, silent func()) *watch {
	return &watch{idle: idle, timer: time.AfterFunc(idle, silent)}
}

// touch notes that the other end was heard.
func (w *watch) touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm()
}

func (w *watch) arm() {
	if w.pauses == 0 && !w.stopped {
		w.timer.Reset(w.idle)
	}
}

// pause stops the watch while the other end has to wait for something else. It
// goes on when each pause was resumed.
func (w *watch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauses++
	w.timer.Stop()
}

// resume ends a pause.
func (w *watch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauses--
	w.arm()
}

// setIdle changes the bound, which starts anew.
func (w *watch) setIdle(idle time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idle = idle
	w.arm()
}

// stop ends the watch for good.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// begin notes the first byte of the answer.
func (w *watch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstAt.IsZero() {
		w.firstAt = time.Now()
	}
}

// first returns the time of the first byte, or zero.
func (w *watch) first() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstAt
}
