package stream

// Status is the result of [Cursor.Next].
type Status int

// Statuses of a cursor.
const (
	// Available means that an event was returned.
	Available Status = iota
	// Pending means that the next event has not been added yet.
	Pending
	// Ended means that all events were returned and the answer has ended.
	Ended
	// Trimmed means that the next event has been dropped from the buffer.
	Trimmed
)

// Cursor reads a buffer from an index on. Only one goroutine may use it.
type Cursor struct {
	buffer  *Buffer
	next    uint64
	changed chan struct{}
}

// Attach returns a cursor that starts at index from.
func (b *Buffer) Attach(from uint64) *Cursor {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Cursor{buffer: b, next: from, changed: make(chan struct{}, 1)}
	b.cursors[c] = struct{}{}
	b.attached = true
	b.notifySpaceFreed()
	return c
}

// Close detaches the cursor and returns the number of cursors still attached.
func (c *Cursor) Close() int {
	c.buffer.mu.Lock()
	defer c.buffer.mu.Unlock()
	delete(c.buffer.cursors, c)
	c.buffer.notifySpaceFreed()
	return len(c.buffer.cursors)
}

// Changed receives a value after the head was set, an event was added or the
// answer has ended. Several changes may be reported by one value.
func (c *Cursor) Changed() <-chan struct{} { return c.changed }

// Head returns the head of the answer, or false if it is not set yet.
func (c *Cursor) Head() (Head, bool) {
	c.buffer.mu.Lock()
	defer c.buffer.mu.Unlock()
	if c.buffer.head == nil {
		return Head{}, false
	}
	return *c.buffer.head, true
}

// Index returns the index of the event that the next call of Next returns.
func (c *Cursor) Index() uint64 { return c.next }

// Next appends the next event to dst, without waiting.
func (c *Cursor) Next(dst []byte) ([]byte, Status) {
	b := c.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.next < b.firstIndex():
		return dst, Trimmed
	case c.next < b.next:
		dst = b.blockAt(c.next).appendEvent(dst, c.next)
		c.next++
		b.delivered = max(b.delivered, c.next)
		b.notifySpaceFreed()
		return dst, Available
	case b.end != nil:
		return dst, Ended
	default:
		return dst, Pending
	}
}

// blockAt returns the block of the kept event with the given index. Most readers
// are near the end, so the search starts there.
func (b *Buffer) blockAt(index uint64) *block {
	for i := len(b.blocks) - 1; i > 0; i-- {
		if b.blocks[i].base <= index {
			return b.blocks[i]
		}
	}
	return b.blocks[0]
}
