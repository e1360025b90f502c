package main

import (
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/balance"
)

// Parameters of an engine that serves a 70-billion-parameter model on one
// accelerator. A step takes stepTime, plus stepTimePerGeneration for each running
// answer, plus the prefill time of its chunk.
const (
	stepTime              = 5230 * time.Microsecond
	stepTimePerGeneration = 4 * time.Microsecond
	prefillTokensPerMilli = 38.4
	chunkTokens           = 2048
	maxGenerations        = 64
	eventTokens           = 3
	cacheTokens           = 370_000
)

// engine prefills one prompt at a time, in chunks and in order of urgency. Each step
// also generates one token of every running answer.
type engine struct {
	waiting []*Request
	// reading is the request in prefill; unread is its number of tokens still to
	// prefill.
	reading *Request
	unread  int64
	running []*generation
	// stepEnds is the end of the current step, or zero if the engine is idle.
	stepEnds time.Duration
	cache    cache
	// readTokens counts prefilled prompt tokens. rereadTokens counts tokens of
	// prompt parts that were not in this cache although this engine or another had
	// prefilled them before.
	readTokens   int64
	rereadTokens int64
}

// generation is an answer that is being generated; remaining is in tokens.
type generation struct {
	r         *Request
	remaining int64
	// eventAt is the time of the last event.
	eventAt time.Duration
}

// add queues a request behind those of the same or a more urgent rank.
func (e *engine) add(r *Request) {
	at, _ := slices.BinarySearchFunc(e.waiting, r.Work.Rank, func(x *Request, rank int) int {
		if x.Work.Rank <= rank {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, r)
}

// startStep starts the next step, which takes slowness times as long as usual. Without work it
// marks the engine as idle.
func (e *engine) startStep(now time.Duration, seen map[uint64]bool, slowness float64) {
	if e.reading == nil && len(e.waiting) > 0 && len(e.running) < maxGenerations {
		e.reading, e.waiting = e.waiting[0], e.waiting[1:]
		e.unread = e.readPrompt(e.reading.Work, seen)
	}
	if e.reading == nil && len(e.running) == 0 {
		e.stepEnds = 0
		return
	}
	duration := stepTime + time.Duration(len(e.running))*stepTimePerGeneration
	if e.reading != nil {
		duration += time.Duration(float64(min(e.unread, chunkTokens)) / prefillTokensPerMilli * float64(time.Millisecond))
	}
	e.stepEnds = now + time.Duration(float64(duration)*slowness)
}

// readPrompt returns the number of tokens to prefill, at least 1: the input without
// its cached prefix. It adds the prompt's parts to the cache and to seen.
func (e *engine) readPrompt(work balance.Work, seen map[uint64]bool) int64 {
	unread := work.Input
	for _, part := range work.Parts {
		if !e.cache.has(part.ID) {
			break
		}
		unread -= part.Tokens
	}
	for _, part := range work.Parts {
		if !e.cache.has(part.ID) && seen[part.ID] {
			e.rereadTokens += part.Tokens
		}
		seen[part.ID] = true
		e.cache.put(part.ID, part.Tokens)
	}
	e.readTokens += unread
	return max(1, unread)
}

// finishStep ends the current step. It returns the requests whose answers started and
// those whose answers ended in this step.
func (e *engine) finishStep() (begun, ended []*Request) {
	kept := e.running[:0]
	for _, x := range e.running {
		x.remaining--
		if x.remaining <= 0 || (x.r.Output-x.remaining)%eventTokens == 0 {
			x.r.pause, x.eventAt = max(x.r.pause, e.stepEnds-x.eventAt), e.stepEnds
		}
		if x.remaining <= 0 {
			ended = append(ended, x.r)
			continue
		}
		kept = append(kept, x)
	}
	e.running = kept
	if e.reading == nil {
		return nil, ended
	}
	e.unread -= min(e.unread, chunkTokens)
	if e.unread > 0 {
		return nil, ended
	}
	r := e.reading
	e.reading = nil
	e.running = append(e.running, &generation{r: r, remaining: r.Output, eventAt: e.stepEnds})
	return []*Request{r}, ended
}

// cancel removes a request whose caller disconnected.
func (e *engine) cancel(r *Request) {
	e.waiting = slices.DeleteFunc(e.waiting, func(x *Request) bool { return x == r })
	e.running = slices.DeleteFunc(e.running, func(x *generation) bool { return x.r == r })
	if e.reading == r {
		e.reading = nil
	}
}

// cache is an LRU cache of prompt parts, limited to cacheTokens.
type cache struct {
	order  []uint64 // least recently used first
	tokens map[uint64]int64
	sum    int64 // tokens of all cached parts
}

func (c *cache) has(id uint64) bool { return c.tokens[id] > 0 }

func (c *cache) put(id uint64, tokens int64) {
	if c.tokens == nil {
		c.tokens = make(map[uint64]int64)
	}
	if at := slices.Index(c.order, id); at >= 0 {
		c.order = slices.Delete(c.order, at, at+1)
		c.sum -= c.tokens[id]
	}
	c.order = append(c.order, id)
	c.tokens[id] = tokens
	c.sum += tokens
	for c.sum > cacheTokens && len(c.order) > 1 {
		c.sum -= c.tokens[c.order[0]]
		delete(c.tokens, c.order[0])
		c.order = c.order[1:]
	}
}
