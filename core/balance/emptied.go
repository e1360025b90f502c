package balance

import (
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/knownfault"
)

// SetEmptied sets the failure domains whose upstreams get nothing new. The upstreams of a domain
// that is taken back count as cold until their entries state otherwise.
func (p *Pool) SetEmptied(domains []string, now time.Time) {
	p.emptied = domains
	for _, u := range p.ordered {
		before := u.emptied
		u.emptied = p.isEmptied(u.up)
		if before && !u.emptied {
			u.cold.doubt(p.coldStart, now)
		}
	}
}

func (p *Pool) isEmptied(up catalog.Upstream) bool {
	return slices.Contains(p.emptied, up.FailureDomain) && !knownfault.IgnoreEmptied
}

// Emptied reports whether an upstream gets nothing because its failure domain is emptied.
func (p *Pool) Emptied(id string) bool {
	u, ok := p.upstreams[id]
	return ok && u.emptied
}

// AllEmptied reports whether upstreams fit a query, and all of those that stay are in emptied
// failure domains.
func (p *Pool) AllEmptied(q *Query) bool {
	found := false
	for _, u := range p.ordered {
		if u.isLeaving() || !u.fits(q) {
			continue
		}
		if !u.emptied {
			return false
		}
		found = true
	}
	return found
}
