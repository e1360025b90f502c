// Package hostload tells how much more a host can carry, from samples of the processor time, link
// and memory that it uses and of the lateness of its own timers.
package hostload

import "time"

// Limits are the resources of a host. A zero limit is not known.
type Limits struct {
	// Cores is the number of processor cores, which may be a fraction.
	Cores float64
	// LinkBits is the bandwidth of the link in each direction, in bits per second.
	LinkBits float64
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
}

// Sample is what a host has measured. Processor, In, Out and Requests count from the start of the
// process.
type Sample struct {
	At time.Time
	// Processor is the processor time used.
	Processor time.Duration
	// In and Out are the bytes received and sent.
	In, Out int64
	// Memory is the memory in use, in bytes.
	Memory int64
	// Requests is the number of callers' requests that were begun.
	Requests int64
	// Late is how late the timer ran that took the sample.
	Late time.Duration
	// Connect is the shortest time in which a connection of this host to another machine was
	// opened lately, or zero if it is not known. If even that is long, packets wait at this
	// host's link: other machines are not slow all at once. The bytes that the process reads
	// don't show it, since those of connections that it does not take fill the link too.
	Connect time.Duration
	// Probe is that time with the connections that were opened again, with a longer timeout,
	// after they were not opened in time. A lost packet makes these slow too.
	Probe time.Duration
}

// Use is the share of each resource in use; 1 is all of it.
type Use struct {
	Processor, In, Out, Memory float64
	// Late is how late the host's timers run, or its packets are sent and received.
	Late time.Duration
	// Requests is the number of callers' requests begun per second.
	Requests float64
}

// Level is the load of a host.
type Level int

// Levels. Full hosts can't carry all the work that callers send them.
const (
	Calm Level = iota
	Busy
	Full
)

// String returns the name of the level in logs.
func (l Level) String() string {
	switch l {
	case Calm:
		return "calm"
	case Busy:
		return "busy"
	case Full:
		return "full"
	}
	return "unknown"
}

// Interval is the time between two samples.
const Interval = 100 * time.Millisecond

// Monitor is the load of one host. It is not safe for concurrent use.
type Monitor struct{ level Level }

// NewMonitor returns a monitor of a calm host.
func NewMonitor(Limits) *Monitor { return &Monitor{} }

// Add adds a sample and reports whether the level has changed.
func (m *Monitor) Add(Sample) (changed bool) { return false }

// Late reports whether the host's own timers or packets were late at some time of the span before
// now. Its timeouts of that time then prove nothing about others.
func (m *Monitor) Late(time.Time, time.Duration) bool { return false }
