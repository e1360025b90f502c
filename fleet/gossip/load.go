package gossip

import (
	"slices"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

// HostLoad tells whether a host can take more callers.
type HostLoad struct {
	// Run identifies the run of the host.
	Run  uint64 `cbor:"1,keyasint"`
	Full bool   `cbor:"2,keyasint,omitempty"`
}

// loadTargets returns the hosts that need to know whether a host is full: those of its failure
// domain, whose directory its callers ask.
func (g *Gossip) loadTargets(of record.HostID) []roster.Host {
	domain := g.opt.Self.FailureDomain
	hosts := slices.Clone(g.opt.Alive())
	for _, h := range hosts {
		if h.ID == of {
			domain = h.FailureDomain
		}
	}
	return slices.DeleteFunc(hosts, func(h roster.Host) bool { return h.FailureDomain != domain || h.ID == of })
}

// TellLoad tells the hosts that resolve for the callers of this host whether it is full. It does
// not block on the network.
func (g *Gossip) TellLoad(full bool) {
	g.addReport(pendingReport{report: Report{Host: g.opt.Self.ID, Load: &HostLoad{Run: g.opt.Self.Run, Full: full}}})
}
