package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

const chatPath = "/v1/chat/completions"

// milli is the unit of prices: thousandths of a budget token.
const milli = 1000

// modelWork is the work of a chat completion.
type modelWork struct {
	c         *call
	chat      *request.Chat
	body      []byte
	streaming bool
	// outputCap is the maximum number of output tokens of each choice.
	outputCap         int64
	upstreamRequestID string
	timeout           time.Duration

	// State of the current attempt.
	sequence     *stream.Sequencer
	resumable    bool
	sourceID     string
	shape        chunkShape
	tokens       int64
	usage        *stream.Usage
	closingEvent []byte
	headSent     bool
	wasCut       bool
}

func newModelWork(c *call, chat *request.Chat) (*modelWork, error) {
	m := &modelWork{c: c, chat: chat, outputCap: chat.OutputCap, upstreamRequestID: request.UpstreamID(c.req.Account, c.req.ID)}
	if m.outputCap == 0 {
		m.outputCap = int64(orDefault(c.service.MaxOutput, defaultMaxOutput))
	}
	// A caller that wants one whole answer is served from a stream too, since a
	// stream detects a silent upstream early. The exception is an answer that
	// would lose data when its events are joined.
	m.streaming = chat.Stream || chat.TextOnly()
	m.timeout = orDefault(c.service.IdleTimeout, defaultIdleTimeout)
	if !m.streaming {
		m.timeout = orDefault(c.service.RequestTimeout, defaultRequestTimeout)
	}
	body, err := chat.UpstreamBody(m.outputCap, m.streaming)
	if err != nil {
		return nil, fmt.Errorf("gateway: body for upstream: %w", err)
	}
	m.body = body
	m.restart()
	return m, nil
}

func (m *modelWork) restart() {
	m.sequence = stream.NewSequencer(0)
	m.resumable, m.headSent = false, false
	m.shape = chunkShape{}
	m.sourceID, m.closingEvent, m.usage, m.tokens = "", nil, nil, 0
}

func (m *modelWork) replayable() bool           { return true }
func (m *modelWork) idleTimeout() time.Duration { return m.timeout }
func (m *modelWork) cut() bool                  { return m.wasCut }

func (m *modelWork) query(q *dispatch.Query) {
	q.Model, q.Adapter, q.PrefixHash = m.chat.Model, m.chat.Adapter, m.chat.PrefixHash
}

func (m *modelWork) maxCost() record.Tokens {
	return price(m.c.service.Price, m.chat.PromptBound, m.maxTokens())
}

func (m *modelWork) maxTokens() int64 { return m.outputCap * m.chat.Choices }

// maxPricedTokens bounds the tokens of one request that are priced, whatever its upstream reports. It
// is more than any answer has, and its product with a price fits into 64 bits.
const maxPricedTokens = 1 << 30

// price returns the cost of tokens in budget tokens, rounded up. Numbers below zero, which only an
// upstream can report, are zero.
func price(p settings.Price, input, output int64) record.Tokens {
	input, output = min(max(0, input), maxPricedTokens), min(max(0, output), maxPricedTokens)
	return record.Tokens((input*p.InputMilli + output*p.OutputMilli + milli - 1) / milli)
}

// cost bills the usage that the upstream reported, or without a report what was
// received. An answer without any tokens costs nothing then.
func (m *modelWork) cost(record.Outcome) (record.Tokens, stream.Usage) {
	usage := stream.Usage{CompletionTokens: m.tokens}
	if m.tokens > 0 {
		usage.PromptTokens = m.chat.PromptBound
	}
	if m.usage != nil {
		usage = *m.usage
	}
	return price(m.c.service.Price, usage.PromptTokens, usage.CompletionTokens), usage
}

func (m *modelWork) newRequest(ctx context.Context, up settings.Upstream, _ *idleTimer) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(up.URL, "/")+chatPath, m.bodyReader())
	if err != nil {
		return nil, fmt.Errorf("gateway: upstream %s: %w", up.ID, err)
	}
	req.ContentLength = int64(len(m.body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(problem.HeaderRequestID, m.upstreamRequestID)
	if m.streaming {
		req.Header.Set("Accept", stream.ContentType)
	}
	if m.c.priority != 0 {
		req.Header.Set(HeaderPriority, strconv.Itoa(m.c.priority))
	}
	return req, nil
}

// bodyReader hides the type of the body from net/http, which otherwise sends some
// requests again on its own after a connection is lost.
func (m *modelWork) bodyReader() io.Reader {
	return struct{ io.Reader }{bytes.NewReader(m.body)}
}

func (m *modelWork) resumeRequest(ctx context.Context, up settings.Upstream) (*http.Request, error) {
	if !m.resumable || m.sequence.Next() == 0 {
		return nil, nil
	}
	last := m.sequence.Next() - 1
	m.sequence.Reset()
	req, err := m.newRequest(ctx, up, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderLastEvent, strconv.FormatUint(last, 10))
	return req, nil
}

func (m *modelWork) cancelRequest(ctx context.Context, up settings.Upstream) (*http.Request, error) {
	if !m.resumable {
		return nil, nil
	}
	target := strings.TrimSuffix(up.URL, "/") + "/v1/requests/" + url.PathEscape(m.upstreamRequestID)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return nil, fmt.Errorf("gateway: upstream %s: %w", up.ID, err)
	}
	return req, nil
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
