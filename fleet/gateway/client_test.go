package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
	"github.com/hazelworks/hazelworks/standin/engine"
)

// testRequest is a request that a test sends.
type testRequest struct {
	method string
	path   string
	key    string
	id     string
	body   io.Reader
	header map[string]string
}

func chatBody(tokens string, streams bool) string {
	return `{"model":"cut","stream":` + map[bool]string{true: "true", false: "false"}[streams] +
		`,"messages":[{"role":"user","content":"tokens=` + tokens + `"}]}`
}

func chat(id, body string) testRequest {
	return testRequest{method: http.MethodPost, path: "/v1/chat/completions", id: id, body: strings.NewReader(body)}
}

func book(id, body string) testRequest {
	return testRequest{method: http.MethodPost, path: "/v1/services/mokoena/booking/slabs", id: id, body: strings.NewReader(body)}
}

func (f *fixture) send(client *http.Client, s testRequest) *http.Response {
	f.t.Helper()
	return f.sendCtx(f.t.Context(), client, s)
}

func (f *fixture) sendCtx(ctx context.Context, client *http.Client, s testRequest) *http.Response {
	f.t.Helper()
	resp, err := f.trySend(ctx, client, s)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (f *fixture) trySend(ctx context.Context, client *http.Client, s testRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, s.method, "http://host.test"+s.path, s.body)
	require.NoError(f.t, err)
	key := testKey
	if s.key != "" {
		key = s.key
	}
	if key != "none" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if s.id != "" {
		req.Header.Set(HeaderIdempotencyKey, s.id)
	}
	for name, value := range s.header {
		req.Header.Set(name, value)
	}
	return client.Do(req)
}

func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	_ = resp.Body.Close()
	return string(body)
}

// readProblem checks that a response is a problem and returns it.
func readProblem(t *testing.T, resp *http.Response) problem.Problem {
	t.Helper()
	body := readBody(t, resp)
	require.Equal(t, problem.ContentType, resp.Header.Get("Content-Type"), body)
	var p problem.Problem
	require.NoError(t, json.Unmarshal([]byte(body), &p))
	require.Equal(t, resp.StatusCode, p.Status)
	require.Equal(t, resp.Header.Get(problem.HeaderOutcome), p.Outcome)
	return p
}

// receivedEvents is the part of a stream that a caller received.
type receivedEvents struct {
	text    string
	indexes []uint64
	note    StreamResult
	err     *streamError
	done    bool
}

// readEvents reads a stream until it ends, or limit events if limit is above 0.
func readEvents(t *testing.T, resp *http.Response, limit int) receivedEvents {
	t.Helper()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, stream.ContentType, resp.Header.Get("Content-Type"))
	r := stream.NewReader(resp.Body)
	var got receivedEvents
	for limit <= 0 || len(got.indexes) < limit {
		msg, err := r.Next()
		if err != nil {
			break
		}
		if string(msg.Data) == stream.Done {
			got.done = true
			break
		}
		require.True(t, msg.HasIndex)
		got.indexes = append(got.indexes, msg.Index)
		got.add(t, msg.Data)
	}
	return got
}

func (e *receivedEvents) add(t *testing.T, data []byte) {
	var c joinedChunk
	require.NoError(t, json.Unmarshal(data, &c))
	for _, choice := range c.Choices {
		e.text += choice.Delta.Content
	}
	var failed streamError
	require.NoError(t, json.Unmarshal(data, &failed))
	if failed.Error.Type != "" {
		e.err = &failed
	}
	if len(c.Hazel) > 0 {
		require.NoError(t, json.Unmarshal(c.Hazel, &e.note))
	}
}

// requireComplete checks that the stream ended without an error and that it has
// every event starting at index from, once and in order.
func (e *receivedEvents) requireComplete(t *testing.T, from uint64) {
	t.Helper()
	for i, index := range e.indexes {
		require.Equal(t, from+uint64(i), index)
	}
	require.True(t, e.done)
	require.Nil(t, e.err)
}

// answerText returns the text of an engine's tokens with indexes in [from, to).
func answerText(account, id string, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(engine.TokenText(request.UpstreamID(account, id), i))
	}
	return text.String()
}
