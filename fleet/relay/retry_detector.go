package relay

import (
	"sync"
	"time"
)

// retryDetector distinguishes callers that retry from new ones by their stated
// timeouts. A caller states first the usual timeout of its route, and when it retries
// the remaining part of it.
type retryDetector struct {
	mu     sync.Mutex
	routes map[string]*timeoutCounts
}

// timeoutCounts counts the timeouts stated on one route, by value.
type timeoutCounts struct {
	counts     map[time.Duration]int
	mostCommon time.Duration
}

// maxTimeoutValues bounds the distinct timeouts that are counted for a route.
const maxTimeoutValues = 64

func newRetryDetector() retryDetector {
	return retryDetector{routes: make(map[string]*timeoutCounts)}
}

// isRetry counts a caller's timeout and reports whether it is shorter than the most common
// one of its route.
func (d *retryDetector) isRetry(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.routes[route]
	if !ok {
		c = &timeoutCounts{counts: make(map[time.Duration]int)}
		d.routes[route] = c
	}
	if len(c.counts) >= maxTimeoutValues {
		c.dropRare()
	}
	c.counts[timeout]++
	if c.counts[timeout] > c.counts[c.mostCommon] {
		c.mostCommon = timeout
	}
	return timeout < c.mostCommon
}

// dropRare drops the values that were seen once: they are from callers that retried.
func (c *timeoutCounts) dropRare() {
	for value, n := range c.counts {
		if n == 1 && value != c.mostCommon {
			delete(c.counts, value)
		}
	}
	if len(c.counts) >= maxTimeoutValues {
		c.counts = map[time.Duration]int{c.mostCommon: c.counts[c.mostCommon]}
	}
}
