package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

const outcomeUnknown = record.OutcomeUnknown

// eventBytes is the first size of a reader's buffer for one event.
const eventBytes = 512

// mode is the form in which a caller wants an answer.
type mode int

const (
	// modeWhole joins the events of a stream into one answer.
	modeWhole mode = iota
	// modeEvents sends the events as they come.
	modeEvents
)

// serve sends the answer of a request, from an event on, until its end.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, req *request.Request, from uint64, m mode) {
	req.CallerReconnected()
	g.metrics.readers.Inc(1)
	defer g.metrics.readers.Dec(1)
	s := &server{g: g, w: w, req: req, cursor: req.Answer.Attach(from), mode: m}
	defer s.detach()
	w.Header().Set(problem.HeaderRequestID, req.ID)
	if !s.waitHead(r.Context()) {
		return
	}
	head, ok := s.cursor.Head()
	switch {
	case s.out != nil && (!ok || !head.Events):
		s.lateProblem()
	case !ok:
		s.problem()
	case !head.Events:
		s.body(r.Context(), head)
	case m == modeWhole:
		s.join(r.Context())
	default:
		s.events(r.Context())
	}
}

// server sends one answer to one caller.
type server struct {
	g      *Gateway
	w      http.ResponseWriter
	req    *request.Request
	cursor *stream.Cursor
	mode   mode
	// out is set once the response has become a stream of events.
	out       *stream.Writer
	event     []byte
	heartbeat *time.Timer
}

func (s *server) detach() {
	if s.heartbeat != nil {
		s.heartbeat.Stop()
	}
	if s.out != nil {
		_ = s.out.Close()
	}
	if s.cursor.Close() == 0 {
		s.req.CallerDisconnected(s.g.limits.Grace, errCallerGone)
	}
}

// waitHead waits until the answer begins or ends. A caller that wants events
// gets heartbeats meanwhile. It returns false if the caller is gone.
func (s *server) waitHead(ctx context.Context) bool {
	for {
		if _, ok := s.cursor.Head(); ok {
			return true
		}
		if _, ok := s.req.Answer.Ended(); ok {
			return true
		}
		if !s.wait(ctx) {
			return false
		}
	}
}

// wait waits until the answer changes or a heartbeat is due, and sends it. It
// returns false if the caller is gone.
func (s *server) wait(ctx context.Context) bool {
	if s.heartbeat == nil {
		s.heartbeat = time.NewTimer(s.g.limits.Heartbeat)
	} else {
		s.heartbeat.Reset(s.g.limits.Heartbeat)
	}
	select {
	case <-s.cursor.Changed():
		return true
	case <-ctx.Done():
		return false
	case <-s.heartbeat.C:
		return s.mode != modeEvents || s.ping()
	}
}

func (s *server) ping() bool {
	s.startEvents()
	return s.out.WritePing() == nil && s.out.Flush() == nil
}

// startEvents sends the head of a stream of events.
func (s *server) startEvents() {
	if s.out != nil {
		return
	}
	h := s.w.Header()
	h.Set("Content-Type", stream.ContentType)
	h.Set("Cache-Control", "no-cache")
	if end, ok := s.req.Answer.Ended(); ok {
		h.Set(problem.HeaderOutcome, end.Outcome.String())
	}
	s.out = stream.NewWriter(s.w, s.g.limits.WriteTimeout)
	s.w.WriteHeader(http.StatusOK)
}

// events sends the events of a stream.
func (s *server) events(ctx context.Context) {
	s.event = make([]byte, 0, eventBytes)
	flushed := false // the first event is not held back for others
	for {
		index := s.cursor.Index()
		var status stream.Status
		s.event, status = s.cursor.Next(s.event[:0])
		switch status {
		case stream.Available:
			s.startEvents()
			if s.out.WriteEvent(index, s.event) != nil || !flushed && s.out.Flush() != nil {
				return
			}
			flushed = true
		case stream.Pending:
			if s.out != nil && s.out.Flush() != nil {
				return
			}
			if !s.wait(ctx) {
				return
			}
		case stream.Trimmed:
			s.trimmed()
			return
		case stream.Ended:
			s.endEvents()
			return
		}
	}
}

// endEvents sends the end of a stream. The outcome of a whole answer is in its
// last event; that of a broken one is sent as an error.
func (s *server) endEvents() {
	end, _ := s.req.Answer.Ended()
	if s.out == nil && end.Problem != nil {
		s.problem()
		return
	}
	s.startEvents()
	if end.Problem != nil && s.out.WriteEvent(s.cursor.Index(), errorEvent(s.req.ID, end)) != nil {
		return
	}
	if s.out.WriteDone() == nil {
		_ = s.out.Flush()
	}
}

// lateProblem reports a problem on a response that has become a stream.
func (s *server) lateProblem() {
	end, ended := s.req.Answer.Ended()
	if !ended || end.Problem == nil {
		p := problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the upstream did not answer with a stream")
		end.Problem = p.WithOutcome(s.req.Outcome())
		end.Outcome = s.req.Outcome()
	}
	if s.out.WriteEvent(s.cursor.Index(), errorEvent(s.req.ID, end)) == nil && s.out.WriteDone() == nil {
		_ = s.out.Flush()
	}
}

// streamError is the event of a stream that ends without a whole answer. Its
// error field is what clients of the dialect look for.
type streamError struct {
	Error struct {
		Message string       `json:"message"`
		Type    string       `json:"type"`
		Code    problem.Code `json:"code"`
	} `json:"error"`
	Hazel Note `json:"hazel"`
}

