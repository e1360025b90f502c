package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/eventstream"
	"github.com/hazelworks/hazelworks/core/notrun"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/exchange"
)

// ForwardPath is the path at which hosts take requests that another host can't send to an
// upstream.
const ForwardPath = "/relay/v1/forward"

// Headers between hosts. The request's own method, target and host are sent in headers, because
// they are passed on unchanged.
const (
	headerForwardID     = "Hazelworks-Forward-Id"
	headerForwardMethod = "Hazelworks-Forward-Method"
	headerForwardTarget = "Hazelworks-Forward-Target"
	headerForwardHost   = "Hazelworks-Forward-Host"
	// headerForwardBody is "1" if the request has a body, which may be empty.
	headerForwardBody = "Hazelworks-Forward-Body"
	// headerForwardSettings is the version of the settings by which the request was admitted.
	headerForwardSettings = "Hazelworks-Forward-Settings"
	// headerForwardNotRun is "1" in an answer of the other host's own whose status states that the
	// request has not run. An earlier build may pass on such a status of an upstream that has run it.
	headerForwardNotRun = "Hazelworks-Forward-Not-Run"
	// headerUnreached is "1" in an answer if the host reaches no upstream either. The request
	// has not run.
	headerUnreached = "Hazelworks-Unreached"
	// internalPrefix begins all headers between hosts. Callers and upstreams can't set them.
	internalPrefix = "Hazelworks-"
)

const (
	// maxHelpers is the number of hosts that are asked to send one request.
	maxHelpers = 3
	// helperTimeout bounds the opening of a connection to another host.
	helperTimeout = 100 * time.Millisecond
	// helperIdle is how long an idle connection to another host is kept.
	helperIdle = 5 * time.Second
	// avoidHelper is how long a host is avoided that could not help.
	avoidHelper = time.Second
	// maxUnreached is the number of hosts that accepted no connection lately from which no other is
	// asked: this host's own link is full or cut, and each further attempt would load it.
	maxUnreached = 12
)

// RefusalAtFullPort is the answer of a host at its port for other hosts when all connections are taken. It
// belongs to whatever request the new connection brings, which the host doesn't handle.
const RefusalAtFullPort = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n" +
	headerUnreached + ": 1\r\n\r\n"

// ForwardOptions configure how requests are forwarded to other hosts.
type ForwardOptions struct {
	Self roster.Host
	// Hosts returns the other hosts with recent heartbeats.
	Hosts func() []roster.Host
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

// helpers are the hosts to which requests can be forwarded.
type helpers struct {
	opt ForwardOptions

	mu      sync.Mutex
	pools   map[record.HostID]*exchange.Pool
	avoided map[record.HostID]time.Time
	// unreached holds the times at which hosts accepted no connection. They are not asked for
	// avoidHelper.
	unreached map[record.HostID]time.Time
}

func newHelpers(opt ForwardOptions) *helpers {
	return &helpers{opt: opt, pools: make(map[record.HostID]*exchange.Pool), avoided: make(map[record.HostID]time.Time), unreached: make(map[record.HostID]time.Time)}
}

// choose returns the hosts to ask, in order. Hosts of this host's failure domain, which may be
// behind the same cut, come last, and so do those that could not help shortly before.
func (h *helpers) choose() []roster.Host {
	if h.opt.Hosts == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(h.unreached, func(_ record.HostID, at time.Time) bool { return now.Sub(at) >= avoidHelper })
	if len(h.unreached) >= maxUnreached {
		return nil
	}
	hosts := slices.DeleteFunc(slices.Clone(h.opt.Hosts()), func(o roster.Host) bool {
		_, unreached := h.unreached[o.ID]
		return unreached || o.Leaving || o.State.Leaving
	})
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	rank := func(o roster.Host) int {
		r := 0
		if o.FailureDomain == h.opt.Self.FailureDomain {
			r++
		}
		if now.Sub(h.avoided[o.ID]) < avoidHelper {
			r += 2
		}
		return r
	}
	slices.SortStableFunc(hosts, func(a, b roster.Host) int { return rank(a) - rank(b) })
	return hosts[:min(len(hosts), maxHelpers)]
}

// avoid records that a host could not help. err is the error of the attempt, if any.
func (h *helpers) avoid(host roster.Host, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.avoided[host.ID] = now
	if errors.Is(err, exchange.ErrNotSent) {
		h.unreached[host.ID] = now
	}
}

// pool returns the connections to a host. They don't survive a change of its address.
func (h *helpers) pool(host roster.Host) *exchange.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.pools[host.ID]
	if !ok || p.Addr() != host.Peer.String() {
		if ok {
			p.Close()
		}
		p = exchange.NewPool(host.Peer.String(), exchange.Options{
			Dial: h.opt.Dial, ConnectTimeout: helperTimeout, MaxIdle: helperIdle, Dialect: helperDialect{},
		})
		h.pools[host.ID] = p
	}
	return p
}

