package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// fault is a kind of fault. start returns the function that ends it, or nil if the
// fault has no duration.
type fault struct {
	name  string
	start func(tb *testbed, rng *rand.Rand) (end func())
	// maxDuration bounds the random duration of the fault.
	maxDuration time.Duration
}

// faults returns the kinds of faults that callers and operators encounter.
func faults() []fault {
	storeFault := func(f memkeyed.Faults) func(tb *testbed, rng *rand.Rand) func() {
		return func(tb *testbed, rng *rand.Rand) func() {
			// All proxies share an IP address, so the fault affects every host.
			link := tb.store.Link(tb.proxyAddr)
			link.Set(f)
			return func() { link.Set(memkeyed.Faults{}) }
		}
	}
	proxyFault := func(f func(p *proxy)) func(tb *testbed, rng *rand.Rand) func() {
		return func(tb *testbed, rng *rand.Rand) func() {
			var affected []*proxy
			for _, p := range tb.proxies() {
				if rng.Float64() < 0.3 {
					p.setFaults(f)
					affected = append(affected, p)
				}
			}
			return func() {
				for _, p := range affected {
					p.clearFaults()
				}
			}
		}
	}
	upstreamFault := func(change func(b *standin.Behaviour)) func(tb *testbed, rng *rand.Rand) func() {
		return func(tb *testbed, rng *rand.Rand) func() {
			upstream := tb.upstreams[rng.IntN(len(tb.upstreams))]
			b := upstream.defaultBehaviour
			change(&b)
			upstream.SetBehaviour(b)
			return func() { upstream.SetBehaviour(upstream.defaultBehaviour) }
		}
	}
	return []fault{
		{name: "host killed", start: killHosts(0.3)},
		{name: "all hosts killed", start: killHosts(1)},
		{name: "host stopped", start: stopHost},
		{name: "host paused", start: pauseHost, maxDuration: 3 * time.Second},
		{name: "reload signals", start: reloadHost},
		{name: "connections reset", start: resetConnections},
		{name: "ways delayed", start: proxyFault(func(p *proxy) { p.delay = 40 * time.Millisecond }), maxDuration: 2 * time.Second},
		{name: "ways silent", start: proxyFault(func(p *proxy) { p.dropToTarget, p.dropFromTarget = true, true }), maxDuration: 3 * time.Second},
		{name: "ways silent to the target", start: proxyFault(func(p *proxy) { p.dropToTarget = true }), maxDuration: 2 * time.Second},
		{name: "ways silent from the target", start: proxyFault(func(p *proxy) { p.dropFromTarget = true }), maxDuration: 2 * time.Second},
		{name: "ways refused", start: proxyFault(func(p *proxy) { p.refuse = true }), maxDuration: 2 * time.Second},
		{name: "store unavailable", start: storeFault(memkeyed.Faults{Unavailable: true}), maxDuration: 3 * time.Second},
		{name: "store loses answers", start: storeFault(memkeyed.Faults{LoseAnswer: 0.3}), maxDuration: 3 * time.Second},
		{name: "store writes late", start: storeFault(memkeyed.Faults{Late: 0.3, LateBy: time.Second}), maxDuration: 3 * time.Second},
		{name: "store throttles", start: storeFault(memkeyed.Faults{Throttled: true}), maxDuration: time.Second},
		{name: "history dropped", start: compactStreams},
		{name: "worker mute", start: upstreamFault(func(b *standin.Behaviour) { b.Hang = true }), maxDuration: 2 * time.Second},
		{name: "worker resets", start: upstreamFault(func(b *standin.Behaviour) { b.Reset = true }), maxDuration: 2 * time.Second},
		{name: "worker cuts streams", start: upstreamFault(func(b *standin.Behaviour) { b.CutAfter = 3 }), maxDuration: 2 * time.Second},
		{name: "worker answers twice", start: upstreamFault(func(b *standin.Behaviour) { b.ExtraBefore = true }), maxDuration: 2 * time.Second},
		{name: "worker repeats answers", start: upstreamFault(func(b *standin.Behaviour) { b.RepeatLast = true }), maxDuration: 2 * time.Second},
		{name: "worker stalls streams", start: upstreamFault(func(b *standin.Behaviour) { b.StallAfter = 3 }), maxDuration: 2 * time.Second},
		{name: "worker sheds", start: upstreamFault(func(b *standin.Behaviour) { b.Shed = true }), maxDuration: 2 * time.Second},
		{name: "worker sheds without an ID", start: upstreamFault(func(b *standin.Behaviour) { b.Shed, b.Anonymous = true, true }), maxDuration: time.Second},
		{name: "worker fails", start: upstreamFault(func(b *standin.Behaviour) { b.Fail = true }), maxDuration: 2 * time.Second},
		{name: "worker sends garbage", start: upstreamFault(func(b *standin.Behaviour) { b.Garbage = true }), maxDuration: time.Second},
		{name: "workers crashed by requests", start: crashUpstreams},
		{name: "worker restarted with other software", start: changeSoftware},
		{name: "budget raised", start: topUp},
		{name: "configuration changed", start: bumpConfigVersion},
	}
}

