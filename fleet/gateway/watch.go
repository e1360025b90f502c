package gateway

import (
	"sync"
	"time"
)

// watch bounds the silence of an upstream.
type watch struct {
	idle  time.Duration
	timer *time.Timer

	mu      sync.Mutex
	firstAt time.Time
}

// newWatch returns a watch that calls silent once nothing was heard for idle.
func newWatch(idle time.Duration, silent func()) *watch {
	return &watch{idle: idle, timer: time.AfterFunc(idle, silent)}
}

// touch notes that the upstream was heard.
func (w *watch) touch() { w.timer.Reset(w.idle) }

// pause stops the watch while the gateway itself is not reading.
func (w *watch) pause() { w.timer.Stop() }

func (w *watch) stop() { w.timer.Stop() }

// begin notes the first byte of the answer.
func (w *watch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstAt.IsZero() {
		w.firstAt = time.Now()
	}
}

func (w *watch) first() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstAt
}
