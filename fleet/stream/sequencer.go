package stream

// Bounds of the events that wait for an earlier one.
const (
	maxHeldEvents = 32
	maxHeldBytes  = 32 << 10
)

// OfferResult tells what became of an event.
type OfferResult int

// Verdicts on an event of an upstream.
const (
	// Accepted events are next in order; Sequencer.Ready may give more.
	Accepted OfferResult = iota
	// Held events wait for an earlier one.
	Held
	// Duplicate events were seen already; they are dropped.
	Duplicate
	// Gap means that too much waits for a missing event; the stream must be
	// resumed at Sequencer.Next.
	Gap
)

// Sequencer puts the numbered events of one answer in order.
type Sequencer struct {
	next  uint64
	held  map[uint64][]byte
	bytes int
}

// NewSequencer returns a sequencer that expects index next.
func NewSequencer(next uint64) *Sequencer {
	return &Sequencer{next: next}
}

// Next returns the index that is expected.
func (s *Sequencer) Next() uint64 { return s.next }

// Pending returns the number of events that wait for an earlier one.
func (s *Sequencer) Pending() int { return len(s.held) }

// Offer judges an event. After Accepted the caller takes data itself and then
// calls Ready until it returns false.
func (s *Sequencer) Offer(index uint64, data []byte) OfferResult {
	if index < s.next {
		return Duplicate
	}
	if index == s.next {
		s.next++
		return Accepted
	}
	if _, ok := s.held[index]; ok {
		return Duplicate
	}
	if len(s.held) >= maxHeldEvents || s.bytes+len(data) > maxHeldBytes {
		return Gap
	}
	if s.held == nil {
		s.held = make(map[uint64][]byte)
	}
	s.held[index] = append([]byte(nil), data...)
	s.bytes += len(data)
	return Held
}

// Ready returns the next event that waited, if its turn has come.
func (s *Sequencer) Ready() ([]byte, bool) {
	data, ok := s.held[s.next]
	if !ok {
		return nil, false
	}
	delete(s.held, s.next)
	s.bytes -= len(data)
	s.next++
	return data, true
}

// Reset forgets the events that wait, before a resume at Next.
func (s *Sequencer) Reset() {
	s.held = nil
	s.bytes = 0
}
