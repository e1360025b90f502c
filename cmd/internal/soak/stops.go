package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

const (
	// stopsInRow is the number of hosts that are stopped as planned within stopRowTime, so that
	// their stops overlap.
	stopsInRow  = 2
	stopRowTime = 700 * time.Millisecond
	// stopRowEvery is the number of other faults for one row of stops.
	stopRowEvery = 4
	// calmDelay is the time that plain upstreams take in calm times, so that a planned stop meets
	// requests in flight.
	calmDelay = 150 * time.Millisecond
	// recentOutcomes is the number of the latest outcomes that tell where the callers are.
	recentOutcomes = 50
)

// plannedStop is a stop of a host in calm times.
type plannedStop struct {
	host             *host
	signalled, ended time.Time
}

// stopRow stops some hosts in a row, beside other faults.
func (tb *testbed) stopRow(rng *rand.Rand) {
	for range stopsInRow {
		gap := time.Duration(rng.Float64() * float64(stopRowTime))
		if h := tb.randomHost(rng); h.claimRestart() {
			tb.goFault(func() {
				time.Sleep(gap)
				h.signal(syscall.SIGTERM)
				h.restartAfterExit(rand.New(rand.NewPCG(uint64(gap), 0)))
			})
		}
	}
}

// stopInCalm stops the hosts with the most callers as planned, each just after a reload and a
// change of the configuration, and starts them again once their processes have ended.
func (tb *testbed) stopInCalm(outcomes []outcome) []plannedStop {
	for i, upstream := range tb.upstreams {
		if i < modelUpstreamCount || i == limitedUpstream {
			continue // as the fastest, the limited one would get most of the requests
		}
		b := upstream.defaultBehaviour
		b.Delay = calmDelay
		upstream.SetBehaviour(b)
	}
	time.Sleep(calmDelay)
	stops := make([]plannedStop, min(stopsInRow, len(tb.hosts)))
	var group sync.WaitGroup
	for i, h := range tb.busiestHosts(outcomes)[:len(stops)] {
		group.Go(func() {
			time.Sleep(time.Duration(i) * stopRowTime)
			tb.changeConfig(func(c standin.Config) {
				c["limits"].(standin.Config)["idle_timeout_ms"] = (idleTimeout + time.Duration(i)*time.Second).Milliseconds()
			})
			h.signal(syscall.SIGHUP)
			stops[i] = plannedStop{host: h, signalled: time.Now()}
			h.signal(syscall.SIGTERM)
			h.waitOrKill(grace + time.Second)
			stops[i].ended = time.Now()
			h.startAgain()
		})
	}
	group.Wait()
	return stops
}

// idleTimeout is the idle timeout that the first stop in calm times configures; the next ones add a
// second each.
const idleTimeout = 13 * time.Second

// busiestHosts returns the hosts, those of most of the latest outcomes first.
func (tb *testbed) busiestHosts(outcomes []outcome) []*host {
	counts := make(map[*host]int)
	for _, o := range outcomes[max(0, len(outcomes)-recentOutcomes):] {
		counts[o.host]++
	}
	hosts := slices.Clone(tb.hosts)
	slices.SortStableFunc(hosts, func(a, b *host) int { return counts[b] - counts[a] })
	return hosts
}

// checkPlannedStops checks that hosts that stopped in calm times cut off no request that they had
// accepted. A refused connection is no request.
func (tb *testbed) checkPlannedStops(outcomes []outcome, from time.Time, stops []plannedStop) []string {
	var findings []string
	for i := range outcomes {
		o := &outcomes[i]
		left := errors.Is(o.err, context.DeadlineExceeded) // the caller itself has left
		during := slices.ContainsFunc(stops, func(s plannedStop) bool { return s.host == o.host && !o.sentAt.After(s.ended) })
		if !during || o.err == nil || left || o.sentAt.Before(from) || errors.Is(o.err, syscall.ECONNREFUSED) {
			continue
		}
		findings = append(findings, fmt.Sprintf("%s (%s, %d bytes): cut off in a planned stop of %s after %v, run %d times: %v",
			o.id, o.kind.name, len(o.content()), o.host.name, o.duration, len(tb.recorder.Runs(o.id)), o.err))
	}
	return findings
}

const (
	// longBodyEvery is the number of requests of which one has a long body, of up to maxBodyBytes,
	// that is sent in pieces.
	longBodyEvery = 4
	maxBodyBytes  = 60 << 10
	pieceBytes    = 6 << 10
	pieceGap      = 4 * time.Millisecond
	// loyalEvery is the number of callers of which one keeps to a host until it is gone.
	loyalEvery = 3
)

// content returns the body of a request.
func (o *outcome) content() string {
	return "content of " + o.id + strings.Repeat("x", o.padding)
}

// pieces reads a body in pieces, with pauses.
type pieces struct{ io.Reader }

// Read implements io.Reader.
func (p pieces) Read(b []byte) (int, error) {
	time.Sleep(pieceGap)
	return p.Reader.Read(b[:min(len(b), pieceBytes)])
}
