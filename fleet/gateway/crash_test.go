package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/standin/engine"
)

const restartTime = 3 * time.Second

// crashOn makes an engine crash when it begins to answer a prompt with a text, and start again.
func (f *fixture) crashOn(id string, e *engine.Engine, text string) {
	f.net.Kill(id, false)
	var handler http.HandlerFunc
	handler = func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body) // a request that was cut off crashes nothing
		if strings.Contains(string(data), text) {
			f.net.Kill(id, false)
			time.AfterFunc(restartTime, func() { f.serve(id, id+".test:80", handler) })
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		e.Handler().ServeHTTP(w, r)
	}
	f.serve(id, id+".test:80", handler)
}

func chatOf(id string, messages ...string) testRequest {
	var list []string
	for _, m := range messages {
		list = append(list, fmt.Sprintf(`{"role":"user","content":%q}`, m))
	}
	body := `{"model":"cut","max_tokens":4,"messages":[` + strings.Join(list, ",") + `]}`
	return testRequest{method: http.MethodPost, path: "/v1/chat/completions", id: id, body: strings.NewReader(body)}
}

// A message that different prompts share crashes each engine that begins to answer one.
func TestMessageThatCrashesEnginesIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		for i, e := range f.engines {
			f.crashOn(fmt.Sprint("e", i), e, "poison")
		}
		for round := range 3 {
			f.send(f.client, chatOf(fmt.Sprint("bad", round), "guide", "poison", fmt.Sprint("own", round)))
			time.Sleep(2 * restartTime)
			for i := range 25 {
				resp := f.send(f.client, chatOf(fmt.Sprintf("sound%d-%d", round, i), "guide", fmt.Sprint("own", i)))
				require.Equal(t, http.StatusOK, resp.StatusCode)
			}
		}
		attempts := f.gateway.metrics.attempts.Count()
		p := readProblem(t, f.send(f.client, chatOf("again", "guide", "poison", "another")))
		require.Equal(t, http.StatusServiceUnavailable, p.Status)
		require.Equal(t, "not-run", p.Outcome)
		require.Equal(t, attempts, f.gateway.metrics.attempts.Count())
		require.Equal(t, http.StatusOK, f.send(f.client, chatOf("sound", "guide", "last")).StatusCode)
		require.Zero(t, f.bank.openReservations())
	})
}
