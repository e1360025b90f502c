package gateway

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// Bounds on the number of hosts that are asked for an answer.
const (
	maxParallelAsks = 8
	maxAsks         = 24
)

var errPeerSilent = errors.New("the peer fell silent")

// remoteAnswer is an answer that is read from another host.
type remoteAnswer struct {
	host      record.HostID
	events    *connect.ServerStreamForClient[peerpb.AnswerEvent]
	idleTimer *idleTimer
	cancel    context.CancelCauseFunc
}

func (r *remoteAnswer) close() {
	r.idleTimer.stop()
	r.cancel(nil)
	_ = r.events.Close()
}

// openRemote requests an answer from a host, starting at event from. It returns
// false if the host does not have it or does not respond in time.
func (g *Gateway) openRemote(ctx context.Context, host record.HostID, account, id string, from uint64) (*remoteAnswer, bool) {
	if g.opts.View == nil {
		return nil, false
	}
	client, ok := g.opts.View.Client(host)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := newIdleTimer(g.limits.PeerTimeout, func() { cancel(errPeerSilent) })
	events, err := client.Answer(ctx, connect.NewRequest(&peerpb.AnswerRequest{Account: account, RequestId: id, From: from}))
	r := &remoteAnswer{host: host, events: events, idleTimer: timer, cancel: cancel}
	return r, r.awaitFirst(g.limits.Heartbeat, err) == nil
}

// awaitFirst waits for the first message of a host, which is sent at once. The
// argument err is the error of the call.
func (r *remoteAnswer) awaitFirst(heartbeat time.Duration, err error) error {
	if err != nil {
		r.idleTimer.stop()
		r.cancel(nil)
		return err
	}
	if !r.events.Receive() {
		err := r.events.Err()
		r.close()
		return cmp.Or(err, errPeerSilent)
	}
	r.idleTimer.setIdle(maxMissedHeartbeats * heartbeat)
	return nil
}

// copyTo copies the answer to that of a request until it ends or the peer is lost.
// If the answer belongs to another request with the same ID, it ends as not run.
func (r *remoteAnswer) copyTo(ctx context.Context, req *request.Request) (stream.End, error) {
	into := req.Answer
	for r.events.Receive() {
		r.idleTimer.touch()
		m := r.events.Msg()
		switch {
		case m.GetLast():
			return endOf(m), nil
		case m.GetStatus() != 0:
			if !sameFingerprint(req, m) {
				p := beginProblem(request.ErrIDReused)
				return stream.End{Outcome: record.OutcomeNotRun, Problem: p}, nil
			}
			into.SetHead(headOf(m))
		case len(m.GetData()) > 0:
			r.idleTimer.pause()
			err := into.Append(ctx, m.GetData())
			r.idleTimer.resume()
			if err != nil {
				return stream.End{}, err
			}
		}
	}
	if err := r.events.Err(); err != nil {
		return stream.End{}, err
	}
	return stream.End{}, errPeerSilent
}

// sameFingerprint compares fingerprints. A request that only reads an answer has
// none, and matches any.
func sameFingerprint(req *request.Request, head *peerpb.AnswerEvent) bool {
	var none [sha256.Size]byte
	return req.Fingerprint == none || hex.EncodeToString(req.Fingerprint[:]) == head.GetHeader()[fingerprintHeader]
}

// relayFromHolder relays the answer of the host that has claimed the request. It
// returns false if that host cannot be asked.
func (c *call) relayFromHolder(ctx context.Context, by record.Holder) (stream.End, bool) {
	if by.Host == c.g.opts.Self.Host {
		return stream.End{}, false
	}
	found := false
	var lastErr error
	for range c.g.limits.Resumes {
		r, ok := c.g.openRemote(ctx, by.Host, c.req.Account, c.req.ID, c.req.Answer.Next())
		if !ok {
			break
		}
		found = true
		end, err := r.copyTo(ctx, c.req)
		r.close()
		if err == nil {
			return end, true
		}
		lastErr = err
	}
	if !found {
		return stream.End{}, false
	}
	return peerLost(lastErr), true
}

// fetch finds an answer at another host and relays it while the caller is
// connected.
func (g *Gateway) fetch(ctx context.Context, acct *settings.Account, id string, from uint64) (*request.Request, bool) {
	hosts := g.hostsToAsk(acct.ID)
	for len(hosts) > 0 {
		n := min(len(hosts), maxParallelAsks)
		if r, ok := g.askAll(ctx, hosts[:n], acct.ID, id, from); ok {
			return g.proxyRequest(ctx, r, request.Spec{ID: id, Account: acct.ID}, from), true
		}
		hosts = hosts[n:]
	}
	return nil, false
}

// fetchFrom relays an answer from one host, from its start.
func (g *Gateway) fetchFrom(host record.HostID, acct *settings.Account, spec request.Spec) (*request.Request, bool) {
	ctx := context.Background() // ended by the timeouts of the answer itself
	r, ok := g.openRemote(ctx, host, acct.ID, spec.ID, 0)
	if !ok {
		return nil, false
	}
	return g.proxyRequest(ctx, r, request.Spec{ID: spec.ID, Account: acct.ID, Fingerprint: spec.Fingerprint}, 0), true
}

// hostsToAsk returns the other hosts, at most maxAsks, those preferred for the
// account first.
func (g *Gateway) hostsToAsk(account string) []record.HostID {
	var hosts []record.HostID
	seen := map[record.HostID]bool{g.opts.Self.Host: true}
	add := func(id record.HostID) {
		if !seen[id] && len(hosts) < maxAsks {
			seen[id] = true
			hosts = append(hosts, id)
		}
	}
	if g.opts.PreferredHosts != nil {
		for _, id := range g.opts.PreferredHosts(account) {
			add(id)
		}
	}
	if g.opts.View != nil {
		for _, h := range g.opts.View.Hosts() {
			add(h.ID)
		}
	}
	return hosts
}

// askAll asks several hosts at once and returns the first answer.
func (g *Gateway) askAll(ctx context.Context, hosts []record.HostID, account, id string, from uint64) (*remoteAnswer, bool) {
	replies := make(chan *remoteAnswer, len(hosts))
	for _, host := range hosts {
		go func() {
			r, ok := g.openRemote(ctx, host, account, id, from)
			if !ok {
				r = nil
			}
			replies <- r
		}()
	}
	for i := range hosts {
		if r := <-replies; r != nil {
			go closeRemaining(replies, len(hosts)-i-1)
			return r, true
		}
	}
	return nil, false
}

func closeRemaining(replies <-chan *remoteAnswer, n int) {
	for range n {
		if r := <-replies; r != nil {
			r.close()
		}
	}
}

// proxyRequest returns a local request that is filled with the answer from another
// host.
func (g *Gateway) proxyRequest(ctx context.Context, r *remoteAnswer, spec request.Spec, from uint64) *request.Request {
	req := request.New(spec, g.limits.AnswerBytes, func(error) {})
	req.Answer = stream.NewBuffer(g.limits.AnswerBytes, from)
	g.log.Info("Answer fetched.", "request", spec.ID, "account", spec.Account, "host", r.host, "from", from)
	go func() {
		defer r.close()
		started := time.Now()
		end, err := r.copyTo(ctx, req)
		if err != nil {
			end = peerLost(err)
			g.log.Info("Answer lost.", "request", spec.ID, "host", r.host, "after", time.Since(started), "error", err.Error())
		}
		req.Answer.Finish(end)
	}()
	return req
}
