package relay

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hazelworks/hazelworks/core/intake"
)

// blockBytes is the size of a body's blocks, and firstBlocks those of its first ones: most bodies are
// small.
const blockBytes = 16 << 10

var firstBlocks = [...]int{1 << 10, 3 << 10, 12 << 10}

var (
	errBodyTooLarge = errors.New("the body is over the limit")
	errBodyYields   = errors.New("the body has to yield to others")
)

// bodies holds the bodies of requests, in blocks whose sum is bounded. A block is taken once a byte has
// arrived for it.
type bodies struct {
	memory int64
	meters *meters

	mu sync.Mutex
	// ended is signalled when memory is given back, or a body that may wait for some has to yield.
	ended  sync.Cond
	budget *intake.Budget
	limits intake.Limits
	// maxBody is the limit of one body to which limits belong.
	maxBody int64
	// arriving holds the bodies that may have to yield.
	arriving map[*intake.Body]*body
	// free are blocks of blockBytes for later bodies.
	free [][]byte
}

func newBodies(memory int64, m *meters) *bodies {
	limits := intake.LimitsFor(memory, 0)
	b := &bodies{memory: memory, meters: m, limits: limits, budget: intake.New(limits), arriving: make(map[*intake.Body]*body)}
	b.ended.L = &b.mu
	return b
}

// largest returns the limit of a body for which the settings state one, or zero if they state none. Then it is
// what fits while there are no other bodies: a caller who is told to come back with more would do so in vain.
func (k *bodies) largest(limit int64) int64 {
	if limit > 0 {
		return limit
	}
	return intake.LimitsFor(k.memory, 0).Body()
}

// bodySource is where a body comes from.
type bodySource struct {
	io.Reader
	// length is the length that was announced, or negative.
	length int64
	// limit is the limit of the body in bytes that the settings state, or zero.
	limit   int64
	account string
	// interrupt ends a Read that waits.
	interrupt func()
}

// body is a request's body. It is nil if there is none.
type body struct {
	keeper *bodies
	source bodySource
	// limit is the size in bytes up to which the body is read.
	limit  int64
	share  *intake.Body
	blocks [][]byte
	size   int64
	// users counts those that read the blocks: the request until it is not sent again, and each
	// attempt until it is written.
	users atomic.Int32
	next  [1]byte
}

// read reads a whole body. The error is errBodyTooLarge, errBodyYields or one of the source.
func (k *bodies) read(source bodySource) (*body, error) {
	b := &body{keeper: k, source: source, limit: k.largest(source.limit)}
	b.users.Store(1)
	err := b.readAll()
	if err == nil {
		err = k.complete(b)
	} else if k.yields(b) {
		err = errBodyYields
	}
	if errors.Is(err, errBodyYields) {
		err = fmt.Errorf("%w: it holds %d bytes of %d that all bodies hold", err, b.held(), k.held())
	}
	if err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}

func (b *body) readAll() error {
	var block []byte
	for {
		room := block[len(block):cap(block)]
		probe := len(room) == 0
		if probe {
			room = b.next[:]
		}
		n, err := b.source.Read(room)
		if n > 0 && probe {
			if b.size == b.limit {
				return errBodyTooLarge
			}
			var takeErr error
			if block, takeErr = b.keeper.take(b, b.nextBlock()); takeErr != nil {
				return takeErr
			}
			b.blocks = append(b.blocks, nil)
			block = append(block, b.next[0])
		} else {
			block = block[:len(block)+n]
		}
		b.size += int64(n)
		if n > 0 {
			b.blocks[len(b.blocks)-1] = block
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// nextBlock returns the size of the next block.
func (b *body) nextBlock() int {
	size := int64(blockBytes)
	if len(b.blocks) < len(firstBlocks) {
		size = int64(firstBlocks[len(b.blocks)])
	}
	if b.source.length > b.size {
		size = min(size, b.source.length-b.size)
	}
	return int(min(size, b.limit-b.size))
}

// take takes a block for a body. It waits for bodies that yield to it. The error is errBodyYields.
func (k *bodies) take(b *body, size int) ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.share == nil {
		k.setMaxBody(b.source.limit)
		b.share = k.budget.Begin(b.source.account, time.Now())
		k.arriving[b.share] = b
	}
	for {
		verdict, yielding := k.budget.Take(b.share, int64(size), time.Now())
		for _, y := range yielding {
			k.arriving[y].source.interrupt()
			delete(k.arriving, y)
		}
		if len(yielding) > 0 {
			k.ended.Broadcast()
		}
		switch verdict {
		case intake.Granted:
			k.meters.bodyBytes.Update(k.budget.Held())
			return k.block(size), nil
		case intake.Yield:
			return nil, errBodyYields
		}
		k.ended.Wait()
	}
}

// setMaxBody adapts the limits to that of one body. The caller holds mu.
func (k *bodies) setMaxBody(limit int64) {
	if limit == k.maxBody {
		return
	}
	k.maxBody, k.limits = limit, intake.LimitsFor(k.memory, limit)
	k.budget.SetLimits(k.limits)
}

// block returns an empty block. The caller holds mu.
func (k *bodies) block(size int) []byte {
	n := len(k.free)
	if size == blockBytes && n > 0 {
		block := k.free[n-1]
		k.free[n-1] = nil
		k.free = k.free[:n-1]
		return block
	}
	k.trimFree()
	return make([]byte, 0, size)
}

// trimFree keeps the free blocks and those in use within the limit. The caller holds mu.
func (k *bodies) trimFree() {
	keep := max(0, (k.limits.Total-k.budget.Held())/blockBytes)
	for n := len(k.free); int64(n) > keep; n-- {
		k.free[n-1] = nil
		k.free = k.free[:n-1]
	}
}

// complete states that a body has arrived whole. The error is errBodyYields.
func (k *bodies) complete(b *body) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.share == nil {
		return nil
	}
	if !k.budget.Complete(b.share) {
		return errBodyYields
	}
	delete(k.arriving, b.share)
	return nil
}

func (k *bodies) yields(b *body) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return b.share != nil && b.share.Yields()
}

func (k *bodies) held() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.budget.Held()
}

// giveBack gives back all blocks of a body.
func (k *bodies) giveBack(b *body) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.share == nil {
		return
	}
	if b.share.Yields() {
		k.meters.bodiesYielded.Inc(1)
	}
	delete(k.arriving, b.share)
	k.budget.End(b.share)
	for _, block := range b.blocks {
		if cap(block) == blockBytes {
			k.free = append(k.free, block[:0])
		}
	}
	k.trimFree()
	b.blocks = nil
	k.meters.bodyBytes.Update(k.budget.Held())
	k.ended.Broadcast()
}

// held returns the bytes that the body holds.
func (b *body) held() int64 {
	b.keeper.mu.Lock()
	defer b.keeper.mu.Unlock()
	if b.share == nil {
		return 0
	}
	return b.share.Held()
}

// parts returns the parts of the body in order. They are valid as long as it is used.
func (b *body) parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.blocks
}

// use adds a user of the blocks, who calls release.
func (b *body) use() {
	if b != nil {
		b.users.Add(1)
	}
}

// release ends a use. The blocks are given back with the last one.
func (b *body) release() {
	if b != nil && b.users.Add(-1) == 0 {
		b.keeper.giveBack(b)
	}
}
