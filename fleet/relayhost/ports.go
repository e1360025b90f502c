package relayhost

import (
	"github.com/hazelworks/hazelworks/core/connlimit"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
)

// connShares returns how many connections may be open at the ports of this host.
func (h *Host) connShares() connlimit.Limits {
	return connlimit.Shares(connlimit.Resources{Descriptors: h.cfg.Limits.Descriptors, MemoryBytes: h.cfg.Limits.MemoryBytes})
}

func (h *Host) connLimit(port string, conns int) callerserver.ConnLimit {
	return callerserver.ConnLimit{Port: port, Conns: conns, Logger: h.opt.Logger, Metrics: h.opt.Metrics}
}
