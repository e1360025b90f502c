package soak

import "net/http"

// cutAfter is the number of events after which upstreams break off the streams that begin
// there, and cutStreams the number of streams that each host gets meanwhile.
const (
	cutAfter   = 3
	cutStreams = 6
)

// breakOffStreams sends each host streams that their first upstream breaks off, so that they go
// on elsewhere, inside the answer or at the next host. checkOutcomes looks at the versions.
func (tb *testbed) breakOffStreams(c *callers) {
	for _, u := range tb.upstreams[:modelUpstreamCount] {
		b := u.defaultBehaviour
		b.CutBegun = cutAfter
		u.SetBehaviour(b)
		defer u.SetBehaviour(u.defaultBehaviour)
	}
	for i, h := range tb.hosts {
		for range cutStreams {
			o := c.attempt(http.DefaultClient, h, outcome{kind: resumableKind(), key: validKey}, false)
			if o.brokenOff() {
				c.attempt(http.DefaultClient, tb.hosts[(i+1)%len(tb.hosts)], o.takeUp(), false)
			}
		}
	}
}

func resumableKind() *requestKind {
	for i := range requestKinds {
		if requestKinds[i].resumable {
			return &requestKinds[i]
		}
	}
	return nil
}
