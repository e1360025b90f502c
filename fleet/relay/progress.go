package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// stage is how far a request has come.
type stage int32

const (
	_ stage = iota // arrived
	// stageWaiting is from the end of the body until the request is sent to an upstream.
	stageWaiting
	stageSent
	// stageAnswered is from the first part of the answer on.
	stageAnswered
)

// String implements fmt.Stringer.
func (s stage) String() string { return [...]string{"arrived", "waiting", "sent", "answered"}[s] }

// progress is the state of a request that has not ended.
type progress struct {
	arrived   time.Time
	forwarded bool
	// id is nil until the head is decoded.
	id    atomic.Pointer[string]
	stage atomic.Int32
	// cancel ends the request. It is nil until the body has been read.
	cancel atomic.Pointer[context.CancelCauseFunc]
}

func (p *progress) reach(s stage) { p.stage.Store(int32(s)) }

// inProgress holds the requests that have not ended. Further ones may begin while it is waited on.
type inProgress struct {
	mu       sync.Mutex
	requests map[*progress]struct{}
	// none is closed once there are no requests. It is nil if nobody waits.
	none chan struct{}
}

func (t *inProgress) begin(forwarded bool) *progress {
	p := &progress{arrived: time.Now(), forwarded: forwarded}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = make(map[*progress]struct{})
	}
	t.requests[p] = struct{}{}
	return p
}

func (t *inProgress) end(p *progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, p)
	if len(t.requests) == 0 && t.none != nil {
		close(t.none)
		t.none = nil
	}
}

// wait waits until no request is in progress. It returns the cause of ctx if ctx ends first.
func (t *inProgress) wait(ctx context.Context) error {
	t.mu.Lock()
	if len(t.requests) == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.none == nil {
		t.none = make(chan struct{})
	}
	none := t.none
	t.mu.Unlock()
	select {
	case <-none:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (t *inProgress) all() []*progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*progress, 0, len(t.requests))
	for p := range t.requests {
		out = append(out, p)
	}
	return out
}

// errHostEnds reports that the host ends before the answer.
var errHostEnds = errors.New("the host ends")

// End ends the requests that have not ended: those of which no part of the answer was passed on are
// refused, the others are cut off. Those that begin later are refused.
func (r *Relay) End() {
	r.ended.Store(true)
	for _, p := range r.progress.all() {
		if cancel := p.cancel.Load(); cancel != nil {
			(*cancel)(errHostEnds)
		}
	}
}

// LogInProgress writes a line for each request that has not ended, and returns their number.
// cutOff is true if they won't be answered.
func (r *Relay) LogInProgress(cutOff bool) int {
	log, message := r.log, "Request in progress as the host leaves."
	if cutOff {
		log, message = r.failedLog, "Request cut off by the end of the process."
	}
	requests := r.progress.all()
	for _, p := range requests {
		id := ""
		if known := p.id.Load(); known != nil {
			id = *known
		}
		log.Info(message, "request", id, "stage", stage(p.stage.Load()).String(), "age", time.Since(p.arrived), "forwarded", p.forwarded)
	}
	return len(requests)
}
