package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func post(t *testing.T, e *Engine, id, lastEvent, body string) *http.Response {
	t.Helper()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(HeaderRequestID, id)
	if lastEvent != "" {
		request.Header.Set("Last-Event-ID", lastEvent)
	}
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

const streamBody = `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"tokens=5"}]}`

func TestStreamIsIndexedAndCapped(t *testing.T) {
	e := New(Options{Models: []string{"m"}})
	response := post(t, e, "r1", "", streamBody)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	text := string(body)
	require.Contains(t, text, "id: 2\n")
	require.Contains(t, text, `"content":"r1#2 "`)
	require.NotContains(t, text, "r1#3")
	require.Contains(t, text, `"finish_reason":"length"`)
	require.True(t, strings.HasSuffix(text, "id: 4\ndata: [DONE]\n\n"))
	require.Equal(t, 3, e.Runs()[0].OutputTokens)
}

func TestResumeSendsTheRest(t *testing.T) {
	e := New(Options{Models: []string{"m"}})
	e.SetFaults(Faults{DropAfter: 2})
	response := post(t, e, "r1", "", streamBody)
	_, err := io.ReadAll(response.Body)
	require.Error(t, err)
	e.SetFaults(Faults{})
	response = post(t, e, "r1", "1", streamBody)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(body), "id: 2\n"))
	require.Equal(t, 1, e.Runs()[0].Starts)
}

func TestUnknownModelIsNotStarted(t *testing.T) {
	e := New(Options{Models: []string{"other"}})
	response := post(t, e, "r1", "", streamBody)
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	require.Equal(t, "true", response.Header.Get(HeaderNotStarted))
	require.Empty(t, e.Runs())
}

func TestCancelStopsTheRun(t *testing.T) {
	e := New(Options{Models: []string{"m"}, TokenInterval: time.Hour})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	j, ok := e.start("r1", completionRequest{Model: "m"})
	require.True(t, ok)
	request, err := http.NewRequest(http.MethodDelete, server.URL+"/v1/requests/r1", nil)
	require.NoError(t, err)
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.True(t, j.waitDone(t.Context()))
	require.Equal(t, reasonCancelled, j.finishReason())
}

func TestOldFencingNumberIsRefused(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := New(Options{ChecksFencing: checks})
		for _, fencing := range []string{"7", "5"} {
			request := httptest.NewRequest(http.MethodPut, "/v1/placement", strings.NewReader(`{"models":["m`+fencing+`"],"fencing":`+fencing+`}`))
			e.Handler().ServeHTTP(httptest.NewRecorder(), request)
		}
		require.Equal(t, checks, e.serves("m7"))
	}
}
