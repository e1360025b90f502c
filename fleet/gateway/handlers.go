package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
)

// maxPriority bounds the absolute value of a caller's priority.
const maxPriority = 10

// requestParams are the parameters in the headers of a request.
type requestParams struct {
	id           string
	idFromCaller bool // the caller chose the ID
	repeatable   bool
	priority     int
	timeout      time.Duration
}

func (g *Gateway) readParams(r *http.Request, svc *settings.Service) (requestParams, *problem.Problem) {
	in := requestParams{repeatable: svc.Repeatable, timeout: orDefault(svc.RequestTimeout, defaultRequestTimeout)}
	if p := in.readID(r, g.opts.Self.Host); p != nil {
		return in, p
	}
	switch value := r.Header.Get(HeaderRepeatable); strings.ToLower(value) {
	case "", "true": // a caller cannot make a service's requests repeatable
	case "false":
		in.repeatable = false
	default:
		return in, badRequest("%s is true or false, not %q", HeaderRepeatable, value)
	}
	if value := r.Header.Get(HeaderPriority); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < -maxPriority || n > maxPriority {
			return in, badRequest("%s is a whole number from %d to %d", HeaderPriority, -maxPriority, maxPriority)
		}
		in.priority = n
	}
	if value := r.Header.Get(HeaderDeadline); value != "" {
		ms, err := strconv.ParseInt(value, 10, 32)
		if err != nil || ms <= 0 {
			return in, badRequest("%s is a number of milliseconds above zero", HeaderDeadline)
		}
		in.timeout = min(in.timeout, time.Duration(ms)*time.Millisecond)
	}
	return in, nil
}

func (in *requestParams) readID(r *http.Request, self record.HostID) *problem.Problem {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		in.id = request.NewID(self)
		return nil
	}
	in.id, in.idFromCaller = values[0], true
	if err := request.CheckID(in.id); err != nil || len(values) > 1 {
		return badRequest("%s: %v", HeaderIdempotencyKey, errors.Join(err, errOneValue(values)))
	}
	return nil
}

func errOneValue(values []string) error {
	if len(values) == 1 {
		return nil
	}
	return errors.New("one value is wanted")
}

func badRequest(format string, args ...any) *problem.Problem {
	return problem.New(http.StatusBadRequest, problem.CodeBadRequest, format, args...)
}

// serveChat answers chat completions.
func (g *Gateway) serveChat(w http.ResponseWriter, r *http.Request, c caller) {
	if last := r.Header.Get(HeaderLastEvent); last != "" {
		g.serveResume(w, r, c, last)
		return
	}
	body, p := g.bufferBody(w, r, c.account.ID, g.limits.BodyBytes)
	if p != nil {
		g.refuse(w, r, p)
		return
	}
	req, m, p := g.startChat(r, c, body)
	if p != nil {
		body.free()
		g.refuse(w, r, p)
		return
	}
	g.serve(w, r, req, 0, m)
}

// startChat starts a chat completion or finds the one with the same ID. If it
// returns a problem, the caller of startChat must free the body.
func (g *Gateway) startChat(r *http.Request, c caller, body bufferedBody) (*request.Request, mode, *problem.Problem) {
	chat, err := request.ParseChat(body.data)
	if err != nil {
		return nil, 0, badRequest("%v", err)
	}
	svc, p := chatService(r, c, chat)
	if p != nil {
		return nil, 0, p
	}
	if limit := orDefault(svc.MaxBodyBytes, defaultServiceBody); int64(len(body.data)) > limit {
		return nil, 0, tooLarge(limit)
	}
	in, p := g.readParams(r, svc)
	if p != nil {
		return nil, 0, p
	}
	spec := c.spec(in, svc)
	spec.Model = chat.Model
	spec.Fingerprint = sha256.Sum256(append([]byte("chat\x00"+svc.Name+"\x00"), body.data...))
	req, p := g.start(c, in, svc, spec, body.free, func(cl *call) (work, error) {
		cl.buildForward = forwardBuilder(r, c, in.id, body.data)
		cl.setSuspects(chat.MessageHash, true)
		return newModelWork(cl, chat)
	})
	if p != nil {
		return nil, 0, p.WithRequestID(in.id)
	}
	if chat.Stream {
		return req, modeEvents, nil
	}
	return req, modeWhole, nil
}

