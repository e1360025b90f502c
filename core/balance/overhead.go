package balance

import "time"

const (
	// overheadWeight is the weight of the newest answer in the relation of the time to the start of
	// an answer to the estimated time to read its prompt.
	overheadWeight = 0.01
	// minOverheadAnswers is the number of answers from which the relation counts.
	minOverheadAnswers = 20
	// maxAnswerTime is the multiple of the expected time with which a late answer counts.
	maxAnswerTime = 5.0
	// minReadFactor is the least factor of the relation on the time to read.
	minReadFactor = 0.1
)

// overhead learns how the time to the start of an answer of an engine depends on the time to read
// its prompt: a part that every answer takes, such as the tokens of its first event, and a factor
// on the reading. Without it, an upstream with short prompts would pass for a slow one.
type overhead struct {
	n float64
	// Decayed means, of times in seconds.
	read, took, readSquare, readTook float64
}

func (o *overhead) observe(read, took time.Duration) {
	x, y := read.Seconds(), took.Seconds()
	if o.n >= minOverheadAnswers {
		y = min(y, maxAnswerTime*o.expected(read).Seconds())
	}
	o.n++
	w := max(1/o.n, overheadWeight)
	o.read += w * (x - o.read)
	o.took += w * (y - o.took)
	o.readSquare += w * (x*x - o.readSquare)
	o.readTook += w * (x*y - o.readTook)
}

// expected returns the time that is to be expected to the start of an answer, by least squares.
func (o *overhead) expected(read time.Duration) time.Duration {
	if o.n < minOverheadAnswers || o.read <= 0 {
		return 0
	}
	factor := o.took / o.read
	if variance := o.readSquare - o.read*o.read; variance > 0 {
		factor = min(max((o.readTook-o.read*o.took)/variance, minReadFactor), factor)
	}
	fixed := max(0, o.took-factor*o.read)
	return time.Duration((fixed + factor*read.Seconds()) * float64(time.Second))
}

func (o *overhead) meanRead() time.Duration { return time.Duration(o.read * float64(time.Second)) }
