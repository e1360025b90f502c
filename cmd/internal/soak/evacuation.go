package soak

import (
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

const (
	// hostDomain is the failure domain of all hosts and of the upstream emptiedUpstream, which
	// they therefore prefer. The others are in otherDomain.
	hostDomain      = "z1"
	otherDomain     = "z2"
	emptiedUpstream = modelUpstreamCount + plainUpstreamCount - 1
	// emptiedTime is how long its domain is emptied in calm times. It is cold when the domain is
	// taken back, for coldTime, and tolerates coldPerSecond requests then.
	emptiedTime   = 3500 * time.Millisecond
	coldTime      = time.Minute
	coldPerSecond = 2.0
)

// upstreamDomain returns the failure domain of an upstream.
func upstreamDomain(i int) string {
	if i == emptiedUpstream {
		return hostDomain
	}
	return otherDomain
}

// evacuate empties the domain of one upstream in calm times, and takes it back.
func (tb *testbed) evacuate() {
	standin.EmptyDomain(tb.log, hostDomain)
	time.AfterFunc(emptiedTime, func() {
		tb.upstreams[emptiedUpstream].SetCold(coldTime, coldPerSecond)
		standin.TakeBackDomain(tb.log, hostDomain)
	})
}

// checkEvacuation checks that nothing has reached the emptied domain from applyWait after the
// request on, and that its upstream, which was cold afterwards, got some again but did not crash.
func (tb *testbed) checkEvacuation(requested time.Time) []string {
	var findings []string
	from, to := requested.Add(applyWait), requested.Add(emptiedTime)
	late, returned := 0, 0
	for _, r := range tb.recorder.Runs("") {
		switch {
		case r.UpstreamID != tb.upstreams[emptiedUpstream].ID || r.StartedAt.Before(from):
		case r.StartedAt.Before(to):
			late++
		default:
			returned++
		}
	}
	if late > 0 && !tb.lacks(tb.lacking, LacksEmptied) {
		findings = append(findings, fmt.Sprintf("%d requests have reached an emptied failure domain", late))
	}
	if n := tb.upstreams[emptiedUpstream].ColdOverruns(); n > 0 && !tb.lacks(tb.lacking, LacksEmptied) {
		findings = append(findings, fmt.Sprintf("a cold upstream got more requests than it tolerates and crashed %d times", n))
	}
	if returned == 0 {
		findings = append(findings, "a failure domain that was taken back gets no requests")
	}
	return findings
}