// helperDialect recognizes the answers of other hosts.
type helperDialect struct{}

// Belongs implements exchange.Dialect.
func (helperDialect) Belongs(resp *http.Response, requestID string, reused bool) bool {
	return resp.Header.Get(headerForwardID) == requestID || isNoForwardPath(resp) || !reused && isFullPort(resp)
}

// isFullPort reports whether an answer is [RefusalAtFullPort].
func isFullPort(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerUnreached) != "" && resp.Header.Get(headerForwardID) == ""
}

// isNoForwardPath reports whether an answer is that of a host whose build has no [ForwardPath], which
// its multiplexer gives. A host that has the path sets the ID first, whatever it answers.
func isNoForwardPath(resp *http.Response) bool {
	return resp.StatusCode == http.StatusNotFound && resp.Header.Get(headerForwardID) == ""
}

// errNoForwardPath reports that a host's build takes no forwarded requests.
var errNoForwardPath = errors.New("the host's build takes no forwarded requests")

// forwardResult is the result of asking one host to send a request.
type forwardResult int

const (
	// forwardNotRun means that the host has not sent the request to any upstream.
	forwardNotRun forwardResult = iota
	forwardAnswered
	// forwardLost means that the request may have run, but its answer was lost.
	forwardLost
)

// forward has another host send the request, and passes its answer on. That host finds the
// route, reserves the cost and does all else, as for a caller of its own. forward returns false
// if no other host could: the request has not run. There is one hop at most, because forwarded
// requests are not forwarded again.
func (c *call) forward(ctx context.Context, reason string) bool {
	for _, h := range c.r.helpers.choose() {
		if ctx.Err() != nil {
			return false
		}
		began := time.Now()
		result, err := c.forwardTo(ctx, h)
		c.r.logFor(result != forwardAnswered).Info("Request forwarded.", "request", c.req.ID, "service", c.service, "host", h.ID, "reason", reason,
			"status", c.status, "took", time.Since(began), "error", errText(err))
		switch result {
		case forwardAnswered:
			c.r.meters.forwarded.Inc(1)
			c.r.opt.Balancer.CountForwarded()
			return true
		case forwardLost:
			c.runs++
			if ctx.Err() != nil || c.answerStarted || !c.route.Repeatable() || c.runs >= c.route.Attempts || !c.r.opt.Balancer.AllowRetry(c.service) {
				c.giveUp(ctx, errHelperLost)
				return true
			}
		}
		c.r.helpers.avoid(h, err)
	}
	return false
}

// errHelperLost reports that the connection to the host to which a request was forwarded failed.
var errHelperLost = errors.New("the answer of the host that sends the request was lost")

func (c *call) forwardTo(ctx context.Context, h roster.Host) (forwardResult, error) {
	remaining := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	header := c.r.opt.Decoder.Forwarded(c.hr, remaining)
	deleteInternal(header)
	header.Set(headerForwardID, c.req.ID)
	header.Set(headerForwardMethod, c.req.Method)
	header.Set(headerForwardTarget, c.req.Target)
	header.Set(headerForwardHost, c.hr.Host)
	header.Set(headerForwardSettings, strconv.FormatInt(c.table.Version, 10))
	if c.req.HasBody {
		header.Set(headerForwardBody, "1")
	}
	c.req.body.use()
	resp, err := c.r.helpers.pool(h).Send(ctx, &exchange.Request{
		ID: c.req.ID, Method: http.MethodPost, Target: ForwardPath, Host: h.Peer.String(), Header: header,
		Body: c.req.body.parts(), Written: c.req.body.release, HasBody: true,
	})
	if errors.Is(err, exchange.ErrNotSent) {
		return forwardNotRun, err
	}
	if err != nil {
		return forwardLost, err
	}
	defer resp.Close()
	if isNoForwardPath(resp.Response) {
		return forwardNotRun, errNoForwardPath
	}
	if resp.Header.Get(headerUnreached) != "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxNotRunBytes))
		return forwardNotRun, nil
	}
	return c.passOn(ctx, resp)
}