// chatService finds the service of a chat completion by its header or its model.
func chatService(r *http.Request, c caller, chat *request.Chat) (*settings.Service, *problem.Problem) {
	if name := r.Header.Get(HeaderService); name != "" {
		svc, p := serviceByName(c.settings, c.account, name)
		if p == nil && !offers(svc, chat) {
			p = unknownModel(chat)
		}
		return svc, p
	}
	var found *settings.Service
	for _, svc := range c.settings.ServicesWithModel(chat.Model) {
		if !allowed(c.account, svc) || !offers(svc, chat) {
			continue
		}
		if found == nil || svc.Firm == c.account.Firm && found.Firm != c.account.Firm {
			found = svc
		}
	}
	if found == nil {
		return nil, unknownModel(chat)
	}
	return found, nil
}

func unknownModel(chat *request.Chat) *problem.Problem {
	name := chat.Model
	if chat.Adapter != "" {
		name += ":" + chat.Adapter
	}
	return problem.New(http.StatusNotFound, problem.CodeUnknownModel, "no service of this account offers model %q", name)
}

func offers(svc *settings.Service, chat *request.Chat) bool {
	if svc.Kind != settings.ServiceModel {
		return false
	}
	for _, m := range svc.Models {
		if m.Name != chat.Model {
			continue
		}
		if chat.Adapter == "" {
			return true
		}
		for _, adapter := range m.Adapters {
			if adapter == chat.Adapter {
				return true
			}
		}
	}
	return false
}

func (c caller) spec(in requestParams, svc *settings.Service) request.Spec {
	return request.Spec{
		ID:         in.id,
		Account:    c.account.ID,
		Firm:       c.account.Firm,
		Budget:     c.account.Budget,
		Service:    svc.Name,
		Repeatable: in.repeatable,
	}
}

// start starts a request, or finds the one with the same ID. It calls free when
// the body is no longer needed, unless it returns a problem.
func (g *Gateway) start(c caller, in requestParams, svc *settings.Service, spec request.Spec, free func(), build func(*call) (work, error)) (*request.Request, *problem.Problem) {
	issuer, issued := request.IssuingHost(in.id)
	if in.idFromCaller && issued && !c.forwarded && !g.tickets.Take(c.account.ID, in.id) {
		return g.findIssued(c, spec, issuer, free)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, stop := context.WithTimeoutCause(ctx, in.timeout, errDeadline)
	cl := &call{g: g, service: svc, needsClaim: !issued && !in.repeatable, priority: in.priority}
	cl.budget, _ = c.settings.Budget(spec.Budget)
	cl.req = request.New(spec, g.limits.AnswerBytes, cancel)
	var err error
	if cl.work, err = build(cl); err != nil {
		stop()
		return nil, problem.New(http.StatusInternalServerError, problem.CodeInternal, "%v", err)
	}
	cl.hasTicket = issued && !c.forwarded
	if existing, ok := g.table.Lookup(spec.Account, spec.ID); (!ok || !existing.AnswersDuplicates()) && g.isTooLate(time.Now(), in.timeout) {
		stop()
		cl.returnTicket()
		return nil, stoppingProblem()
	}
	req, started, err := g.table.Begin(spec, func() *request.Request { return cl.req })
	if err != nil {
		stop()
		cl.returnTicket()
		return nil, beginProblem(err)
	}
	if !started {
		stop()
		free()
		return req, nil
	}
	g.metrics.requests.Inc(1)
	g.inflight.add()
	cl.flight = g.opts.Quarantine.Enter(cl.subjects, cl.accountHash, cancel)
	go func() {
		defer cl.flight.Leave()
		defer g.inflight.done()
		defer free()
		defer stop()
		defer cancel(nil)
		cl.run(ctx)
	}()
	return req, nil
}

// findIssued returns the request with an ID issued by a host, from this host or
// from the issuer. The request is not run: only the issuer may run it, once.
func (g *Gateway) findIssued(c caller, spec request.Spec, issuer record.HostID, free func()) (*request.Request, *problem.Problem) {
	id := spec.ID
	req, ok := g.table.Lookup(c.account.ID, id)
	if ok && req.Fingerprint != spec.Fingerprint {
		return nil, beginProblem(request.ErrIDReused)
	}
	if !ok && issuer != g.opts.Self.Host {
		req, ok = g.fetchFrom(issuer, c.account, spec)
	}
	if !ok {
		p := problem.New(http.StatusConflict, problem.CodeAnswerGone, "request ID %q was made by host %s, which does not have it or cannot be reached", id, issuer)
		return nil, p.WithOutcome(outcomeUnknown)
	}
	free()
	return req, nil
}

func beginProblem(err error) *problem.Problem {
	if errors.Is(err, request.ErrIDReused) {
		return problem.New(http.StatusUnprocessableEntity, problem.CodeIDReused, "the request ID was used for another request")
	}
	return problem.New(http.StatusServiceUnavailable, problem.CodeOverloaded, "%v", err).WithRetryAfter(overloadRetryAfter)
}

// servePlain forwards a call to a plain service.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request, c caller) {
	svc, p := plainService(c, r.PathValue("firm"), r.PathValue("service"))
	if p != nil {
		g.refuse(w, r, p)
		return
	}
	body, free, p := g.readPlainBody(w, r, c.account.ID, svc)
	if p != nil {
		g.refuse(w, r, p)
		return
	}
	defer body.detach()
	req, p := g.startPlain(r, c, svc, body, free)
	if p != nil {
		free()
		g.refuse(w, r, p)
		return
	}
	g.serve(w, r, req, 0, modeWhole)
}

