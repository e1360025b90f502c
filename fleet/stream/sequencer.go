package stream

// Bounds of the events that are held until an earlier one arrives.
const (
	maxHeldEvents = 32
	maxHeldBytes  = 32 << 10
)

// OfferResult is the result of [Sequencer.Offer].
type OfferResult int

// Results of an offer.
const (
	// Accepted means that the event is next in order; [Sequencer.Ready] may
	// return more.
	Accepted OfferResult = iota
	// Held means that the event is kept until an earlier one arrives.
	Held
	// Duplicate means that the event was offered before; it is dropped.
	Duplicate
	// Gap means that the bound of held events is reached while an event is
	// missing; the stream must be resumed at [Sequencer.Next].
	Gap
)

// Sequencer puts the numbered events of one answer in order and drops duplicates.
type Sequencer struct {
	next  uint64
	held  map[uint64][]byte
	bytes int
}

// NewSequencer returns a sequencer that expects index next.
func NewSequencer(next uint64) *Sequencer {
	return &Sequencer{next: next}
}

// Next returns the index of the next event in order.
func (s *Sequencer) Next() uint64 { return s.next }

// Pending returns the number of held events.
func (s *Sequencer) Pending() int { return len(s.held) }

// Offer checks the place of an event in the order. If it returns Accepted, the
// caller uses data itself and then calls Ready until that returns false.
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

// Ready returns the next event in order if it is held, or false.
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

// Reset drops the held events, before the stream is resumed at Next.
func (s *Sequencer) Reset() {
	s.held = nil
	s.bytes = 0
}
