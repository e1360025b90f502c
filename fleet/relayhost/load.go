package relayhost

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/hazelworks/hazelworks/core/hostload"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/fleet/hostmeter"
	"github.com/hazelworks/hazelworks/fleet/lending"
)

// buildLoad makes the meter of this host's load, which counts the bytes of all its connections.
func (h *Host) buildLoad() {
	l := h.cfg.Limits
	h.load = hostmeter.New(hostmeter.Options{
		TurnAway:  h.cfg.TurnCallersAway,
		Limits:    hostload.Limits{Cores: l.Cores, LinkBits: l.LinkBits, MemoryBytes: l.MemoryBytes},
		Processor: h.opt.Processor, Memory: h.opt.Memory, RunQueue: h.opt.RunQueue, Changed: h.loadChanged, Loaded: h.opt.Loaded, Log: h.opt.LogTraffic,
		Counters: []string{balancer.CounterChoices, balancer.CounterChoiceTime, lending.CounterCalls, gossip.CounterReceived},
		Logger:   h.opt.Logger, Metrics: h.opt.Metrics,
	})
	h.opt.Network = h.load.Network(h.opt.Network)
}

// loadChanged is called with changes of this host's load, and now and then while it is full.
func (h *Host) loadChanged(full bool) {
	h.hosts.setSelfFull(full)
	h.gossip.TellLoad(full)
	if full {
		h.callers.CloseIdle()
	}
}

func (w *hostWatch) setSelfFull(full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.SetSelfFull(full)
}

// receiveLoad applies what another host reports of its load.
func (w *hostWatch) receiveLoad(r *gossip.Report) {
	if r.Load == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.SetFull(r.Host, r.Load.Run, r.Load.Full, time.Now())
}

// listenCallers opens the listener for callers.
func (h *Host) listenCallers() (net.Listener, error) {
	l, err := h.opt.Network.Listen(context.Background(), h.cfg.Listen.Caller.String(), listenSockets(h.kernelBuffers().Callers))
	if err != nil {
		return nil, fmt.Errorf("relayhost: callers: %w", err)
	}
	return l, nil
}
