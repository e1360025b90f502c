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

// eventBufferBytes is the initial size of the buffer for one event.
const eventBufferBytes = 512

// mode is the form in which a caller gets an answer.
type mode int

const (
	// modeWhole joins the events of a stream into one answer.
	modeWhole mode = iota
	// modeEvents sends each event when it arrives.
	modeEvents
)

// serve sends the answer of a request to a caller, starting at event from.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, req *request.Request, from uint64, m mode) {
	req.CallerReconnected()
	g.metrics.readers.Inc(1)
	defer g.metrics.readers.Dec(1)
	aw := &answerWriter{g: g, w: w, req: req, cursor: req.Answer.Attach(from), mode: m}
	defer aw.detach()
	w.Header().Set(problem.HeaderRequestID, req.ID)
	if !aw.waitHead(r.Context()) {
		return
	}
	head, ok := aw.cursor.Head()
	switch {
	case aw.out != nil && (!ok || !head.Events):
		aw.writeProblemEvent()
	case !ok:
		aw.writeProblem()
	case !head.Events:
		aw.writeBody(r.Context(), head)
	case m == modeWhole:
		aw.writeJoined(r.Context())
	default:
		aw.writeEvents(r.Context())
	}
}

// answerWriter sends one answer to one caller.
type answerWriter struct {
	g      *Gateway
	w      http.ResponseWriter
	req    *request.Request
	cursor *stream.Cursor
	mode   mode
	// out is set once the response is a stream of events.
	out       *stream.Writer
	event     []byte
	heartbeat *time.Timer
}

func (aw *answerWriter) detach() {
	if aw.heartbeat != nil {
		aw.heartbeat.Stop()
	}
	if aw.out != nil {
		_ = aw.out.Close()
	}
	if aw.cursor.Close() == 0 {
		aw.req.CallerDisconnected(aw.g.limits.Grace, errCallerDisconnected)
	}
}

// waitHead waits until the answer starts or ends. A caller of a stream gets
// heartbeats meanwhile. It returns false if the caller has disconnected.
func (aw *answerWriter) waitHead(ctx context.Context) bool {
	for {
		if _, ok := aw.cursor.Head(); ok {
			return true
		}
		if _, ok := aw.req.Answer.Ended(); ok {
			return true
		}
		if !aw.wait(ctx) {
			return false
		}
	}
}

// wait waits until the answer changes or a heartbeat is due, which it sends. It
// returns false if the caller has disconnected.
func (aw *answerWriter) wait(ctx context.Context) bool {
	if aw.heartbeat == nil {
		aw.heartbeat = time.NewTimer(aw.g.limits.Heartbeat)
	} else {
		aw.heartbeat.Reset(aw.g.limits.Heartbeat)
	}
	select {
	case <-aw.cursor.Changed():
		return true
	case <-ctx.Done():
		return false
	case <-aw.heartbeat.C:
		return aw.mode != modeEvents || aw.ping()
	}
}

func (aw *answerWriter) ping() bool {
	aw.startEvents()
	return aw.out.WritePing() == nil && aw.out.Flush() == nil
}

// startEvents sends the response head of a stream of events.
func (aw *answerWriter) startEvents() {
	if aw.out != nil {
		return
	}
	h := aw.w.Header()
	h.Set("Content-Type", stream.ContentType)
	h.Set("Cache-Control", "no-cache")
	if end, ok := aw.req.Answer.Ended(); ok {
		h.Set(problem.HeaderOutcome, end.Outcome.String())
	}
	aw.out = stream.NewWriter(aw.w, aw.g.limits.WriteTimeout)
	aw.w.WriteHeader(http.StatusOK)
}

// writeEvents sends the events of a stream.
func (aw *answerWriter) writeEvents(ctx context.Context) {
	aw.event = make([]byte, 0, eventBufferBytes)
	flushed := false // the first event is sent without waiting for more
	for {
		index := aw.cursor.Index()
		var status stream.Status
		aw.event, status = aw.cursor.Next(aw.event[:0])
		switch status {
		case stream.Available:
			aw.startEvents()
			if aw.out.WriteEvent(index, aw.event) != nil || !flushed && aw.out.Flush() != nil {
				return
			}
			flushed = true
		case stream.Pending:
			if aw.out != nil && aw.out.Flush() != nil {
				return
			}
			if !aw.wait(ctx) {
				return
			}
		case stream.Trimmed:
			aw.writeTrimmed()
			return
		case stream.Ended:
			aw.endEvents()
			return
		}
	}
}

// endEvents ends a stream. The last event of a complete answer has its outcome;
// the outcome of an incomplete one is sent as an error event.
func (aw *answerWriter) endEvents() {
	end, _ := aw.req.Answer.Ended()
	if aw.out == nil && end.Problem != nil {
		aw.writeProblem()
		return
	}
	aw.startEvents()
	if end.Problem != nil && aw.out.WriteEvent(aw.cursor.Index(), errorEvent(aw.req.ID, end)) != nil {
		return
	}
	if aw.out.WriteDone() == nil {
		_ = aw.out.Flush()
	}
}

