package host

import (
	"math/rand/v2"
	"sync"
)

// lockedFloat returns a function that is safe for concurrent use and gives
// numbers from 0 to 1.
func lockedFloat(r *rand.Rand) func() float64 {
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
}
