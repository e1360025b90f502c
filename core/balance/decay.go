package balance

import (
	"math"
	"time"
)

const (
	// decaySteps is the number of steps of the table in each time constant, and maxDecayTimes the
	// number of time constants after which nothing is left: less than a millionth.
	decaySteps    = 64
	maxDecayTimes = 14
)

// decayTable holds exp(-x) at multiples of 1/decaySteps. Between them decay interpolates; the error is
// below 1/30,000. A choice among hundreds of upstreams needs some thousands of values.
var decayTable = func() (table [decaySteps*maxDecayTimes + 2]float64) {
	for i := range table {
		table[i] = math.Exp(-float64(i) / decaySteps)
	}
	return table
}()

// decay returns the weight that remains after a time: exp(-elapsed/constant), and 1 if the time is
// negative.
func decay(elapsed, constant time.Duration) float64 {
	x := max(0, float64(elapsed)/float64(constant)) * decaySteps
	if x >= decaySteps*maxDecayTimes {
		return 0
	}
	i := int(x)
	return decayTable[i] + (x-float64(i))*(decayTable[i+1]-decayTable[i])
}
