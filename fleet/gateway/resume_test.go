package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/memnet"
)

func TestBrokenUpstreamStreams(t *testing.T) {
	cases := []struct {
		name   string
		faults engine.Faults
	}{
		{"connection lost every 3 events", engine.Faults{DropAfter: 3}},
		{"silent after every 4 events", engine.Faults{HangAfter: 4}},
		{"duplicates", engine.Faults{Duplicate: true}},
		{"events of another request", engine.Faults{Foreign: true}},
		{"all together", engine.Faults{DropAfter: 5, Duplicate: true, Foreign: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{TokenInterval: time.Millisecond}, Limits{})
				f.engines[0].SetFaults(c.faults)
				got := readEvents(t, f.send(f.client, chat("r1", chatBody("20", true))), 0)
				got.requireComplete(t, 0)
				require.Equal(t, answerText(testAccount, "r1", 0, 20), got.text)
				runs := f.engines[0].Runs()
				require.Len(t, runs, 1)
				require.Equal(t, 1, runs[0].Starts)
				require.Empty(t, f.engines[1].Runs())
				synctest.Wait()
				require.Len(t, f.bank.spent(testAccount, "r1"), 1)
			})
		})
	}
}

// scriptedUpstream returns an upstream that sends the given events.
func scriptedUpstream(header map[string]string, script ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for name, value := range header {
			w.Header().Set(name, value)
		}
		id := r.Header.Get("Hazel-Request-Id")
		for _, event := range script {
			_, _ = io.WriteString(w, strings.ReplaceAll(event, "ID", id))
		}
	})
}

func tokenEvent(index int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"ID\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", index, text)
}

func doneEvent(index int) string { return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", index) }

// modelFixture replaces both engines with a handler.
func modelFixture(t *testing.T, limits Limits, h http.Handler) *fixture {
	f := newFixture(t, engine.Options{}, limits)
	svc, _ := f.set.Service("mokoena/model")
	svc.Upstreams = svc.Upstreams[:1]
	f.upstream("s", h)
	svc.Upstreams[0].ID, svc.Upstreams[0].URL = "s", "http://s.test:80"
	return f
}

func TestEventsOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := modelFixture(t, Limits{}, scriptedUpstream(nil, tokenEvent(1, "b"), tokenEvent(3, "d"), tokenEvent(0, "a"), tokenEvent(1, "x"), tokenEvent(2, "c"), doneEvent(4)))
		got := readEvents(t, f.send(f.client, chat("r1", chatBody("4", true))), 0)
		got.requireComplete(t, 0)
		require.Equal(t, "abcd", got.text)
	})
}

func TestMissingEventEndsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := modelFixture(t, Limits{}, scriptedUpstream(nil, tokenEvent(0, "a"), tokenEvent(2, "c"), doneEvent(3)))
		got := readEvents(t, f.send(f.client, chat("r1", chatBody("4", true))), 0)
		require.Equal(t, "a", got.text)
		require.NotNil(t, got.err)
		require.Equal(t, "unknown", got.err.Hazel.Outcome)
	})
}

func TestUnnumberedStreamDropsForeignEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine := `data: {"id":"cmpl-1","choices":[{"delta":{"content":"a"}}]}` + "\n\n"
		other := `data: {"id":"cmpl-2","choices":[{"delta":{"content":"z"}}]}` + "\n\n"
		f := modelFixture(t, Limits{}, scriptedUpstream(nil, mine, other, mine, "data: [DONE]\n\n"))
		got := readEvents(t, f.send(f.client, chat("r1", chatBody("4", true))), 0)
		got.requireComplete(t, 0)
		require.Equal(t, "aa", got.text)
	})
}

func TestLossBeforeTheFirstEventIsRetriedAtAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{FirstToken: time.Second}, Limits{})
		go func() {
			time.Sleep(500 * time.Millisecond)
			f.net.Kill("e0", false)
		}()
		got := readEvents(t, f.send(f.client, chat("r1", chatBody("5", true))), 0)
		got.requireComplete(t, 0)
		require.Equal(t, answerText(testAccount, "r1", 0, 5), got.text)
		require.Len(t, f.engines[1].Runs(), 1)
	})
}

func TestLossAfterTheFirstEventEndsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The time between events lets the caller receive some before the rest is
		// lost. If no caller had received any, the request could run elsewhere.
		f := newFixture(t, engine.Options{TokenInterval: time.Millisecond}, Limits{})
		f.engines[0].SetFaults(engine.Faults{DropAfter: 3, NoResume: true})
		got := readEvents(t, f.send(f.client, chat("r1", chatBody("20", true))), 0)
		require.NotNil(t, got.err)
		require.Equal(t, "unknown", got.err.Hazel.Outcome)
		require.Equal(t, answerText(testAccount, "r1", 0, 3), got.text)
		synctest.Wait()
		billed := f.bank.spent(testAccount, "r1")
		require.Equal(t, []record.Tokens{got.err.Hazel.Billed}, billed)
		require.Empty(t, f.engines[1].Runs(), "a caller has a part of the answer")
	})
}

func TestAnswerIsCutAtItsCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		f.engines[0].SetFaults(engine.Faults{IgnoreCap: true})
		body := strings.Replace(chatBody("50", true), `"stream"`, `"max_tokens":10,"stream"`, 1)
		got := readEvents(t, f.send(f.client, chat("r1", body)), 0)
		got.requireComplete(t, 0)
		require.Equal(t, answerText(testAccount, "r1", 0, 10), got.text)
		require.True(t, got.note.Cut)
		synctest.Wait()
		chat, err := request.ParseChat([]byte(body))
		require.NoError(t, err)
		require.Equal(t, []record.Tokens{record.Tokens(chat.PromptBound + 2*10)}, f.bank.spent(testAccount, "r1"))
	})
}

func TestUsageAboveTheReservationIsBilledAtTheReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		usage := `data: {"id":"ID","choices":[],"usage":{"prompt_tokens":100000,"completion_tokens":100000}}` + "\n\n"
		f := modelFixture(t, Limits{}, scriptedUpstream(nil, tokenEvent(0, "a"), "id: 1\n"+usage, doneEvent(2)))
		body := chatBody("1", true)
		got := readEvents(t, f.send(f.client, chat("r1", body)), 0)
		got.requireComplete(t, 0)
		synctest.Wait()
		chat, err := request.ParseChat([]byte(body))
		require.NoError(t, err)
		bound := record.Tokens(chat.PromptBound + 2*64)
		require.Equal(t, []record.Tokens{bound}, f.bank.spent(testAccount, "r1"))
		require.Equal(t, bound, got.note.Billed)
	})
}

func TestCallerReconnects(t *testing.T) {
	for _, way := range []string{"events", "post"} {
		t.Run(way, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{TokenInterval: 100 * time.Millisecond}, Limits{})
				resp := f.send(f.client, chat("r1", chatBody("20", true)))
				got := readEvents(t, resp, 5)
				_ = resp.Body.Close()
				time.Sleep(time.Second)
				rest := readEvents(t, f.send(f.client, resumeRequest(way, "r1", 4)), 0)
				rest.requireComplete(t, 5)
				require.Equal(t, answerText(testAccount, "r1", 0, 20), got.text+rest.text)
				require.Equal(t, 1, f.engines[0].Runs()[0].Starts)
				s := resumeRequest(way, "r1", 4)
				s.key = otherKey
				require.Equal(t, http.StatusNotFound, f.send(f.client, s).StatusCode, "another account's answer")
			})
		})
	}
}

// resumeRequest returns a request for the rest of an answer after event last.
func resumeRequest(way, id string, last int) testRequest {
	if way == "post" {
		s := chat(id, chatBody("20", true))
		s.header = map[string]string{HeaderLastEvent: strconv.Itoa(last)}
		return s
	}
	return testRequest{method: http.MethodGet, path: "/v1/requests/" + url.PathEscape(id) + "/events?from=" + strconv.Itoa(last+1)}
}

// peerView is a member.View whose hosts answer each other over the test network.
type peerView struct {
	net   *memnet.Network
	self  record.Holder
	hosts map[record.HostID]string
}

func (p peerView) Self() record.Holder { return p.self }

func (p peerView) Hosts() []member.Host {
	var hosts []member.Host
	for id := range p.hosts {
		hosts = append(hosts, member.Host{Host: platform.Host{ID: id}})
	}
	return hosts
}

func (p peerView) Client(id record.HostID) (peerpbconnect.PeerServiceClient, bool) {
	addr, ok := p.hosts[id]
	if !ok {
		return nil, false
	}
	client := &http.Client{Transport: &http.Transport{DialContext: p.net.Dialer(string(p.self.Host)), DisableKeepAlives: true}}
	return peerpbconnect.NewPeerServiceClient(client, "http://"+addr), true
}

