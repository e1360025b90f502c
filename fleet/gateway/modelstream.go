package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// Bounds on reading after the last event of a stream.
const (
	tailTimeout = 5 * time.Millisecond
	tailBytes   = 1 << 10
)

// maxWholeBytes bounds the answer of a model that is not a stream, in bytes.
const maxWholeBytes = 8 << 20

var (
	errGap       = errors.New("events of the upstream are missing")
	errTooLarge  = errors.New("the upstream's answer is too large")
	errNoEnd     = errors.New("the upstream's stream ended early")
	errStreamEnd = errors.New("end of stream") // internal: the answer is complete
)

// chunk has the fields of an event that the gateway reads.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content   *string         `json:"content"`
			Reasoning *string         `json:"reasoning_content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *stream.Usage `json:"usage"`
}

// tokens returns the number of choices with text in the event. Each of them has at
// least one token.
func (c *chunk) tokens() int64 {
	n := int64(0)
	for _, choice := range c.Choices {
		d := &choice.Delta
		if hasText(d.Content) || hasText(d.Reasoning) || len(d.ToolCalls) > 0 {
			n++
		}
	}
	return n
}

func hasText(s *string) bool { return s != nil && *s != "" }

// closing reports whether the event ends a choice or carries the usage.
func (c *chunk) closing() bool {
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			return true
		}
	}
	return c.Usage != nil
}

func (m *modelWork) receive(ctx context.Context, timer *idleTimer, resp *http.Response) error {
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if resp.StatusCode != http.StatusOK || kind != stream.ContentType {
		return m.receiveWhole(ctx, timer, resp)
	}
	m.resumable = resp.Header.Get(HeaderResume) == "true"
	reader := stream.NewReader(resp.Body)
	reader.OnActivity = timer.touch
	for {
		raw, err := reader.Next()
		if err == io.EOF {
			err = errNoEnd
		}
		if err != nil {
			return err
		}
		timer.markFirstByte()
		if err := m.handleEvent(ctx, timer, raw); err != nil {
			if err != errStreamEnd {
				return err
			}
			if err := m.finish(ctx, timer); err != nil {
				return err
			}
			m.readTail(timer, resp.Body)
			return nil
		}
	}
}

// readTail reads the rest of the body, which usually arrived with the last event,
// so that the connection can be reused. It waits at most tailTimeout.
func (m *modelWork) readTail(timer *idleTimer, body io.Reader) {
	if m.wasCut {
		return
	}
	timer.setIdle(tailTimeout)
	_, _ = io.CopyN(io.Discard, body, tailBytes)
}

// handleEvent applies one event of the upstream; events may arrive in any order.
func (m *modelWork) handleEvent(ctx context.Context, timer *idleTimer, raw stream.Event) error {
	if raw.Name != "" && raw.Name != "message" {
		return nil
	}
	e, err := m.decode(raw.Data)
	if err != nil {
		return err
	}
	if m.isForeign(e, raw.HasIndex) {
		m.recordDropped(raw.Index, "foreign")
		return nil
	}
	if !raw.HasIndex {
		return m.applyEvent(ctx, timer, e)
	}
	switch m.sequence.Offer(raw.Index, raw.Data) {
	case stream.Duplicate:
		m.recordDropped(raw.Index, "duplicate")
		return nil
	case stream.Held:
		return nil
	case stream.Gap:
		return errGap
	}
	err = m.applyEvent(ctx, timer, e)
	for err == nil {
		data, ok := m.sequence.Ready()
		if !ok {
			return nil
		}
		if e, err = m.decode(data); err == nil {
			err = m.applyEvent(ctx, timer, e)
		}
	}
	return err
}

// decodedEvent is an event of an upstream after decoding.
type decodedEvent struct {
	data []byte
	done bool
	// matched is true for an event of one token that matches the shape of an
	// earlier one; chunk is set for all other events but the end.
	matched bool
	chunk   *chunk
}

func (m *modelWork) decode(data []byte) (decodedEvent, error) {
	if string(data) == stream.Done {
		return decodedEvent{data: data, done: true}, nil
	}
	if m.shape.matches(data) {
		return decodedEvent{data: data, matched: true}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return decodedEvent{}, fmt.Errorf("the upstream sent an event that is not a chunk: %w", err)
	}
	return decodedEvent{data: data, chunk: &c}, nil
}

// isForeign reports whether an event belongs to another request. Events with an
// index have the request ID that the gateway sent; other events have the ID of the
// first event of their stream.
func (m *modelWork) isForeign(e decodedEvent, numbered bool) bool {
	if e.chunk == nil || e.chunk.ID == "" {
		return false
	}
	if m.sourceID == "" {
		m.sourceID = e.chunk.ID
		if numbered {
			m.sourceID = m.upstreamRequestID
		}
	}
	return e.chunk.ID != m.sourceID
}

func (m *modelWork) recordDropped(index uint64, why string) {
	m.c.g.metrics.eventsDropped.Inc(1)
	m.c.g.log.Info("Event dropped.", "request", m.c.req.ID, "index", index, "reason", why)
}

// applyEvent applies the next event in order.
func (m *modelWork) applyEvent(ctx context.Context, timer *idleTimer, e decodedEvent) error {
	if e.done {
		return errStreamEnd
	}
	if e.matched {
		return m.applyToken(ctx, timer, e.data)
	}
	c := e.chunk
	if !m.headSent {
		m.headSent = true
		m.c.g.metrics.firstEvent.Update(time.Since(m.c.req.Started).Microseconds())
		m.c.req.Answer.SetHead(stream.Head{Status: http.StatusOK, Events: true})
	}
	if c.Usage != nil {
		m.usage = c.Usage
	}
	if len(c.Choices) == 0 && m.closingEvent != nil && !m.chat.IncludeUsage {
		return nil // usage that the caller did not request
	}
	n := c.tokens()
	if m.tokens+n > m.maxTokens() {
		return m.cutAtCap()
	}
	m.tokens += n
	if err := m.flushClosing(ctx, timer); err != nil {
		return err
	}
	if c.closing() {
		// The last of these events is sent when the outcome can be added.
		m.closingEvent = append([]byte(nil), e.data...)
		return nil
	}
	if n == 1 && len(c.Choices) == 1 && hasText(c.Choices[0].Delta.Content) {
		m.shape.learn(e.data, *c.Choices[0].Delta.Content)
	}
	return m.appendEvent(ctx, timer, e.data)
}

// applyToken applies an event of one token.
func (m *modelWork) applyToken(ctx context.Context, timer *idleTimer, data []byte) error {
	if m.tokens >= m.maxTokens() {
		return m.cutAtCap()
	}
	m.tokens++
	if err := m.flushClosing(ctx, timer); err != nil {
		return err
	}
	return m.appendEvent(ctx, timer, data)
}

// cutAtCap ends an answer whose upstream exceeds the cap.
func (m *modelWork) cutAtCap() error {
	m.wasCut = true
	m.usage = nil
	m.c.g.metrics.overCap.Inc(1)
	m.c.g.log.Info("Answer cut at its cap.", "request", m.c.req.ID, "account", m.c.req.Account, "tokens", m.tokens)
	return errStreamEnd
}

func (m *modelWork) flushClosing(ctx context.Context, timer *idleTimer) error {
	if m.closingEvent == nil {
		return nil
	}
	data := m.closingEvent
	m.closingEvent = nil
	return m.appendEvent(ctx, timer, data)
}

// appendEvent appends an event to the answer. While the answer's buffer is full
// because callers read slowly, the upstream is not read and the idle timer is
// paused.
func (m *modelWork) appendEvent(ctx context.Context, timer *idleTimer, data []byte) error {
	m.c.g.metrics.eventsPassed.Inc(1)
	ok, err := m.c.req.Answer.TryAppend(data)
	if ok || err != nil {
		return err
	}
	timer.pause()
	defer timer.resume()
	return m.c.req.Answer.Append(ctx, data)
}

// StreamResult is the "hazel" field in the last event of a stream.
type StreamResult struct {
	RequestID string        `json:"request_id"`
	Outcome   string        `json:"outcome"`
	Billed    record.Tokens `json:"billed"`
	// Cut is true if the answer was cut at the reserved cap.
	Cut     bool             `json:"cut,omitempty"`
	Problem *problem.Problem `json:"problem,omitempty"`
}

// finish bills the answer and sends the last event, which has the outcome.
func (m *modelWork) finish(ctx context.Context, timer *idleTimer) error {
	if m.sequence.Pending() > 0 && !m.wasCut {
		return errGap
	}
	cost, _ := m.cost(record.OutcomeAnswered)
	result := StreamResult{RequestID: m.c.req.ID, Outcome: record.OutcomeAnswered.String(), Billed: min(cost, m.maxCost()), Cut: m.wasCut}
	last := m.closingEvent
	if last == nil || m.wasCut {
		last = m.closingChunk()
	}
	if !m.headSent {
		return errNoEnd
	}
	data, err := withResult(last, result)
	if err != nil {
		return err
	}
	m.c.billAndWait(timer, cost)
	return m.appendEvent(ctx, timer, data)
}

// closingChunk builds the last event for an upstream that sent none.
func (m *modelWork) closingChunk() []byte {
	reason := "stop"
	if m.wasCut {
		reason = "length"
	}
	model, _ := json.Marshal(m.chat.Model)
	id, _ := json.Marshal(m.upstreamRequestID)
	var choices bytes.Buffer
	for i := range m.chat.Choices {
		if i > 0 {
			choices.WriteByte(',')
		}
		fmt.Fprintf(&choices, `{"index":%d,"delta":{},"finish_reason":%q}`, i, reason)
	}
	return fmt.Appendf(nil, `{"id":%s,"object":"chat.completion.chunk","created":%d,"model":%s,"choices":[%s]}`,
		id, m.c.req.Started.Unix(), model, choices.Bytes())
}

// withResult adds the "hazel" field to a JSON object.
func withResult(object []byte, result StreamResult) ([]byte, error) {
	field, err := json.Marshal(result)
	if err != nil {
		return nil, fmt.Errorf("gateway: encode note: %w", err)
	}
	object = bytes.TrimRight(object, " \t\r\n")
	out := append([]byte(nil), object[:len(object)-1]...)
	out = append(out, `,"hazel":`...)
	out = append(out, field...)
	return append(out, '}'), nil
}

// receiveWhole receives an answer that is not a stream.
func (m *modelWork) receiveWhole(ctx context.Context, timer *idleTimer, resp *http.Response) error {
	timer.markFirstByte()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxWholeBytes {
		return errTooLarge
	}
	var c chunk
	if resp.StatusCode == http.StatusOK && json.Unmarshal(body, &c) == nil {
		m.usage = c.Usage
	}
	cost, _ := m.cost(record.OutcomeAnswered)
	m.c.billAndWait(timer, cost)
	m.c.req.Answer.SetHead(stream.Head{Status: resp.StatusCode, Header: endToEnd(resp.Header)})
	return appendBody(ctx, timer, m.c.req.Answer, body)
}
