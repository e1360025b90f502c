package gateway

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

const (
	// eventsHeader marks an answer that is a stream of events.
	eventsHeader = "Hazel-Events"
	// fingerprintHeader is the fingerprint of the request in hexadecimal.
	fingerprintHeader = "Hazel-Fingerprint"
	// valueSeparator separates the values of one header. No value contains it.
	valueSeparator = "\n"
	// maxMissedHeartbeats is the number of heartbeat intervals without a message
	// after which a peer counts as lost.
	maxMissedHeartbeats = 3
)

// endMessage is the end of an answer as hosts send it to each other.
type endMessage struct {
	Problem *problem.Problem `json:"problem,omitempty"`
	Code    problem.Code     `json:"code,omitempty"`
	Usage   stream.Usage     `json:"usage"`
	Billed  record.Tokens    `json:"billed"`
	Cut     bool             `json:"cut,omitempty"`
}

// Answer serves a kept answer to another host. The first message is sent at once,
// so that the other host knows that the request is here.
func (g *Gateway) Answer(ctx context.Context, r *connect.Request[peerpb.AnswerRequest], out *connect.ServerStream[peerpb.AnswerEvent]) error {
	req, ok := g.table.Lookup(r.Msg.GetAccount(), r.Msg.GetRequestId())
	if !ok {
		return connect.NewError(connect.CodeNotFound, errors.New("the request is not known here"))
	}
	if err := out.Send(&peerpb.AnswerEvent{Index: r.Msg.GetFrom()}); err != nil {
		return err
	}
	return g.serveAnswer(ctx, req, r.Msg.GetFrom(), out)
}

// serveAnswer sends an answer to another host, starting at event from.
func (g *Gateway) serveAnswer(ctx context.Context, req *request.Request, from uint64, out *connect.ServerStream[peerpb.AnswerEvent]) error {
	g.inflight.add()
	defer g.inflight.done()
	req.CallerReconnected()
	cursor := req.Answer.Attach(from)
	defer func() {
		if cursor.Close() == 0 {
			req.CallerDisconnected(g.limits.Grace, errCallerDisconnected)
		}
	}()
	return g.sendAnswer(ctx, req, cursor, out)
}

func (g *Gateway) sendAnswer(ctx context.Context, req *request.Request, cursor *stream.Cursor, out *connect.ServerStream[peerpb.AnswerEvent]) error {
	headSent := false
	for {
		if head, ok := cursor.Head(); ok && !headSent {
			headSent = true
			if err := out.Send(headMessage(cursor.Index(), head, req)); err != nil {
				return err
			}
		}
		index := cursor.Index()
		data, status := cursor.Next(nil)
		var err error
		switch status {
		case stream.Available:
			err = out.Send(&peerpb.AnswerEvent{Index: index, Data: data})
		case stream.Trimmed:
			return connect.NewError(connect.CodeOutOfRange, errors.New("the event is no longer kept"))
		case stream.Ended:
			end, _ := req.Answer.Ended()
			return out.Send(lastMessage(index, end))
		case stream.Pending:
			err = g.awaitChange(ctx, cursor, out)
		}
		if err != nil {
			return err
		}
	}
}

func (g *Gateway) awaitChange(ctx context.Context, cursor *stream.Cursor, out *connect.ServerStream[peerpb.AnswerEvent]) error {
	timer := time.NewTimer(g.limits.Heartbeat)
	defer timer.Stop()
	select {
	case <-cursor.Changed():
		return nil
	case <-timer.C:
		return out.Send(&peerpb.AnswerEvent{Index: cursor.Index()})
	case <-ctx.Done():
		return ctx.Err()
	}
}

func headMessage(index uint64, head stream.Head, req *request.Request) *peerpb.AnswerEvent {
	m := &peerpb.AnswerEvent{Index: index, Status: int32(head.Status), Header: make(map[string]string, len(head.Header)+1)}
	for name, values := range head.Header {
		m.Header[name] = strings.Join(values, valueSeparator)
	}
	if head.Events {
		m.Header[eventsHeader] = "true"
	}
	m.Header[fingerprintHeader] = hex.EncodeToString(req.Fingerprint[:])
	return m
}

func headOf(m *peerpb.AnswerEvent) stream.Head {
	head := stream.Head{Status: int(m.GetStatus()), Header: make(http.Header, len(m.GetHeader()))}
	for name, joined := range m.GetHeader() {
		switch name {
		case eventsHeader:
			head.Events = true
		case fingerprintHeader: // checked by the relay
		default:
			head.Header[name] = strings.Split(joined, valueSeparator)
		}
	}
	return head
}

func lastMessage(index uint64, end stream.End) *peerpb.AnswerEvent {
	m := endMessage{Problem: end.Problem, Usage: end.Usage, Billed: end.Billed, Cut: end.Cut}
	if end.Problem != nil {
		m.Code = end.Problem.Code
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and integers only
	}
	return &peerpb.AnswerEvent{Index: index, Last: true, Outcome: end.Outcome.String(), Data: data}
}

func endOf(m *peerpb.AnswerEvent) stream.End {
	var e endMessage
	if err := json.Unmarshal(m.GetData(), &e); err != nil {
		return peerLost(err)
	}
	if e.Problem != nil {
		e.Problem.Code = e.Code
	}
	return stream.End{Outcome: outcomeOf(m.GetOutcome()), Problem: e.Problem, Usage: e.Usage, Billed: e.Billed, Cut: e.Cut}
}

func outcomeOf(text string) record.Outcome {
	for _, o := range []record.Outcome{record.OutcomeAnswered, record.OutcomeNotRun} {
		if o.String() == text {
			return o
		}
	}
	return record.OutcomeUnknown
}

func peerLost(err error) stream.End {
	p := problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the host that has the answer was lost: %v", err)
	return stream.End{Outcome: record.OutcomeUnknown, Problem: p.WithOutcome(record.OutcomeUnknown)}
}
