package hostload

import (
	"math"
	"time"
)

const (
	// maxRunQueue is the wait for the processor up to which a host begins all requests. A request
	// waits about ten times before it is answered, so that half of a latency objective of the usual
	// 0.8 s is lost by it.
	maxRunQueue = 40 * time.Millisecond
	// overloadedSamples is the number of samples in a row with a longer wait that show an overload.
	// A host that was stopped, or a garbage collection, has one.
	overloadedSamples = 2
	// rejectStep is by how much the share of rejected requests rises with a sample at twice
	// maxRunQueue, and maxRejectStep its largest rise. takeStep is by how much it falls with a
	// sample below maxRunQueue, and takeMoreStep after calmSamples of them in a row: the load has
	// ended then.
	rejectStep    = 0.05
	maxRejectStep = 0.15
	takeStep      = 0.03
	takeMoreStep  = 0.06
	calmSamples   = 4
	// maxRejected is the largest share: some requests show what the host can carry again.
	maxRejected = 0.99
)

// Intake decides which new requests a host begins. While its processor is full and what is ready to
// run waits long for it, it rejects a share of them, the less urgent ones first. A rejection costs a
// small part of what a request costs. Without them all requests are late, callers leave or repeat, and
// most of the work is in vain. It is not safe for concurrent use.
type Intake struct {
	// rejected is the share of the requests of rank 1 to reject.
	rejected float64
	// late and calm count the samples in a row with a long wait and without.
	late, calm int
	// last is the wait of the last sample.
	last time.Duration
}

// Update applies what was measured in the last [Interval]. processor is the share of the processor that
// was in use in it.
func (i *Intake) Update(processor float64, s Sample) {
	falls := s.RunQueue < i.last
	i.last = s.RunQueue
	if s.RunQueue <= maxRunQueue || processor < fullShare {
		i.late = 0
		step := takeStep
		if i.calm++; i.calm > calmSamples {
			step = takeMoreStep
		}
		i.rejected = max(0, i.rejected-step)
		return
	}
	i.calm = 0
	if i.late++; i.late < overloadedSamples || falls {
		return // what waits is from before
	}
	excess := float64(s.RunQueue)/float64(maxRunQueue) - 1
	i.rejected = min(maxRejected, i.rejected+min(maxRejectStep, rejectStep*excess))
}

// Rejected returns the share of the requests of rank 1 that is rejected.
func (i *Intake) Rejected() float64 { return i.rejected }

// Takes reports whether a new request of a rank is begun; 0 is the most urgent. random is a random
// number in [0, 1).
func (i *Intake) Takes(rank int, random float64) bool {
	if i.rejected == 0 {
		return true
	}
	return random >= math.Pow(i.rejected, 2/float64(1+max(0, rank)))
}

const (
	// floodShare is the share of the link, averaged, from which it is full of what callers send, and
	// floodEnds the share below which it is no longer.
	floodShare = 0.85
	floodEnds  = 0.5
	// floodTime is how long the link must have been below floodEnds for a flood to end.
	floodTime = 2 * time.Second
)

// flood tells whether callers send more than a host's link can carry. Rejections don't help then, since
// the requests have been sent.
type flood struct {
	on bool
	// at is when the link was last in use for more than floodEnds.
	at time.Time
}

func (f *flood) update(in float64, now time.Time) {
	if in >= floodEnds {
		f.at = now
	}
	f.on = in >= floodShare || f.on && now.Sub(f.at) < floodTime
}

// Flooded reports whether callers send more than the link can carry, or did so shortly before.
func (m *Monitor) Flooded() bool { return m.flood.on }