// writeProblemEvent reports a problem on a response that is already a stream of
// events.
func (aw *answerWriter) writeProblemEvent() {
	end, ended := aw.req.Answer.Ended()
	if !ended || end.Problem == nil {
		p := problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the upstream did not answer with a stream")
		end.Problem = p.WithOutcome(aw.req.Outcome())
		end.Outcome = aw.req.Outcome()
	}
	if aw.out.WriteEvent(aw.cursor.Index(), errorEvent(aw.req.ID, end)) == nil && aw.out.WriteDone() == nil {
		_ = aw.out.Flush()
	}
}

// streamError is the last event of a stream whose answer is not complete. Clients
// of the chat completions API look for its error field.
type streamError struct {
	Error struct {
		Message string       `json:"message"`
		Type    string       `json:"type"`
		Code    problem.Code `json:"code"`
	} `json:"error"`
	Hazel StreamResult `json:"hazel"`
}

func errorEvent(id string, end stream.End) []byte {
	var e streamError
	e.Error.Message = end.Problem.Detail
	e.Error.Type = "hazel_" + end.Outcome.String()
	e.Error.Code = end.Problem.Code
	e.Hazel = StreamResult{RequestID: id, Outcome: end.Outcome.String(), Billed: end.Billed, Problem: end.Problem}
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and integers only
	}
	return data
}

// writeProblem writes the problem of a request that has no answer.
func (aw *answerWriter) writeProblem() {
	end, _ := aw.req.Answer.Ended()
	p := end.Problem
	if p == nil {
		p = problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the answer is empty").WithOutcome(end.Outcome)
	}
	p.WithRequestID(aw.req.ID).Write(aw.w)
}

// writeTrimmed reports that the requested event is no longer kept.
func (aw *answerWriter) writeTrimmed() {
	p := problem.New(http.StatusGone, problem.CodeAnswerGone, "event %d of the answer is no longer kept", aw.cursor.Index())
	outcome := aw.req.Outcome()
	if outcome == record.OutcomePending {
		outcome = outcomeUnknown
	}
	if aw.out == nil {
		p.WithOutcome(outcome).WithRequestID(aw.req.ID).Write(aw.w)
		return
	}
	end := stream.End{Outcome: outcome, Problem: p.WithOutcome(outcome)}
	if aw.out.WriteEvent(aw.cursor.Index(), errorEvent(aw.req.ID, end)) == nil {
		_ = aw.out.Flush()
	}
}

// writeBody sends an answer that is not a stream of events.
func (aw *answerWriter) writeBody(ctx context.Context, head stream.Head) {
	aw.mode = modeWhole // no heartbeats within a body
	h := aw.w.Header()
	for name, values := range head.Header {
		h[name] = values
	}
	h.Set(problem.HeaderRequestID, aw.req.ID)
	h.Set(problem.HeaderOutcome, record.OutcomeAnswered.String())
	ctrl := http.NewResponseController(aw.w)
	defer func() { _ = ctrl.SetWriteDeadline(time.Time{}) }()
	started := false
	start := func() {
		if !started {
			started = true
			aw.w.WriteHeader(head.Status)
		}
	}
	for {
		var status stream.Status
		aw.event, status = aw.cursor.Next(aw.event[:0])
		switch status {
		case stream.Available:
			start()
			_ = ctrl.SetWriteDeadline(time.Now().Add(aw.g.limits.WriteTimeout))
			if _, err := aw.w.Write(aw.event); err != nil {
				return
			}
		case stream.Pending:
			if started && ctrl.Flush() != nil {
				return
			}
			if !aw.wait(ctx) {
				return
			}
		case stream.Trimmed:
			if !started {
				aw.clearHeaders(head)
				aw.writeTrimmed()
				return
			}
			panic(http.ErrAbortHandler)
		case stream.Ended:
			aw.endBody(head, started, start)
			return
		}
	}
}

// endBody ends a body. It aborts the connection of an incomplete one, so that the
// caller detects it; the outcome in the head is not valid then.
func (aw *answerWriter) endBody(head stream.Head, started bool, start func()) {
	end, _ := aw.req.Answer.Ended()
	if end.Problem == nil {
		start()
		return
	}
	if !started {
		aw.clearHeaders(head)
		aw.writeProblem()
		return
	}
	panic(http.ErrAbortHandler)
}

func (aw *answerWriter) clearHeaders(head stream.Head) {
	for name := range head.Header {
		aw.w.Header().Del(name)
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

// serveResume answers a repeated request that names the last event it received.
func (g *Gateway) serveResume(w http.ResponseWriter, r *http.Request, c caller, last string) {
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

// serveKept serves an answer that this host or another one keeps.
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
