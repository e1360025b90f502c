package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Planned stops of hosts with a longer time to stop, that get streams as late as callers may send
// them, and later.
const (
	// lateEvery is the number of seeds of which one has late streams.
	lateEvery = 3
	lateGrace = 8 * time.Second
	// useTime is how long after the signal to stop callers may use a host.
	useTime = 3 * time.Second
	// lateWarmUp is the time before the signal, lateFrom the time from it to the first late stream.
	lateWarmUp = 300 * time.Millisecond
	lateFrom   = 2400 * time.Millisecond
	lateGap    = 45 * time.Millisecond
	// lateEarlier is how much earlier some streams begin, so that they end in time.
	lateEarlier = 1500 * time.Millisecond
	// lateCallers is the number of callers of each host that stops. The streams of three quarters
	// of them fit into the slots of the upstreams, also with two hosts.
	lateCallers = 20
	// shortKinds is the number of requestKinds that are no streams. They are the last ones.
	shortKinds = 2
	// lateEventGap makes streams outlast a host that gets them at the end of useTime.
	lateEventGap = 650 * time.Millisecond
	// lateStoreDelay is the delay of each way to and from the store.
	lateStoreDelay = 75 * time.Millisecond
	// A host is paused and runs in turns.
	turnPaused  = 60 * time.Millisecond
	turnRunning = 40 * time.Millisecond
)

var lateKind = requestKind{name: "late", method: http.MethodPost, path: "/chat/1", atMostOnce: true, stream: true, timeout: 6 * time.Second}

// checkLateStops stops hosts that get the processor a part of the time and have a slow store, while
// callers begin streams, and checks that no stream that has reached an upstream was cut.
func (tb *testbed) checkLateStops(c *callers) []string {
	for _, u := range tb.upstreams[:modelUpstreamCount] {
		u.SetBehaviour(standin.Behaviour{Events: streamEvents, EventGap: lateEventGap})
		defer u.SetBehaviour(u.defaultBehaviour)
	}
	for _, h := range tb.hosts {
		h.grace = lateGrace
		tb.mu.Lock()
		tb.recordError(h.writeSettings())
		tb.mu.Unlock()
		h.signal(syscall.SIGHUP)
	}
	tb.topUpHosts()
	stops := make([]plannedStop, min(stopsInRow, len(tb.hosts)))
	var group sync.WaitGroup
	for i, n := range rand.New(rand.NewPCG(c.seed, 4000)).Perm(len(tb.hosts))[:len(stops)] {
		group.Go(func() {
			time.Sleep(time.Duration(i) * stopRowTime)
			stops[i] = tb.hosts[n].stopLate(c)
		})
	}
	group.Wait()
	return tb.checkLateStreams(c.recorded(), stops)
}

// stopLate stops the host as planned, with late streams, and starts it again.
func (h *host) stopLate(c *callers) plannedStop {
	h.storeProxy.setFaults(func(p *proxy) { p.delay = lateStoreDelay })
	var calls sync.WaitGroup
	for n := range lateCallers {
		calls.Go(func() { c.callLate(h, n) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	var turns sync.WaitGroup
	turns.Go(func() { h.runInTurns(ctx) })
	time.Sleep(lateWarmUp)
	stop := plannedStop{host: h, signalled: time.Now()}
	h.signal(syscall.SIGTERM)
	h.waitOrKill(lateGrace)
	stop.ended = time.Now()
	cancel()
	turns.Wait()
	calls.Wait()
	h.storeProxy.clearFaults()
	h.startAgain()
	return stop
}

// runInTurns pauses the process again and again until ctx ends.
func (h *host) runInTurns(ctx context.Context) {
	for ctx.Err() == nil {
		h.signal(syscall.SIGSTOP)
		time.Sleep(turnPaused)
		h.signal(syscall.SIGCONT)
		time.Sleep(turnRunning)
	}
}

// callLate is one of the callers of a host that stops. Some send requests until the host is gone. The
// others begin one stream: on a connection that was opened before the signal, early, or on a new one.
func (c *callers) callLate(h *host, n int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	send := func(kind *requestKind) outcome {
		return c.attempt(client, h, outcome{kind: kind, key: validKey}, false)
	}
	at := time.Now().Add(lateWarmUp + lateFrom + time.Duration(n)*lateGap)
	switch short := requestKinds[len(requestKinds)-shortKinds:]; n % 4 {
	case 0:
		for i := 0; send(&short[i%shortKinds]).err == nil; i++ {
			time.Sleep(meanPause)
		}
		return
	case 1:
		send(&short[shortKinds-1])
	case 2:
		at = at.Add(-lateEarlier)
	}
	time.Sleep(time.Until(at))
	send(&lateKind)
}

// covers reports whether a request was sent to the host from shortly before the signal until its end.
func (s *plannedStop) covers(o *outcome) bool {
	return s.host == o.host && !o.sentAt.Before(s.signalled.Add(-lateWarmUp)) && !o.sentAt.After(s.ended)
}

// hasCut reports whether the answer to a request that the stop covers and that has reached an upstream was
// cut although it need not. It may be if the request was sent within useTime and its upstream was at work
// in the last sixth of the time to stop, and once the caller's time was over.
func (s *plannedStop) hasCut(o *outcome) bool {
	sent, end := o.sentAt.Sub(s.signalled), o.sentAt.Add(o.duration).Sub(s.signalled)
	allowed := sent <= useTime && end >= lateGrace*5/6
	timedOut := errors.Is(o.err, context.DeadlineExceeded) || o.duration >= o.kind.limit()
	return o.err != nil && !allowed && !timedOut
}

// checkLateStreams checks that stops have cut no answer to a request that had reached an upstream.
func (tb *testbed) checkLateStreams(outcomes []outcome, stops []plannedStop) []string {
	var findings []string
	streams := 0
	for i := range outcomes {
		o := &outcomes[i]
		for _, s := range stops {
			if !s.covers(o) {
				continue
			}
			runs := tb.recorder.Runs(o.id)
			if len(runs) == 0 {
				continue
			}
			if o.kind == &lateKind {
				streams++
			}
			if !s.hasCut(o) || tb.lacks(o.build, LacksLate) {
				continue
			}
			findings = append(findings, fmt.Sprintf("%s (%s): sent %v after the signal to stop of %s, passed on after %v, cut at %v: %v",
				o.id, o.kind.name, o.sentAt.Sub(s.signalled), s.host.name, runs[0].StartedAt.Sub(o.sentAt), o.sentAt.Add(o.duration).Sub(s.signalled), o.err))
		}
	}
	if streams == 0 {
		findings = append(findings, "no stream that began in a planned stop has reached an upstream")
	}
	return findings
}
