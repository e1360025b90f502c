package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

const (
	// peerTimeout bounds a call to another host.
	peerTimeout = time.Second
	// peerCalls is the number of calls at once.
	peerCalls = 16
	// exchangeInterval is the mean time between two exchanges with a random host, by which
	// a host that was cut off or has just started learns what is in force.
	exchangeInterval = 10 * time.Second
	// startInterval is that time until the first exchange has succeeded.
	startInterval = 200 * time.Millisecond
)

// Peers exchanges crashes and quarantines with the other hosts by calls, in fleets without
// gossip and without a keyed log.
type Peers struct {
	view   member.View
	keeper *Keeper
	log    logr.Logger
}

// NewPeers returns the exchange of a keeper; [Peers.Run] starts it.
func NewPeers(view member.View, logger logr.Logger) *Peers {
	return &Peers{view: view, log: logger.WithName("quarantine")}
}

// SetKeeper sets the keeper. It must be called before all other methods.
func (p *Peers) SetKeeper(k *Keeper) { p.keeper = k }

// Broadcast sends a report to the hosts that need it, see [roster.CrashCollectors]. It does not
// block.
func (p *Peers) Broadcast(r gossip.Report) {
	targets := p.others()
	if len(r.Quarantines)+len(r.Lifted) == 0 {
		self := roster.Host{ID: p.view.Self().Host}
		targets = roster.CrashCollectors(self, targets, targets)
	}
	go func() {
		var group errgroup.Group
		group.SetLimit(peerCalls)
		for _, to := range targets {
			group.Go(func() error {
				p.callWithRetry(to.ID, r)
				return nil
			})
		}
		_ = group.Wait() // its functions return no errors
	}()
}

// others returns the other hosts that are live.
func (p *Peers) others() []roster.Host {
	var out []roster.Host
	for _, h := range p.view.Hosts() {
		if h.ID != p.view.Self().Host && h.ObservedState == member.StateLive {
			out = append(out, roster.Host{ID: h.ID})
		}
	}
	return out
}

// callWithRetry sends a report to a host, twice if the first call fails.
func (p *Peers) callWithRetry(to record.HostID, r gossip.Report) {
	err := p.call(to, r)
	if err != nil {
		err = p.call(to, r)
	}
	if err != nil {
		p.log.Info("Host could not be told of crashes or quarantines.", "host", to, "error", err.Error())
	}
}

// call sends a report to a host and applies the quarantines that it answers with.
func (p *Peers) call(to record.HostID, r gossip.Report) error {
	client, ok := p.view.Client(to)
	if !ok {
		return nil // it has gone
	}
	data, err := r.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	resp, err := client.Quarantine(ctx, connect.NewRequest(&peerpb.QuarantineRequest{Report: data}))
	if err != nil {
		return err
	}
	answer, err := gossip.DecodeReport(resp.Msg.Report)
	if err != nil {
		return err
	}
	p.keeper.Receive(answer)
	return nil
}

// Quarantine implements peer.QuarantineServer.
func (p *Peers) Quarantine(_ context.Context, r *connect.Request[peerpb.QuarantineRequest]) (*connect.Response[peerpb.QuarantineResponse], error) {
	report, err := gossip.DecodeReport(r.Msg.Report)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	p.keeper.Receive(report)
	active, _ := p.keeper.Report()
	data, err := active.Encode()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerpb.QuarantineResponse{Report: data}), nil
}

// Run exchanges quarantines with random hosts until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	wait := startInterval
	for {
		timer := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		others := p.others()
		if len(others) == 0 {
			continue
		}
		report, _ := p.keeper.Report()
		if err := p.call(others[rand.IntN(len(others))].ID, report); err == nil {
			wait = exchangeInterval
		}
	}
}
