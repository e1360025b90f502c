package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// fault is one kind of trouble. It returns what ends it, if it lasts.
type fault struct {
	name  string
	begin func(w *world, rng *rand.Rand) (end func())
	// longest is how long it lasts at most.
	longest time.Duration
}

// faults are the kinds of trouble, as callers and operators meet them.
func faults() []fault {
	storeFault := func(f memkeyed.Faults) func(w *world, rng *rand.Rand) func() {
		return func(w *world, rng *rand.Rand) func() {
			// The store sees the hosts' proxies, which share an address.
			link := w.store.Link(w.loopback)
			link.Set(f)
			return func() { link.Set(memkeyed.Faults{}) }
		}
	}
	way := func(f func(p *proxy)) func(w *world, rng *rand.Rand) func() {
		return func(w *world, rng *rand.Rand) func() {
			var spoilt []*proxy
			for _, p := range w.proxies() {
				if rng.Float64() < 0.3 {
					p.set(f)
					spoilt = append(spoilt, p)
				}
			}
			return func() {
				for _, p := range spoilt {
					p.heal()
				}
			}
		}
	}
	behave := func(change func(b *standin.Behaviour)) func(w *world, rng *rand.Rand) func() {
		return func(w *world, rng *rand.Rand) func() {
			worker := w.workers[rng.IntN(len(w.workers))]
			b := worker.usual
			change(&b)
			worker.SetBehaviour(b)
			return func() { worker.SetBehaviour(worker.usual) }
		}
	}
	return []fault{
		{name: "host killed", begin: killSome(0.3)},
		{name: "all hosts killed", begin: killSome(1)},
		{name: "host stopped", begin: stopOne},
		{name: "host paused", begin: pauseOne, longest: 3 * time.Second},
		{name: "reload signals", begin: reload},
		{name: "connections reset", begin: resetSome},
		{name: "ways delayed", begin: way(func(p *proxy) { p.delay = 40 * time.Millisecond }), longest: 2 * time.Second},
		{name: "ways silent", begin: way(func(p *proxy) { p.silentTo, p.silentFrom = true, true }), longest: 3 * time.Second},
		{name: "ways silent to the target", begin: way(func(p *proxy) { p.silentTo = true }), longest: 2 * time.Second},
		{name: "ways silent from the target", begin: way(func(p *proxy) { p.silentFrom = true }), longest: 2 * time.Second},
		{name: "ways refused", begin: way(func(p *proxy) { p.refuse = true }), longest: 2 * time.Second},
		{name: "store unavailable", begin: storeFault(memkeyed.Faults{Unavailable: true}), longest: 3 * time.Second},
		{name: "store loses answers", begin: storeFault(memkeyed.Faults{LoseAnswer: 0.3}), longest: 3 * time.Second},
		{name: "store writes late", begin: storeFault(memkeyed.Faults{Late: 0.3, LateBy: time.Second}), longest: 3 * time.Second},
		{name: "store throttles", begin: storeFault(memkeyed.Faults{Throttled: true}), longest: time.Second},
		{name: "history dropped", begin: compact},
		{name: "worker mute", begin: behave(func(b *standin.Behaviour) { b.Hang = true }), longest: 2 * time.Second},
		{name: "worker resets", begin: behave(func(b *standin.Behaviour) { b.Reset = true }), longest: 2 * time.Second},
		{name: "worker cuts streams", begin: behave(func(b *standin.Behaviour) { b.CutAfter = 3 }), longest: 2 * time.Second},
		{name: "worker answers twice", begin: behave(func(b *standin.Behaviour) { b.ExtraBefore = true }), longest: 2 * time.Second},
		{name: "worker sheds", begin: behave(func(b *standin.Behaviour) { b.Shed = true }), longest: 2 * time.Second},
		{name: "worker fails", begin: behave(func(b *standin.Behaviour) { b.Fail = true }), longest: 2 * time.Second},
		{name: "worker sends garbage", begin: behave(func(b *standin.Behaviour) { b.Garbage = true }), longest: time.Second},
		{name: "budget raised", begin: topUp},
		{name: "configuration changed", begin: touchConfig},
	}
}

// downTime is how long a killed host stays down at most.
const downTime = time.Second

// restart starts a host again after a random time.
func (h *host) restart(rng *rand.Rand) {
	down := time.Duration(rng.Float64() * float64(downTime))
	h.w.later(func() {
		h.wait(grace + 3*time.Second)
		time.Sleep(down)
		if err := h.start(); err != nil {
			h.w.mu.Lock()
			defer h.w.mu.Unlock()
			h.w.note(err)
		}
	})
}

func killSome(share float64) func(w *world, rng *rand.Rand) func() {
	return func(w *world, rng *rand.Rand) func() {
		for _, h := range w.hosts {
			if rng.Float64() < share && h.claim() {
				h.signal(syscall.SIGKILL)
				h.restart(rng)
			}
		}
		return nil
	}
}

func stopOne(w *world, rng *rand.Rand) func() {
	if h := w.anyHost(rng); h.claim() {
		h.signal(syscall.SIGTERM)
		h.restart(rng)
	}
	return nil
}

func pauseOne(w *world, rng *rand.Rand) func() {
	h := w.anyHost(rng)
	h.signal(syscall.SIGSTOP)
	return func() { h.signal(syscall.SIGCONT) }
}

func reload(w *world, rng *rand.Rand) func() {
	h := w.anyHost(rng)
	for range 1 + rng.IntN(4) {
		h.signal(syscall.SIGHUP)
	}
	return nil
}

func resetSome(w *world, rng *rand.Rand) func() {
	for _, p := range w.proxies() {
		if rng.Float64() < 0.4 {
			p.resetAll()
		}
	}
	return nil
}

func compact(w *world, _ *rand.Rand) func() {
	w.log.Compact(standin.OperatorStream)
	w.log.Compact(standin.UpstreamStream)
	return nil
}

// topUpTokens is what a top-up adds.
const topUpTokens = 40_000

func topUp(w *world, _ *rand.Rand) func() {
	w.changeConfig(func(c standin.Config) {
		w.prepaid += topUpTokens
		c.SetPrepaid(w.prepaid)
	})
	return nil
}

func touchConfig(w *world, _ *rand.Rand) func() {
	w.changeConfig(func(standin.Config) {})
	return nil
}

// changeConfig writes the next version of the configuration.
func (w *world) changeConfig(change func(c standin.Config)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.config["version"] = w.version
	change(w.config)
	w.note(standin.Configure(w.log, w.config))
}
