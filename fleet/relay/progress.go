package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

// stage is how far a request has come.
type stage int32

const (
	stageArrived stage = iota
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
	id        string
	arrived   time.Time
	forwarded bool
	stage     atomic.Int32
}

func (p *progress) reach(s stage) {
	if p != nil {
		p.stage.Store(int32(s))
	}
}

// inProgress holds the requests that have not ended.
type inProgress struct {
	mu       sync.Mutex
	requests map[*progress]struct{}
}

func (t *inProgress) begin(id string, arrived time.Time, forwarded bool) *progress {
	p := &progress{id: id, arrived: arrived, forwarded: forwarded}
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

// LogInProgress writes a line for each request that has not ended, and returns their number.
// cutOff is true if they won't be answered.
func (r *Relay) LogInProgress(cutOff bool) int {
	log, message := r.log, "Request in progress as the host leaves."
	if cutOff {
		log, message = r.failedLog, "Request cut off by the end of the process."
	}
	requests := r.progress.all()
	for _, p := range requests {
		log.Info(message, "request", p.id, "stage", stage(p.stage.Load()).String(), "age", time.Since(p.arrived), "forwarded", p.forwarded)
	}
	return len(requests)
}
