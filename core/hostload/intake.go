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
	// startTime is how long a host that starts rejects nothing: it fills its processor by itself.
	startTime = 3 * time.Second
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
	// startedAt is when the first sample was taken, last the last one.
	startedAt time.Time
	last      Sample
}

// Update applies what was measured in the last [Interval]. processor is the share of the processor that
// was in use in it.
func (i *Intake) Update(processor float64, s Sample) {
	if i.startedAt.IsZero() {
		i.startedAt = s.At
	}
	falls, requests := s.RunQueue < i.last.RunQueue, s.Requests-i.last.Requests
	i.last = s
	ownWork := requests == 0 || s.At.Sub(i.startedAt) < startTime
	if ownWork || s.RunQueue <= maxRunQueue || processor < fullShare {
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
