package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/standin/engine"
)

func TestBadInput(t *testing.T) {
	withHeader := func(s testRequest, name, value string) testRequest {
		s.header = map[string]string{name: value}
		return s
	}
	withKey := func(s testRequest, key string) testRequest {
		s.key = key
		return s
	}
	good := chatBody("1", true)
	field := func(f string) string { return strings.Replace(good, `"stream"`, f+`,"stream"`, 1) }
	cases := []struct {
		name   string
		sent   testRequest
		status int
		code   problem.Code
	}{
		{"no key", withKey(chat("", good), "none"), 401, problem.CodeUnauthorized},
		{"unknown key", withKey(chat("", good), "guess"), 401, problem.CodeUnauthorized},
		{"long key", withKey(chat("", good), strings.Repeat("k", 600)), 401, problem.CodeUnauthorized},
		{"no path", testRequest{method: "GET", path: "/v2"}, 404, problem.CodeNotFound},
		{"bad JSON", chat("", `{"model":`), 400, problem.CodeBadRequest},
		{"empty body", chat("", ""), 400, problem.CodeBadRequest},
		{"null", chat("", "null"), 400, problem.CodeBadRequest},
		{"array", chat("", "[]"), 400, problem.CodeBadRequest},
		{"no messages", chat("", `{"model":"cut"}`), 400, problem.CodeBadRequest},
		{"unknown model", chat("", strings.Replace(good, `"cut"`, `"other"`, 1)), 404, problem.CodeUnknownModel},
		{"unknown adapter", chat("", strings.Replace(good, `"cut"`, `"cut:slate"`, 1)), 404, problem.CodeUnknownModel},
		{"model of another firm", chat("", strings.Replace(good, `"cut"`, `"draft"`, 1)), 404, problem.CodeUnknownModel},
		{"negative cap", chat("", field(`"max_tokens":-1`)), 400, problem.CodeBadRequest},
		{"zero cap", chat("", field(`"max_tokens":0`)), 400, problem.CodeBadRequest},
		{"absurd cap", chat("", field(`"max_completion_tokens":1e18`)), 400, problem.CodeBadRequest},
		{"cap of another type", chat("", field(`"max_tokens":"10"`)), 400, problem.CodeBadRequest},
		{"fractional cap", chat("", field(`"max_tokens":1.5`)), 400, problem.CodeBadRequest},
		{"many choices", chat("", field(`"n":1000`)), 400, problem.CodeBadRequest},
		{"best of", chat("", field(`"best_of":5`)), 400, problem.CodeBadRequest},
		{"body above the service's limit", chat("", field(`"x":"`+strings.Repeat("x", 70<<10)+`"`)), 413, problem.CodeBodyTooLarge},
		{"body above the host's limit", chat("", field(`"x":"`+strings.Repeat("x", 300<<10)+`"`)), 413, problem.CodeBodyTooLarge},
		{"bad request ID", chat("a b", good), 400, problem.CodeBadRequest},
		{"long request ID", chat(strings.Repeat("i", 200), good), 400, problem.CodeBadRequest},
		{"bad repeatable", withHeader(chat("", good), HeaderRepeatable, "maybe"), 400, problem.CodeBadRequest},
		{"bad priority", withHeader(chat("", good), HeaderPriority, "1000"), 400, problem.CodeBadRequest},
		{"bad deadline", withHeader(chat("", good), HeaderDeadline, "-5"), 400, problem.CodeBadRequest},
		{"unknown service", withHeader(chat("", good), HeaderService, "nowhere"), 404, problem.CodeUnknownService},
		{"service without the model", withHeader(chat("", good), HeaderService, "booking"), 404, problem.CodeUnknownModel},
		{"plain call of a model service", testRequest{method: "GET", path: "/v1/services/mokoena/model/x"}, 404, problem.CodeUnknownService},
		{"plain call of another firm", testRequest{method: "GET", path: "/v1/services/tensilix/model/x"}, 404, problem.CodeUnknownService},
		{"plain body above the limit", book("", strings.Repeat("x", 300<<10)), 413, problem.CodeBodyTooLarge},
		{"bad event index", testRequest{method: "GET", path: "/v1/requests/r1/events?from=-1"}, 400, problem.CodeBadRequest},
		{"bad last event", withHeader(chat("r1", good), HeaderLastEvent, "x"), 400, problem.CodeBadRequest},
		{"last event without an ID", withHeader(chat("", good), HeaderLastEvent, "3"), 400, problem.CodeBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{}, Limits{BodyBytes: 256 << 10})
				p := readProblem(t, f.send(f.client, c.sent))
				require.Equal(t, c.status, p.Status, p.Detail)
				require.Equal(t, "not-run", p.Outcome)
				require.True(t, strings.HasSuffix(p.Type, string(c.code)), p.Type)
				require.Zero(t, f.bank.openReservations())
				require.Empty(t, f.picker.queries)
				require.Zero(t, f.gateway.Running())
				require.Zero(t, f.gateway.bodies.budget.Held(), "body bytes are released")
			})
		})
	}
}

func TestAllFaultsOfABodyAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		p := readProblem(t, f.send(f.client, chat("", `{"max_tokens":-1,"n":0,"stream":3,"messages":[{}]}`)))
		for _, path := range []string{"model", "max_tokens", "n:", "stream", "messages/0/role"} {
			require.Contains(t, p.Detail, path)
		}
	})
}

// rawExchange writes to a new connection and returns the reply and the time until
// the connection was closed.
func (f *fixture) rawExchange(write func(net.Conn)) (string, time.Duration) {
	began := time.Now()
	conn, err := f.net.Dialer("caller")(context.Background(), "tcp", "10.0.0.1:80")
	require.NoError(f.t, err)
	defer conn.Close()
	go write(conn)
	reply, _ := io.ReadAll(bufio.NewReader(conn))
	return string(reply), time.Since(began)
}

func TestSlowHeadersAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		_, took := f.rawExchange(func(c net.Conn) {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n")
			for i := range 1000 {
				if _, err := fmt.Fprintf(c, "X-%d: 1\r\n", i); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		})
		require.Equal(t, readHeaderTimeout, took)
	})
}

func TestLargeHeadersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		reply, _ := f.rawExchange(func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Large: %s\r\n\r\n", strings.Repeat("x", 64<<10))
		})
		require.Contains(t, reply, "431")
	})
}

func TestBodyThatNeverEnds(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/services/mokoena/booking/slabs"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{}, Limits{BodyTimeout: 4 * time.Second})
				reply, took := f.rawExchange(func(c net.Conn) {
					_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n", path, testKey)
					for {
						if _, err := c.Write([]byte("x")); err != nil {
							return
						}
						time.Sleep(500 * time.Millisecond)
					}
				})
				require.Contains(t, reply, "408")
				require.Contains(t, reply, `"outcome":"not-run"`)
				require.Less(t, took, 5*time.Second)
				require.Zero(t, f.gateway.bodies.budget.Held())
			})
		})
	}
}

func TestTooManyBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{BodiesBytes: 100})
		p := readProblem(t, f.send(f.client, chat("", chatBody("1", true)+strings.Repeat(" ", 100))))
		require.Equal(t, http.StatusServiceUnavailable, p.Status)
		require.NotZero(t, p.RetryAfter)
	})
}

func TestTooManyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{Running: 1})
		f.send(f.client, chat("r1", chatBody("5", true)))
		p := readProblem(t, f.send(f.client, chat("r2", chatBody("5", true))))
		require.Equal(t, http.StatusServiceUnavailable, p.Status)
		require.Equal(t, "not-run", p.Outcome)
		require.NotZero(t, p.RetryAfter)
	})
}

func TestNotReadyWithoutSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		_, client := f.host("h1", "10.0.0.2:80", func(o *Options) { o.Settings = fakeSource{} }, Limits{})
		p := readProblem(t, f.send(client, chat("r1", chatBody("5", true))))
		require.Equal(t, http.StatusServiceUnavailable, p.Status)
		require.Equal(t, "not-run", p.Outcome)
	})
}

func TestCallerThatStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Millisecond}, Limits{WriteTimeout: 2 * time.Second, Grace: time.Second})
		body := strings.Replace(chatBody("3000", true), `"stream"`, `"max_tokens":3000,"stream"`, 1)
		f.send(f.client, chat("r1", body))
		time.Sleep(30 * time.Second)
		require.Zero(t, f.gateway.Running())
		require.Zero(t, f.gateway.metrics.readers.Count())
		require.LessOrEqual(t, f.gateway.table.FindByID("r1")[0].Answer.Bytes(), f.gateway.limits.AnswerBytes)
		require.Len(t, f.bank.spent(testAccount, "r1"), 1)
	})
}

func TestModelListIsLimitedToTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		body := readBody(t, f.send(f.client, testRequest{method: "GET", path: "/v1/models"}))
		require.Contains(t, body, `"cut:stone"`)
		require.NotContains(t, body, "draft")
	})
}

func TestRequestKeepsItsInitialSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{})
		source := &changingSource{set: f.set}
		_, client := f.host("h1", "10.0.0.2:80", func(o *Options) { o.Settings = source }, Limits{})
		resp := f.send(client, chat("r1", chatBody("5", true)))
		source.set = &settings.Resolved{}
		source.set.Index()
		got := readEvents(t, resp, 0)
		got.requireComplete(t, 0)
		require.Equal(t, http.StatusUnauthorized, f.send(client, chat("r2", chatBody("5", true))).StatusCode)
	})
}

type changingSource struct{ set *settings.Resolved }

func (s *changingSource) Current() *settings.Resolved { return s.set }
