package balance

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// The idle connections of all hosts leave room for the requests that run and wait at an
// upstream, at any number of hosts.
func TestIdleConnsOfAllHostsLeaveRoomForRequests(t *testing.T) {
	for _, hosts := range []int{1, 2, 7, 25, 295, 620, 3000} {
		for _, l := range []ConnLimit{{Max: 370, Slots: 64, Hosts: hosts}, {Max: 110, Slots: 6, Hosts: hosts}, {Max: 100, Slots: 64, Hosts: hosts}} {
			mean := 0.0
			const upstreams = 200
			for u := range upstreams {
				sum := 0
				for h := range hosts {
					sum += l.IdleConns(fmt.Sprintf("host-%d", h), fmt.Sprintf("upstream-%d", u))
				}
				require.LessOrEqual(t, sum, l.Max-l.Slots/2, "%+v", l)
				mean += float64(sum) / upstreams
			}
			require.InEpsilon(t, l.idle(), mean, 0.1, "%+v: what is left to idle connections is used", l)
		}
	}
}

func TestIdleConnsWithoutALimit(t *testing.T) {
	require.Equal(t, math.MaxInt, ConnLimit{Slots: 8, Hosts: 7}.IdleConns("a", "b"))
}

func TestNoIdleConnsBeyondATinyLimit(t *testing.T) {
	require.Zero(t, ConnLimit{Max: 3, Slots: 8, Hosts: 1}.IdleConns("a", "b"))
}
