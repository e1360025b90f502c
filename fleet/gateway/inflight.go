package gateway

import (
	"context"
	"sync"
)

// inflight counts what a graceful shutdown waits for: runs, and answers that are
// being sent to callers and peers.
type inflight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count reaches zero; nil without a waiter
}

func (f *inflight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inflight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait waits until nothing is in flight. It returns the cause of ctx if that ends
// first.
func (f *inflight) wait(ctx context.Context) error {
	for {
		f.mu.Lock()
		if f.count == 0 {
			f.mu.Unlock()
			return nil
		}
		if f.idle == nil {
			f.idle = make(chan struct{})
		}
		idle := f.idle
		f.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