// maxDowntime bounds the time for which a stopped host stays down.
const maxDowntime = time.Second

// restartAfterExit waits for the process to exit and starts it again after a random
// time.
func (h *host) restartAfterExit(rng *rand.Rand) {
	down := time.Duration(rng.Float64() * float64(maxDowntime))
	h.tb.goFault(func() {
		h.waitOrKill(grace + 3*time.Second)
		time.Sleep(down)
		h.startAgain()
	})
}

// startAgain starts the next process of the host.
func (h *host) startAgain() {
	err := h.start()
	h.tb.mu.Lock()
	defer h.tb.mu.Unlock()
	h.tb.recordError(err)
}

func killHosts(share float64) func(tb *testbed, rng *rand.Rand) func() {
	return func(tb *testbed, rng *rand.Rand) func() {
		for _, h := range tb.hosts {
			if rng.Float64() < share && h.claimRestart() {
				h.signal(syscall.SIGKILL)
				h.restartAfterExit(rng)
			}
		}
		return nil
	}
}

func stopHost(tb *testbed, rng *rand.Rand) func() {
	if h := tb.randomHost(rng); h.claimRestart() {
		h.signal(syscall.SIGTERM)
		h.restartAfterExit(rng)
	}
	return nil
}

func pauseHost(tb *testbed, rng *rand.Rand) func() {
	h := tb.randomHost(rng)
	h.signal(syscall.SIGSTOP)
	return func() { h.signal(syscall.SIGCONT) }
}

func reloadHost(tb *testbed, rng *rand.Rand) func() {
	h := tb.randomHost(rng)
	for range 1 + rng.IntN(4) {
		h.signal(syscall.SIGHUP)
	}
	return nil
}

func resetConnections(tb *testbed, rng *rand.Rand) func() {
	for _, p := range tb.proxies() {
		if rng.Float64() < 0.4 {
			p.resetConns()
		}
	}
	return nil
}

// compactStreams drops the history of the operator's and the upstreams' streams.
func compactStreams(tb *testbed, _ *rand.Rand) func() {
	tb.log.Compact(standin.OperatorStream)
	tb.log.Compact(standin.UpstreamStream)
	return nil
}

// changeSoftware has an upstream crash and start again, under its ID, with another version.
func changeSoftware(tb *testbed, rng *rand.Rand) func() {
	upstream := tb.upstreams[rng.IntN(modelUpstreamCount)]
	upstream.SetVersion(softwareVersions[rng.IntN(len(softwareVersions))])
	upstream.Crash()
	return nil
}

// topUpTokens is the amount of one top-up.
const topUpTokens = 40_000

func topUp(tb *testbed, _ *rand.Rand) func() {
	tb.changeConfig(func(c standin.Config) {
		tb.prepaid += topUpTokens
		c.SetPrepaid(tb.prepaid)
	})
	return nil
}

// bumpConfigVersion writes a new version with the same content.
func bumpConfigVersion(tb *testbed, _ *rand.Rand) func() {
	tb.changeConfig(func(standin.Config) {})
	return nil
}

// changeConfig writes the next version of the configuration.
func (tb *testbed) changeConfig(change func(c standin.Config)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.version++
	tb.config["version"] = tb.version
	change(tb.config)
	tb.recordError(standin.Configure(tb.log, tb.config))
}
