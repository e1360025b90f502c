package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	doneEvent       = "[DONE]"
	reasonCancelled = "cancelled"
)

// job is a request that runs or has run.
type job struct {
	id      string
	model   string
	created int64
	input   int
	want    int
	limit   int

	mu        sync.Mutex
	events    []string
	text      strings.Builder
	output    int
	done      bool
	cancelled bool
	changed   chan struct{}
	stop      chan struct{}
	stopOnce  sync.Once
}

// start queues a request. A request ID that is still known is run again, and
// the books show it, since engines do not deduplicate.
func (e *Engine) start(id string, request completionRequest) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting >= e.opts.QueueLimit {
		return nil, false
	}
	now := time.Now()
	j := &job{
		id:      id,
		model:   request.Model,
		created: now.Unix(),
		input:   promptLength(request.Messages),
		want:    wantedTokens(request.Messages, e.opts.DefaultTokens),
		limit:   request.MaxTokens,
		changed: make(chan struct{}),
		stop:    make(chan struct{}),
	}
	if e.faults.IgnoreCap {
		j.limit = 0
	}
	run, known := e.runs[id]
	if !known {
		run = &Run{RequestID: id, Model: request.Model, Started: now}
		e.runs[id] = run
		e.order = append(e.order, id)
	}
	run.Starts++
	run.InputTokens = j.input
	e.jobs[id] = j
	e.waiting++
	hits := e.cache.touch(blocksOf(request.Messages))
	go e.run(j, run, hits)
	return j, true
}

func (e *Engine) run(j *job, run *Run, cachedShare float64) {
	select {
	case e.slots <- struct{}{}:
	case <-j.stop:
		e.finish(j, run, false)
		return
	}
	e.mu.Lock()
	e.waiting--
	e.running++
	e.mu.Unlock()
	defer func() { <-e.slots }()
	e.generate(j, cachedShare)
	e.finish(j, run, true)
}

func (e *Engine) generate(j *job, cachedShare float64) {
	first := time.Duration(float64(e.opts.FirstToken) * (1 - cachedShare))
	if !j.sleep(e.scale(first)) {
		return
	}
	for i := 0; i < j.want && (j.limit <= 0 || i < j.limit); i++ {
		if i > 0 && !j.sleep(e.scale(e.opts.TokenInterval)) {
			return
		}
		j.emit(TokenText(j.id, i))
	}
}

// TokenText is the text of a request's token. It names the request and the
// index, so that a test can tell a wrong, missing or doubled token.
func TokenText(requestID string, index int) string {
	return fmt.Sprintf("%s#%d ", requestID, index)
}

func (e *Engine) finish(j *job, run *Run, ran bool) {
	j.finish()
	_, use := j.result()
	e.mu.Lock()
	defer e.mu.Unlock()
	if ran {
		e.running--
	} else {
		e.waiting--
	}
	run.Ended = time.Now()
	run.OutputTokens += use.CompletionTokens
	run.Cancelled = j.finishReason() == reasonCancelled
}

func (j *job) emit(token string) {
	data, _ := json.Marshal(completion{
		ID:      j.id,
		Object:  "chat.completion.chunk",
		Created: j.created,
		Model:   j.model,
		Choices: []choice{{Delta: &delta{Content: token}}},
	})
	j.mu.Lock()
	defer j.mu.Unlock()
	j.text.WriteString(token)
	j.output++
	j.events = append(j.events, string(data))
	j.wake()
}

func (j *job) finish() {
	reason := j.finishReason()
	_, use := j.result()
	data, _ := json.Marshal(completion{
		ID:      j.id,
		Object:  "chat.completion.chunk",
		Created: j.created,
		Model:   j.model,
		Choices: []choice{{Delta: &delta{}, FinishReason: &reason}},
		Usage:   &use,
	})
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, string(data), doneEvent)
	j.done = true
	j.wake()
}

func (j *job) finishReason() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.cancelled:
		return reasonCancelled
	case j.limit > 0 && j.want > j.limit:
		return "length"
	default:
		return "stop"
	}
}

func (j *job) result() (string, usage) {
	j.mu.Lock()
	defer j.mu.Unlock()
	use := usage{PromptTokens: j.input, CompletionTokens: j.output, TotalTokens: j.input + j.output}
	return j.text.String(), use
}

func (j *job) cancel() {
	j.stopOnce.Do(func() {
		j.mu.Lock()
		j.cancelled = true
		j.mu.Unlock()
		close(j.stop)
	})
}

func (j *job) sleep(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-j.stop:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-j.stop:
		return false
	}
}

func (j *job) wait(ctx context.Context, index int) (string, bool) {
	for {
		j.mu.Lock()
		if index < len(j.events) {
			event := j.events[index]
			j.mu.Unlock()
			return event, true
		}
		done, changed := j.done, j.changed
		j.mu.Unlock()
		if done {
			return "", false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", false
		}
	}
}

func (j *job) waitDone(ctx context.Context) bool {
	for {
		j.mu.Lock()
		done, changed := j.done, j.changed
		j.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (j *job) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}
