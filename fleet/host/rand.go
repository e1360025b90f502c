package host

import (
	"math/rand/v2"
	"sync"
)

// lockedFloat returns a function that returns random numbers in [0, 1) and is safe
// for concurrent use.
func lockedFloat(r *rand.Rand) func() float64 {
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
}
