package relay

import (
	"sync"
	"time"
)

// patienceTable tells callers that come back from new ones. Callers say how long
// they wait: first of all the time that is usual on their route, later what is left
// of it.
type patienceTable struct {
	mu     sync.Mutex
	routes map[string]*patienceCounts
}

// patienceCounts counts the values of one route.
type patienceCounts struct {
	counts map[time.Duration]int
	usual  time.Duration
}

// maxPatienceValues bounds the values that are counted for a route.
const maxPatienceValues = 64

func newPatienceTable() patienceTable {
	return patienceTable{routes: make(map[string]*patienceCounts)}
}

// returned counts a caller's patience and tells whether it is less than usual.
func (p *patienceTable) returned(route string, patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.routes[route]
	if !ok {
		c = &patienceCounts{counts: make(map[time.Duration]int)}
		p.routes[route] = c
	}
	if len(c.counts) >= maxPatienceValues {
		c.forgetRare()
	}
	c.counts[patience]++
	if c.counts[patience] > c.counts[c.usual] {
		c.usual = patience
	}
	return patience < c.usual
}

// forgetRare drops the values that were seen once: those of callers that came back.
func (c *patienceCounts) forgetRare() {
	for value, n := range c.counts {
		if n == 1 && value != c.usual {
			delete(c.counts, value)
		}
	}
	if len(c.counts) >= maxPatienceValues {
		c.counts = map[time.Duration]int{c.usual: c.counts[c.usual]}
	}
}