func errorEvent(id string, end stream.End) []byte {
	var e streamError
	e.Error.Message = end.Problem.Detail
	e.Error.Type = "hazel_" + end.Outcome.String()
	e.Error.Code = end.Problem.Code
	e.Hazel = Note{RequestID: id, Outcome: end.Outcome.String(), Billed: end.Billed, Problem: end.Problem}
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and integers only
	}
	return data
}

// problem writes the end of a request that has no answer.
func (s *server) problem() {
	end, _ := s.req.Answer.Ended()
	p := end.Problem
	if p == nil {
		p = problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the answer is empty").WithOutcome(end.Outcome)
	}
	p.WithRequestID(s.req.ID).Write(s.w)
}

// trimmed reports that the event asked for is no longer kept.
func (s *server) trimmed() {
	p := problem.New(http.StatusGone, problem.CodeAnswerGone, "event %d of the answer is no longer kept", s.cursor.Index())
	outcome := s.req.Outcome()
	if outcome == record.OutcomePending {
		outcome = outcomeUnknown
	}
	if s.out == nil {
		p.WithOutcome(outcome).WithRequestID(s.req.ID).Write(s.w)
		return
	}
	end := stream.End{Outcome: outcome, Problem: p.WithOutcome(outcome)}
	if s.out.WriteEvent(s.cursor.Index(), errorEvent(s.req.ID, end)) == nil {
		_ = s.out.Flush()
	}
}

// body sends an answer that is not a stream of events.
func (s *server) body(ctx context.Context, head stream.Head) {
	s.mode = modeWhole // no heartbeats within a body
	h := s.w.Header()
	for name, values := range head.Header {
		h[name] = values
	}
	h.Set(problem.HeaderRequestID, s.req.ID)
	h.Set(problem.HeaderOutcome, record.OutcomeAnswered.String())
	ctrl := http.NewResponseController(s.w)
	defer func() { _ = ctrl.SetWriteDeadline(time.Time{}) }()
	started := false
	start := func() {
		if !started {
			started = true
			s.w.WriteHeader(head.Status)
		}
	}
	for {
		var status stream.Status
		s.event, status = s.cursor.Next(s.event[:0])
		switch status {
		case stream.Available:
			start()
			_ = ctrl.SetWriteDeadline(time.Now().Add(s.g.limits.WriteTimeout))
			if _, err := s.w.Write(s.event); err != nil {
				return
			}
		case stream.Pending:
			if started && ctrl.Flush() != nil {
				return
			}
			if !s.wait(ctx) {
				return
			}
		case stream.Trimmed:
			if !started {
				s.clearHeaders(head)
				s.trimmed()
				return
			}
			panic(http.ErrAbortHandler)
		case stream.Ended:
			s.endBody(head, started, start)
			return
		}
	}
}

// endBody ends a body. One that is not whole is cut, so that the caller
// notices; the outcome in its head does not count then.
func (s *server) endBody(head stream.Head, started bool, start func()) {
	end, _ := s.req.Answer.Ended()
	if end.Problem == nil {
		start()
		return
	}
	if !started {
		s.clearHeaders(head)
		s.problem()
		return
	}
	panic(http.ErrAbortHandler)
}

func (s *server) clearHeaders(head stream.Head) {
	for name := range head.Header {
		s.w.Header().Del(name)
	}
}

// serveEvents answers GET /v1/requests/{id}/events?from=N.
func (g *Gateway) serveEvents(w http.ResponseWriter, r *http.Request, c caller) {
	from := uint64(0)
	if text := r.URL.Query().Get("from"); text != "" {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			g.refuse(w, r, badRequest("from is the index of an event, not %q", text))
			return
		}
		from = n
	} else if last := r.Header.Get(HeaderLastEvent); last != "" {
		n, err := strconv.ParseUint(last, 10, 62)
		if err != nil {
			g.refuse(w, r, badRequest("%s is the index of an event, not %q", HeaderLastEvent, last))
			return
		}
		from = n + 1
	}
	g.serveKept(w, r, c, r.PathValue("id"), from)
}

// serveRest answers a repeated request that names the last event it has.
func (g *Gateway) serveRest(w http.ResponseWriter, r *http.Request, c caller, last string) {
	n, err := strconv.ParseUint(last, 10, 62)
	if err != nil {
		g.refuse(w, r, badRequest("%s is the index of an event, not %q", HeaderLastEvent, last))
		return
	}
	id := r.Header.Get(HeaderIdempotencyKey)
	if err := request.CheckID(id); err != nil {
		g.refuse(w, r, badRequest("%s goes with %s: %v", HeaderIdempotencyKey, HeaderLastEvent, err))
		return
	}
	g.serveKept(w, r, c, id, n+1)
}

// serveKept serves an answer of this host or of another.
func (g *Gateway) serveKept(w http.ResponseWriter, r *http.Request, c caller, id string, from uint64) {
	req, ok := g.table.Lookup(c.account.ID, id)
	if !ok {
		req, ok = g.fetch(r.Context(), c.account, id, from)
	}
	if !ok {
		p := problem.New(http.StatusNotFound, problem.CodeAnswerGone, "no host that answers has request %q", id)
		g.refuse(w, r, p.WithOutcome(outcomeUnknown).WithRequestID(id))
		return
	}
	g.serve(w, r, req, from, modeEvents)
}
