package host

import (
	"math"

	"golang.org/x/sys/unix"

	"github.com/hazelworks/hazelworks/core/connlimit"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
)

const (
	// adminConns is the largest number of open connections of operators.
	adminConns = 64
	// adminBodyBytes is the largest body of an operator's request. Some requests have lower limits.
	adminBodyBytes = 64 << 20
)

// callerConns returns the largest number of open connections of callers: that of the settings, or what the
// descriptors of the process allow.
func callerConns(setting, descriptors int) int {
	share := connlimit.Shares(connlimit.Resources{Descriptors: descriptors}).Callers
	if share == 0 {
		return setting
	}
	return min(setting, share)
}

// hostConns returns the largest number of open connections of other hosts, or zero for no bound.
func hostConns(descriptors int) int {
	return connlimit.Shares(connlimit.Resources{Descriptors: descriptors}).Hosts
}

// descriptors returns how many files and connections the process may open, or zero if that is not known.
func descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

func (h *Host) connLimit(port string, conns int) callerserver.ConnLimit {
	return callerserver.ConnLimit{Port: port, Conns: conns, Logger: h.logger, Metrics: h.metrics}
}
