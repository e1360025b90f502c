package roster

import "github.com/hazelworks/hazelworks/core/build"

// LowestBuild returns the host with the lowest build level among all listed hosts and this one:
// also those without heartbeats, since they may be on the other side of a partition. Of several
// it is the one with the lowest ID.
func (t *Table) LowestBuild() Host {
	lowest := t.self
	for _, e := range t.hosts {
		h := e.host
		if h.Build.Level < lowest.Build.Level || h.Build.Level == lowest.Build.Level && h.ID < lowest.ID {
			lowest = h
		}
	}
	return lowest
}

// Supports reports whether all listed hosts have the features of a level. It means nothing before
// the list has been read. A host of an earlier build may be listed later: what is sent then must
// be such that it skips it.
func (t *Table) Supports(l build.Level) bool { return t.LowestBuild().Build.Supports(l) }