type answerServer struct {
	peerpbconnect.UnimplementedPeerServiceHandler
	*Gateway
}

func (s answerServer) Answer(ctx context.Context, r *connect.Request[peerpb.AnswerRequest], out *connect.ServerStream[peerpb.AnswerEvent]) error {
	return s.Gateway.Answer(ctx, r, out)
}

func (s answerServer) Forward(ctx context.Context, r *connect.Request[peerpb.ForwardRequest], out *connect.ServerStream[peerpb.AnswerEvent]) error {
	return s.Gateway.Forward(ctx, r, out)
}

// pairedHost starts a second host that has the first as its peer.
func (f *fixture) pairedHost(limits Limits) (*Gateway, *http.Client) {
	_, handler := peerpbconnect.NewPeerServiceHandler(answerServer{Gateway: f.gateway})
	f.serve("h0", "10.0.0.1:81", handler)
	return f.host("h1", "10.0.0.2:80", func(o *Options) {
		o.View = peerView{net: f.net, self: o.Self, hosts: map[record.HostID]string{"h0": "10.0.0.1:81", "h9": "10.0.0.9:81"}}
	}, limits)
}

func TestCallerReconnectsAtAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: 100 * time.Millisecond}, Limits{})
		_, other := f.pairedHost(Limits{})
		resp := f.send(f.client, chat("r1", chatBody("20", true)))
		got := readEvents(t, resp, 5)
		_ = resp.Body.Close()
		rest := readEvents(t, f.send(other, resumeRequest("events", "r1", 4)), 0)
		rest.requireComplete(t, 5)
		require.Equal(t, answerText(testAccount, "r1", 0, 20), got.text+rest.text)
		require.Equal(t, http.StatusNotFound, f.send(other, resumeRequest("events", "r2", 4)).StatusCode)
	})
}

func TestClaimedCallIsAnsweredThroughItsHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		_, other := f.pairedHost(Limits{})
		first := readBody(t, f.send(f.client, book("b1", "x")))
		require.Equal(t, first, readBody(t, f.send(other, book("b1", "x"))))
		require.Len(t, f.plain.Effects(), 1)
		require.Len(t, f.bank.spent(testAccount, "b1"), 1)
		require.Zero(t, f.bank.openReservations())
		p := readProblem(t, f.send(other, book("b1", "another body")))
		require.Equal(t, http.StatusUnprocessableEntity, p.Status)
		f.net.Kill("h0", true)
		p = readProblem(t, f.send(other, book("b1", "another body")))
		require.Equal(t, http.StatusUnprocessableEntity, p.Status, "from the recorded answer")
	})
}

func TestSilentPeerEndsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{})
		_, other := f.pairedHost(Limits{Heartbeat: time.Second})
		resp := f.send(f.client, chat("r1", chatBody("30", true)))
		readEvents(t, resp, 2)
		_ = resp.Body.Close()
		rest := f.send(other, resumeRequest("events", "r1", 1))
		began := time.Now()
		go func() {
			time.Sleep(2500 * time.Millisecond)
			f.net.Cut("h0", "h1")
			f.net.Cut("h1", "h0")
		}()
		got := readEvents(t, rest, 0)
		require.NotNil(t, got.err)
		require.Equal(t, "unknown", got.err.Hazel.Outcome)
		require.Less(t, time.Since(began), 10*time.Second)
	})
}

func TestCallerDisconnects(t *testing.T) {
	cases := []struct {
		name      string
		header    map[string]string
		cancelled bool
		outcome   string
	}{
		{"repeatable", nil, true, "unknown"},
		{"not repeatable", map[string]string{HeaderRepeatable: "false"}, false, "answered"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{Grace: 5 * time.Second})
				s := chat("r1", chatBody("20", true))
				s.header = c.header
				resp := f.send(f.client, s)
				readEvents(t, resp, 3)
				_ = resp.Body.Close()
				time.Sleep(30 * time.Second)
				require.Equal(t, c.cancelled, f.engines[0].Runs()[0].Cancelled)
				require.Equal(t, c.outcome, f.gateway.table.FindByID("r1")[0].Outcome().String())
				require.Len(t, f.bank.spent(testAccount, "r1"), 1)
				require.Zero(t, f.gateway.Running())
				require.Zero(t, f.picker.openLeases())
			})
		})
	}
}

func TestAnswerForASilentCallerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{Grace: time.Second, WriteTimeout: 2 * time.Second})
		resp := f.send(f.client, chat("r1", chatBody("60", true)))
		readEvents(t, resp, 2)
		f.net.Silence("caller", "h0")
		time.Sleep(40 * time.Second)
		// A path that drops packets is noticed only when the send buffer is full.
		// 60 small events do not fill it: the answer is kept and billed in full.
		time.Sleep(30 * time.Second)
		require.Zero(t, f.gateway.Running())
		rest := readEvents(t, f.send(f.client, resumeRequest("events", "r1", 1)), 0)
		rest.requireComplete(t, 2)
	})
}

func TestHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{FirstToken: 12 * time.Second}, Limits{Heartbeat: 5 * time.Second})
		svc, _ := f.set.Service("mokoena/model")
		svc.IdleTimeout = 30 * time.Second
		began := time.Now()
		resp := f.send(f.client, chat("r1", chatBody("3", true)))
		line := make([]byte, 8)
		_, err := io.ReadFull(resp.Body, line)
		require.NoError(t, err)
		require.Equal(t, ": ping\n\n", string(line))
		require.Equal(t, 5*time.Second, time.Since(began))
		got := readEvents(t, resp, 0)
		got.requireComplete(t, 0)
	})
}

func TestDeadlineEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := ""
		f := modelFixture(t, Limits{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			seen = r.Header.Get(HeaderDeadline)
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}))
		s := chat("r1", chatBody("3", true))
		s.header = map[string]string{HeaderDeadline: "1500"}
		began := time.Now()
		p := readProblem(t, f.send(f.client, s))
		require.Equal(t, http.StatusGatewayTimeout, p.Status)
		require.Equal(t, "unknown", p.Outcome)
		require.Equal(t, 1500*time.Millisecond, time.Since(began))
		require.Equal(t, "1500", seen)
		require.True(t, f.picker.lastResult(t).Cancelled)
	})
}

func TestDrainWaitsForTheLastStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{})
		resp := f.send(f.client, chat("r1", chatBody("10", true)))
		drained := make(chan time.Time, 1)
		began := time.Now()
		go func() {
			require.NoError(t, f.gateway.Drain(t.Context()))
			drained <- time.Now()
		}()
		synctest.Wait()
		// Callers that still use this host's address are served meanwhile.
		require.Equal(t, http.StatusOK, f.send(f.client, book("b1", "x")).StatusCode)
		got := readEvents(t, resp, 0)
		got.requireComplete(t, 0)
		require.Equal(t, 9*time.Second, (<-drained).Sub(began))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		f.send(f.client, chat("r2", chatBody("10", true)))
		require.ErrorIs(t, f.gateway.Drain(ctx), context.DeadlineExceeded)
	})
}

func TestDrainWaitsForASlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := strings.Repeat("x", 150<<10)
		f := plainFixture(t, Limits{AnswerBytes: 1 << 20, WriteTimeout: time.Minute}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, text)
		}))
		resp := f.send(f.client, book("b1", "x"))
		time.Sleep(time.Second)
		require.Zero(t, f.gateway.Running(), "the run has ended, its answer is not sent yet")
		drained := make(chan error, 1)
		go func() { drained <- f.gateway.Drain(t.Context()) }()
		synctest.Wait()
		require.Empty(t, drained)
		require.Equal(t, text, readBody(t, resp))
		require.NoError(t, <-drained)
	})
}

// An upstream that sends comments but no event is not silent. Its stream ends with the
// request's timeout, and one that is slow but sound does not end before.
func TestStalledStreamWithCommentsEndsAtTheRequestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := modelFixture(t, Limits{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", stream.ContentType)
			for r.Context().Err() == nil {
				_, _ = io.WriteString(w, ": wait\n\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Second)
			}
		}))
		began := time.Now()
		resp := f.send(f.client, chat("r1", chatBody("3", false)))
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
		require.Equal(t, time.Minute, time.Since(began))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: 2900 * time.Millisecond}, Limits{})
		got := readEvents(t, f.send(f.client, chat("r1", chatBody("20", true))), 0)
		got.requireComplete(t, 0)
	})
}
