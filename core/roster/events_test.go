package roster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

// Small hosts to which single accounts keep serve beside the large ones of six failure domains. With
// the events of all requests of the fleet, their processors are full of news.
func TestSmallHostsReceiveTheEventsOfTheirFailureDomain(t *testing.T) {
	var hosts []Host
	for domain := range 6 {
		for i := range 5 {
			cores := 0.8
			if i >= 3 {
				cores = 0.192
			}
			hosts = append(hosts, Host{ID: record.HostID(fmt.Sprintf("d%d-%d", domain, i)), FailureDomain: fmt.Sprint(domain), Cores: cores})
		}
	}
	heard := make(map[record.HostID][]Host)
	for i, from := range hosts {
		others := append(append([]Host{}, hosts[:i]...), hosts[i+1:]...)
		for _, to := range EventTargets(from, others) {
			heard[to.ID] = append(heard[to.ID], from)
		}
	}
	for _, h := range hosts {
		if h.Cores > 0.5 {
			require.Len(t, heard[h.ID], len(hosts)-1, "large hosts place most requests")
			continue
		}
		require.Len(t, heard[h.ID], 4)
		for _, from := range heard[h.ID] {
			require.Equal(t, h.FailureDomain, from.FailureDomain)
		}
	}
	for i := range hosts {
		hosts[i].Cores = 0.4
	}
	require.Len(t, EventTargets(hosts[0], hosts[1:]), len(hosts)-1, "no host is small among equal ones")
}