func plainService(c caller, firm, name string) (*settings.Service, *problem.Problem) {
	svc, p := serviceByName(c.settings, c.account, firm+"/"+name)
	if p != nil {
		return nil, p
	}
	if svc.Kind != settings.ServicePlain {
		return nil, problem.New(http.StatusNotFound, problem.CodeUnknownService, "service %q is not a plain service", svc.Name)
	}
	return svc, nil
}

// startPlain starts a plain call or finds the one with the same ID. If it returns
// a problem, the caller of startPlain must free the body.
func (g *Gateway) startPlain(r *http.Request, c caller, svc *settings.Service, body *plainBody, free func()) (*request.Request, *problem.Problem) {
	in, p := g.readParams(r, svc)
	if p != nil {
		return nil, p
	}
	pw := &plainWork{
		method:  r.Method,
		target:  targetOf(r),
		header:  upstreamHeaders(r.Header),
		body:    body,
		timeout: orDefault(svc.IdleTimeout, defaultIdleTimeout),
	}
	spec := c.spec(in, svc)
	spec.Fingerprint = pw.fingerprint()
	req, p := g.start(c, in, svc, spec, free, func(cl *call) (work, error) {
		pw.c = cl
		cl.setSuspects(nil, body.rest == nil)
		if body.rest == nil {
			cl.buildForward = forwardBuilder(r, c, in.id, body.buffered)
		}
		return pw, nil
	})
	if p != nil {
		return nil, p.WithRequestID(in.id)
	}
	return req, nil
}

// fingerprint hashes the method, the target, the buffered part of the body and
// the length of the body.
func (p *plainWork) fingerprint() [sha256.Size]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, p.method+"\x00"+p.target+"\x00"+strconv.FormatInt(p.body.length, 10)+"\x00")
	_, _ = h.Write(p.body.buffered)
	return [sha256.Size]byte(h.Sum(nil))
}

// targetOf returns the escaped path below the service, with the query.
func targetOf(r *http.Request) string {
	path := r.URL.EscapedPath()
	for range 4 { // "", "v1", "services" and the firm
		_, path, _ = strings.Cut(path, "/")
	}
	_, path, _ = strings.Cut(path, "/") // the service
	target := "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// readPlainBody buffers the first part of a plain call's body.
func (g *Gateway) readPlainBody(w http.ResponseWriter, r *http.Request, account string, svc *settings.Service) (*plainBody, func(), *problem.Problem) {
	limit := orDefault(svc.MaxBodyBytes, defaultServiceBody)
	if r.ContentLength > limit {
		return nil, nil, tooLarge(limit)
	}
	ctrl := http.NewResponseController(w)
	source := http.MaxBytesReader(w, r.Body, limit)
	first, err := g.readWithin(w, io.LimitReader(source, g.limits.ReplayBytes), r.ContentLength, account)
	if err != nil {
		return nil, nil, bodyProblem(err, limit, g.limits.BodyTimeout)
	}
	body := &plainBody{buffered: first.data, length: r.ContentLength, ctrl: ctrl, timeout: g.limits.BodyTimeout}
	if n := int64(len(first.data)); n < g.limits.ReplayBytes {
		body.length = n
	} else {
		_ = ctrl.EnableFullDuplex()
		body.rest = source
	}
	return body, first.free, nil
}
