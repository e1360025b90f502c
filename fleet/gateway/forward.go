package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// maxForwards bounds the hosts that one request is handed to.
const maxForwards = 3

// forwardOf returns a function that gives a request in the form for another
// host, or nil if it was handed on already.
func forwardOf(r *http.Request, c caller, id string, body []byte) func() *peerpb.ForwardRequest {
	if c.forwarded {
		return nil
	}
	return func() *peerpb.ForwardRequest { return forwardRequest(r, c.account.ID, id, body) }
}

func forwardRequest(r *http.Request, account, id string, body []byte) *peerpb.ForwardRequest {
	header := make(map[string]string, len(r.Header))
	for name, values := range r.Header {
		header[name] = strings.Join(values, valueSeparator)
	}
	delete(header, "Authorization")
	header[HeaderIdempotencyKey] = id
	return &peerpb.ForwardRequest{
		Account: account, RequestId: id, Method: r.Method, Path: r.URL.RequestURI(), Header: header, Body: body,
	}
}

// forwardToHolder hands the request to a host that holds more of its budget,
// after this host was refused a reservation. It returns false if nothing was
// handed on.
func (c *call) forwardToHolder(ctx context.Context, err error) (stream.End, bool) {
	var refused *grants.RefusedError
	if c.forward == nil || c.g.opts.View == nil || !errors.As(err, &refused) {
		return stream.End{}, false
	}
	message := c.forward()
	for i, holder := range refused.Holders {
		if i >= maxForwards || ctx.Err() != nil {
			break
		}
		if holder.Host == c.g.opts.Self.Host {
			continue
		}
		if end, ok := c.forwardTo(ctx, holder.Host, message); ok {
			return end, true
		}
	}
	return stream.End{}, false
}

// forwardTo hands the request to a host and passes its answer on. It returns
// false if it is certain that the host did not get it.
func (c *call) forwardTo(ctx context.Context, host record.HostID, message *peerpb.ForwardRequest) (stream.End, bool) {
	client, ok := c.g.opts.View.Client(host)
	if !ok {
		return stream.End{}, false
	}
	if deadline, ok := ctx.Deadline(); ok {
		message.TimeoutMs = time.Until(deadline).Milliseconds()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := newWatch(c.g.limits.PeerTimeout, func() { cancel(errPeerSilent) })
	events, err := client.Forward(ctx, connect.NewRequest(message))
	r := &remote{host: host, events: events, watch: w, cancel: cancel}
	if err := r.first(c.g.limits.Heartbeat, err); err != nil {
		if neverDialed(err) {
			return stream.End{}, false
		}
		c.fire(request.EventForward, "", string(host))
		return c.endElsewhere(lostAtPeer(err)), true
	}
	defer r.close()
	c.fire(request.EventForward, "", string(host))
	c.g.log.Info("Request handed on.", "request", c.req.ID, "account", c.req.Account, "host", host, "reason", "it holds more of the budget")
	end, err := r.pump(ctx, c.req)
	if err != nil {
		end = lostAtPeer(causeOf(ctx, err))
	}
	return c.endElsewhere(end), true
}

func (c *call) endElsewhere(end stream.End) stream.End {
	c.fire(eventOf(end.Outcome), "", "")
	return end
}

// neverDialed reports whether a call failed before there was a connection.
func neverDialed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Forward runs a request that another host has authenticated and handed on, and
// returns its answer. It is not handed on again.
func (g *Gateway) Forward(ctx context.Context, r *connect.Request[peerpb.ForwardRequest], out *connect.ServerStream[peerpb.AnswerEvent]) error {
	if err := out.Send(&peerpb.AnswerEvent{}); err != nil {
		return err
	}
	req, p := g.startForwarded(ctx, r.Msg)
	if p != nil {
		return out.Send(lastMessage(0, stream.End{Outcome: record.OutcomeNotRun, Problem: p}))
	}
	return g.serveAnswer(ctx, req, 0, out)
}

func (g *Gateway) startForwarded(ctx context.Context, m *peerpb.ForwardRequest) (*request.Request, *problem.Problem) {
	set := g.opts.Settings.Current()
	if set == nil {
		return nil, problem.New(http.StatusServiceUnavailable, problem.CodeNotReady, "no settings are known yet").WithRetryAfter(notReadyRetry)
	}
	acct, ok := set.Account(m.GetAccount())
	if !ok {
		return nil, problem.New(http.StatusUnauthorized, problem.CodeUnauthorized, "the account is not known")
	}
	hr, err := httpRequest(ctx, m)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	c := caller{account: acct, settings: set, forwarded: true}
	if hr.URL.Path == chatPath {
		req, _, p := g.startChat(hr, c, heldBody{data: m.GetBody(), free: func() {}})
		return req, p
	}
	parts := strings.SplitN(strings.TrimPrefix(hr.URL.Path, "/v1/services/"), "/", 3)
	if len(parts) < 2 {
		return nil, badRequest("%q is not a path of a service", hr.URL.Path)
	}
	svc, p := plainService(c, parts[0], parts[1])
	if p != nil {
		return nil, p
	}
	body := &callBody{held: m.GetBody(), length: int64(len(m.GetBody()))}
	return g.startPlain(hr, c, svc, body, func() {})
}

// httpRequest returns a forwarded request as if its caller had sent it here.
func httpRequest(ctx context.Context, m *peerpb.ForwardRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(m.GetPath())
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, m.GetMethod(), target.String(), nil)
	if err != nil {
		return nil, err
	}
	for name, joined := range m.GetHeader() {
		r.Header[name] = strings.Split(joined, valueSeparator)
	}
	if ms := m.GetTimeoutMs(); ms > 0 {
		r.Header.Set(HeaderDeadline, strconv.FormatInt(ms, 10))
	}
	return r, nil
}
