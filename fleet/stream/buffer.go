package stream

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/problem"
)

// ErrEnded is returned for an event that is added after the end of an answer.
var ErrEnded = errors.New("stream: answer has ended")

// Head is the status and the header of an answer.
type Head struct {
	Status int
	Header http.Header
	// Events is true if the answer is a stream of server-sent events, and false
	// if its events are the chunks of a body.
	Events bool
}

// Usage is the number of tokens that a model request used.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// End describes how an answer ended.
type End struct {
	Outcome record.Outcome
	// Problem is nil if the answer is complete.
	Problem *problem.Problem
	Usage   Usage
	// Billed is the settled amount.
	Billed record.Tokens
	// Cut is true if the answer was ended at its reserved cap.
	Cut bool
}

// Buffer keeps the answer of one request for any number of readers. Above its
// limit it drops the oldest events that all attached readers have read. It drops
// none before the first reader attaches.
type Buffer struct {
	limit int

	base uint64

	mu        sync.Mutex
	blocks    []*block
	next      uint64
	delivered uint64
	head      *Head
	end       *End
	cursors   map[*Cursor]struct{}
	attached  bool // a reader has attached at some time
	// spaceFreed is closed and set to nil when a reader advances or detaches, or
	// the answer ends, while Append waits. It is nil if no Append waits.
	spaceFreed chan struct{}
}

// NewBuffer returns a buffer for an answer whose first event has index base. It
// keeps about limit bytes of events.
func NewBuffer(limit int, base uint64) *Buffer {
	return &Buffer{limit: limit, base: base, next: base, cursors: make(map[*Cursor]struct{})}
}

// SetHead sets the head of the answer.
func (b *Buffer) SetHead(h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &h
	b.notifyCursors()
}

// Append adds the next event. It blocks while the buffer is full of events that
// an attached reader, or the first one to come, has not read yet. It returns
// [ErrEnded] after Finish, or the cause of ctx if that ends first.
func (b *Buffer) Append(ctx context.Context, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if b.end != nil {
			return ErrEnded
		}
		if b.trim(len(data)) {
			break
		}
		if err := b.waitForSpace(ctx); err != nil {
			return err
		}
	}
	b.add(data)
	return nil
}

// TryAppend adds the next event unless the buffer is full. It returns false if
// Append would block, and [ErrEnded] after Finish.
func (b *Buffer) TryAppend(data []byte) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return false, ErrEnded
	}
	if !b.trim(len(data)) {
		return false, nil
	}
	b.add(data)
	return true, nil
}

func (b *Buffer) add(data []byte) {
	last := b.lastBlock()
	if last == nil || last.full() {
		last = &block{base: b.next}
		b.blocks = append(b.blocks, last)
	}
	last.add(data)
	b.next++
	b.notifyCursors()
}

func (b *Buffer) waitForSpace(ctx context.Context) error {
	if b.spaceFreed == nil {
		b.spaceFreed = make(chan struct{})
	}
	freed := b.spaceFreed
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-freed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// trim drops the oldest blocks that all readers have read until size more bytes
// fit. It returns false if a reader must advance first.
func (b *Buffer) trim(size int) bool {
	for len(b.blocks) > 0 && b.bytes()+size > b.limit {
		if b.lowestNeeded() < b.blocks[0].next() {
			return false
		}
		b.blocks = b.blocks[1:]
	}
	return true
}

// lowestNeeded returns the lowest index that an attached reader, or the first one
// to come, still needs.
func (b *Buffer) lowestNeeded() uint64 {
	if !b.attached {
		return b.base
	}
	low := b.next
	for c := range b.cursors {
		low = min(low, c.next)
	}
	return low
}

func (b *Buffer) bytes() int {
	n := 0
	for _, blk := range b.blocks {
		n += blk.size()
	}
	return n
}

func (b *Buffer) lastBlock() *block {
	if len(b.blocks) == 0 {
		return nil
	}
	return b.blocks[len(b.blocks)-1]
}

func (b *Buffer) firstIndex() uint64 {
	if len(b.blocks) == 0 {
		return b.next
	}
	return b.blocks[0].base
}

// Reset clears the answer, so that another attempt can produce it. It returns
// false and changes nothing if a reader has read a part of it or it has ended.
func (b *Buffer) Reset() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.delivered > 0 || b.end != nil {
		return false
	}
	b.blocks = nil
	b.next = b.base
	b.head = nil
	return true
}

// Finish ends the answer. Only the first call has an effect.
func (b *Buffer) Finish(e End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	b.end = &e
	b.notifyCursors()
	b.notifySpaceFreed()
}

// Ended returns the end of the answer, or false if it has not ended.
func (b *Buffer) Ended() (End, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		return End{}, false
	}
	return *b.end, true
}

// Next returns the index that the next added event gets.
func (b *Buffer) Next() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

// Delivered returns the index after the newest event that any reader has read;
// zero if none was read.
func (b *Buffer) Delivered() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delivered
}

// Bytes returns the size of the kept events, in bytes.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes()
}

func (b *Buffer) notifyCursors() {
	for c := range b.cursors {
		select {
		case c.changed <- struct{}{}:
		default:
		}
	}
}

func (b *Buffer) notifySpaceFreed() {
	if b.spaceFreed != nil {
		close(b.spaceFreed)
		b.spaceFreed = nil
	}
}