// passOn passes the answer of another host on to the caller as it comes.
func (c *call) passOn(ctx context.Context, resp *exchange.Response) (forwardResult, error) {
	if notrun.States(resp.StatusCode) {
		switch {
		case resp.Header.Get(headerForwardNotRun) == "":
			_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxNotRunBytes))
			return forwardLost, errPromisesTooMuch
		case c.runs > 0:
			c.refuse(refusal{status: resp.StatusCode, reason: "refused by another host after an attempt whose answer was lost"})
			return forwardAnswered, nil
		}
	}
	c.flight.Leave() // the answer has begun without a crash
	if ctx.Err() != nil {
		return forwardLost, context.Cause(ctx) // the rest of it won't come
	}
	copyHeader(c.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", resp.Header.Get("Content-Length"))
	}
	c.answerStarted = true
	c.dropBody()
	c.r.writeHead(c.w, resp.StatusCode)
	stream := c.route.Kind == routes.KindStream && isSuccess(resp.StatusCode)
	buf := make([]byte, 0, eventBufferBytes)
	events := eventstream.NewScanner(eventstream.Resume{Certain: true})
	control := http.NewResponseController(c.w)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		ready := len(buf)
		if stream && !errors.Is(err, io.EOF) {
			ready = events.Scan(buf) // whole events only
		}
		if ready > 0 {
			if c.firstEventAfter == 0 {
				c.firstEventAfter = time.Since(c.req.Arrived)
			}
			if _, writeErr := c.w.Write(buf[:ready]); writeErr != nil {
				return forwardLost, writeErr
			}
			_ = control.Flush() // a failed connection shows at the next write
			buf = buf[:copy(buf, buf[ready:])]
		}
		switch {
		case errors.Is(err, io.EOF):
			c.status = resp.StatusCode
			return forwardAnswered, nil
		case err != nil:
			return forwardLost, err
		case len(buf) > maxEventBytes:
			return forwardLost, errEventTooLong
		}
	}
}

var errEventTooLong = errors.New("an event of the forwarded answer does not end")

// ServeForwarded handles a request that another host has forwarded.
func (r *Relay) ServeForwarded(w http.ResponseWriter, hr *http.Request) {
	w.Header().Set(headerForwardID, hr.Header.Get(headerForwardID))
	own := hr.Clone(hr.Context())
	own.Method, own.RequestURI, own.Host = hr.Header.Get(headerForwardMethod), hr.Header.Get(headerForwardTarget), hr.Header.Get(headerForwardHost)
	if hr.Header.Get(headerForwardBody) == "" {
		own.Body, own.ContentLength = http.NoBody, 0
		own.Header.Del("Content-Length")
	}
	deleteInternal(own.Header)
	// The caller's host must not appear to take a version back. Builds that don't state it send no version.
	if version, err := strconv.ParseInt(hr.Header.Get(headerForwardSettings), 10, 64); err == nil && r.hasOlderSettings(version) {
		w.Header().Set(headerUnreached, "1")
		r.refuseUnread(w, hr, nil, refusal{status: http.StatusServiceUnavailable, reason: "older settings than the host that has forwarded the request", retryAfter: startRetryAfter})
		return
	}
	r.meters.helped.Inc(1)
	r.serve(w, own, true)
}

// deleteInternal deletes the headers that only hosts may set.
func deleteInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalPrefix) {
			delete(h, name)
		}
	}
}

// hasOlderSettings reports whether the settings in force are older than a version.
func (r *Relay) hasOlderSettings(version int64) bool {
	table := r.opt.Table()
	return table == nil || table.Version < version
}

// refuseUnreached answers a forwarded request that this host can't send either.
func (c *call) refuseUnreached() {
	c.w.Header().Set(headerUnreached, "1")
	c.refuse(refusal{status: http.StatusServiceUnavailable, reason: balancer.ErrCutOff.Error(), retryAfter: startRetryAfter})
}
