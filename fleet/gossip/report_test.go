package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

// packetBytes is the payload that usual networks carry in one packet.
const packetBytes = 1400

func fleetOf(n int) []roster.Host {
	hosts := make([]roster.Host, n)
	for i := range hosts {
		hosts[i] = roster.Host{ID: record.HostID(fmt.Sprintf("host-%03d", i)), FailureDomain: fmt.Sprintf("d%d", i%15), Cores: 1}
		hosts[i].State.Active = i%2 == 0
	}
	return hosts
}

// suspectsOf returns the suspects of a number of requests with three shared parts each.
func suspectsOf(requests int) []quarantine.Suspect {
	rng := rand.New(rand.NewPCG(1, 1))
	var out []quarantine.Suspect
	for range requests {
		id := rng.Uint64()
		for range 3 {
			out = append(out, quarantine.Suspect{Subject: quarantine.Subject{Kind: quarantine.PromptPart, ID: rng.Uint64()}, Request: id, Account: 1<<63 | id})
		}
		out = append(out, quarantine.Suspect{Subject: quarantine.Subject{Kind: quarantine.Request, ID: id}, Request: id, Account: 1<<63 | id})
	}
	return out
}

// A crash costs each reporting host a message to all others in a small fleet, and to three
// hosts that all agree on in a large one. Quarantines are few, and go to all.
func TestReportsOfAFleetAreFewAndSmall(t *testing.T) {
	crash := Report{Host: "host-000", Crashes: []Crash{{Upstream: 1 << 31, Service: "template-model", Suspects: suspectsOf(4)}}}
	q := quarantine.Quarantine{Subject: quarantine.Subject{Kind: quarantine.PromptPart, ID: 1 << 63}, Until: time.Now().Add(time.Hour), Since: time.Now(), Terms: 3, Account: 1 << 63}
	begun := Report{Host: "host-000", Quarantines: []Quarantine{NewQuarantine(q, time.Now())}}
	for _, n := range []int{7, 49, 295, 617} {
		hosts := fleetOf(n)
		collectors := make(map[record.HostID]bool)
		for i, self := range hosts {
			others := append(append([]roster.Host{}, hosts[:i]...), hosts[i+1:]...)
			g := &Gossip{opt: Options{Self: self, Peers: func() []roster.Host { return others }, Alive: func() []roster.Host { return others }}}
			targets := g.reportTargets(g.opt.Self, crash)
			require.Len(t, g.reportTargets(g.opt.Self, begun), n-1)
			if n < 50 {
				require.Len(t, targets, n-1)
				continue
			}
			require.LessOrEqual(t, len(targets), 3)
			for _, to := range targets {
				collectors[to.ID] = true
				require.True(t, to.State.Active)
			}
		}
		require.LessOrEqual(t, len(collectors), 3)
	}
	for _, r := range []Report{crash, begun} {
		data, err := r.Encode()
		require.NoError(t, err)
		t.Logf("%d bytes", len(data))
		require.Less(t, len(data), packetBytes/2)
	}
}

func TestReportWithManySuspectsFitsIntoPackets(t *testing.T) {
	suspects := suspectsOf(40)
	r := Report{Host: "front-roodepoort-1", Crashes: []Crash{{Upstream: 1 << 31, Service: "template-model", Suspects: suspects}}}
	var joined []quarantine.Suspect
	for _, part := range splitReport(r) {
		data, err := part.Encode()
		require.NoError(t, err)
		require.Less(t, len(data), packetBytes)
		back, err := DecodeReport(data)
		require.NoError(t, err)
		require.Equal(t, r.Crashes[0].Upstream, back.Crashes[0].Upstream)
		joined = append(joined, back.Crashes[0].Suspects...)
	}
	require.Equal(t, suspects, joined)
}

// Hosts of earlier versions read messages only, and ignore what they can't read.
func TestReportsAreNoMessages(t *testing.T) {
	data, err := Report{Host: "h"}.Encode()
	require.NoError(t, err)
	require.Equal(t, byte(cborMap), data[0]>>5)
	_, err = DecodeReport([]byte{0xa1})
	require.Error(t, err)
}
