package gateway

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/intake"
)

// errBodyYields is returned for a body that is refused so that others fit.
var errBodyYields = errors.New("the body has to yield to others")

// bodies bounds the memory of requests' bodies. Bodies take it as they arrive.
type bodies struct {
	held    metrics.Gauge
	yielded metrics.Counter

	mu sync.Mutex
	// changed is signalled when memory is given back, or a body has to yield.
	changed sync.Cond
	budget  *intake.Budget
	// interrupts end the reads of bodies that are arriving.
	interrupts map[*intake.Body]func()
	// ended is true once no more bodies are read.
	ended bool
}

// newBodies returns the memory of all bodies, of which one has at most maxBody bytes.
func newBodies(total, maxBody int64, held metrics.Gauge, yielded metrics.Counter) *bodies {
	b := &bodies{
		held: held, yielded: yielded, interrupts: make(map[*intake.Body]func()),
		budget: intake.New(intake.LimitsWithin(total, maxBody)),
	}
	b.changed.L = &b.mu
	return b
}

// Blocks in which bodies are read, in bytes.
const (
	firstBlock = 4 << 10
	laterBlock = 32 << 10
)

// read reads a body up to its end. length is what was announced, or negative; interrupt ends a read that
// waits. The error is errBodyYields or one of r.
func (b *bodies) read(r io.Reader, length int64, account string, interrupt func()) (bufferedBody, error) {
	b.mu.Lock()
	share := b.budget.Begin(account, time.Now())
	b.interrupts[share] = interrupt
	if b.ended {
		interrupt()
	}
	b.mu.Unlock()
	data, err := b.readBlocks(r, length, share)
	b.mu.Lock()
	delete(b.interrupts, share)
	if err == nil && !b.budget.Complete(share) || err != nil && share.Yields() {
		err = errBodyYields
	}
	if err != nil && b.ended {
		err = errStopping
	}
	b.mu.Unlock()
	if err != nil {
		b.free(share)
		if errors.Is(err, errBodyYields) {
			b.yielded.Inc(1)
		}
		return bufferedBody{}, err
	}
	return bufferedBody{data: data, free: func() { b.free(share) }}, nil
}

// readBlocks reads a body in blocks, each taken once a byte has arrived for it, and joins them.
func (b *bodies) readBlocks(r io.Reader, length int64, share *intake.Body) ([]byte, error) {
	var blocks [][]byte
	var block, probe []byte
	size := 0
	probe = make([]byte, 1)
	for {
		room := block[len(block):cap(block)]
		if len(room) == 0 {
			room = probe
		}
		n, err := r.Read(room)
		if n > 0 && len(block) == cap(block) {
			next := nextBlock(size, length)
			if takeErr := b.take(share, next); takeErr != nil {
				return nil, takeErr
			}
			block = append(make([]byte, 0, next), probe[0])
			blocks = append(blocks, block)
		} else if n > 0 {
			block = block[:len(block)+n]
			blocks[len(blocks)-1] = block
		}
		size += n
		switch {
		case err == io.EOF && len(blocks) <= 1:
			return block, nil
		case err == io.EOF:
			return join(blocks, size), nil
		case err != nil:
			return nil, err
		}
	}
}

// nextBlock returns the size of the block after size bytes of a body.
func nextBlock(size int, length int64) int {
	next := laterBlock
	if size == 0 {
		next = firstBlock
	}
	if left := length - int64(size); left > 0 && left < int64(next) {
		return int(left)
	}
	return next
}

// join returns the content of the blocks and gives each to the garbage collector once it is copied.
func join(blocks [][]byte, size int) []byte {
	data := make([]byte, 0, size)
	for i := range blocks {
		data = append(data, blocks[i]...)
		blocks[i] = nil
	}
	return data
}

// take takes n bytes for a body. It waits for bodies that yield to it.
func (b *bodies) take(share *intake.Body, n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		verdict, yielding := b.budget.Take(share, int64(n), time.Now())
		for _, y := range yielding {
			if interrupt := b.interrupts[y]; interrupt != nil {
				interrupt()
			}
		}
		if len(yielding) > 0 {
			b.changed.Broadcast()
		}
		switch verdict {
		case intake.Granted:
			b.held.Update(b.budget.Held())
			return nil
		case intake.Yield:
			return errBodyYields
		}
		b.changed.Wait()
	}
}

// end interrupts the reads of bodies, now and later. Bodies that have arrived are kept.
func (b *bodies) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	for _, interrupt := range b.interrupts {
		interrupt()
	}
}

func (b *bodies) free(share *intake.Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.End(share)
	b.held.Update(b.budget.Held())
	b.changed.Broadcast()
}
