package hostload

// Intake decides which new requests a host begins. It is not safe for concurrent use.
type Intake struct{}

// Update applies what was measured in the last [Interval].
func (i *Intake) Update(processor float64, s Sample) {}

// Takes reports whether a new request of a rank is begun; 0 is the most urgent. random is a random
// number in [0, 1).
func (i *Intake) Takes(rank int, random float64) bool { return true }
