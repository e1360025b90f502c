package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/plain"
)

// plainFixture replaces the upstreams of the booking service by handlers.
func plainFixture(t *testing.T, limits Limits, handlers ...http.Handler) *fixture {
	f := newFixture(t, engine.Options{}, limits)
	svc, _ := f.set.Service("mokoena/booking")
	svc.Upstreams = nil
	for i, h := range handlers {
		id := string(rune('a' + i))
		f.upstream(id, h)
		svc.Upstreams = append(svc.Upstreams, f.set.Services[0].Upstreams[0])
		svc.Upstreams[i].ID, svc.Upstreams[i].URL = id, "http://"+id+".test:80"
	}
	return f
}

func TestNoByteLeftIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		f.net.Kill("p0", false)
		f.net.Kill("p1", false)
		resp := f.send(f.client, book("b1", "x"))
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		p := readProblem(t, resp)
		require.Equal(t, "not-run", p.Outcome)
		require.Empty(t, f.plain.Effects())
		synctest.Wait()
		require.Empty(t, f.bank.spent(testAccount, "b1"))
		require.Zero(t, f.bank.open())
		require.Zero(t, f.picker.picks())
	})
}

func TestUnstartedCallIsRetriedElsewhere(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fixture)
	}{
		{"connection refused", func(f *fixture) { f.net.Kill("a", false) }},
		{"refused by its own word", func(*fixture) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				refusing, working := plain.New("a"), plain.New("b")
				refusing.SetFaults(plain.Faults{RefuseNotStarted: true})
				f := plainFixture(t, Limits{}, refusing.Handler(), working.Handler())
				c.fault(f)
				resp := f.send(f.client, book("b1", "x"))
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Len(t, working.Effects(), 1)
				require.Empty(t, refusing.Effects())
				require.True(t, f.picker.queries[1].Retry)
				require.Equal(t, []string{"a"}, f.picker.queries[1].Exclude)
				synctest.Wait()
				require.Len(t, f.bank.spent(testAccount, "b1"), 1)
			})
		})
	}
}

func TestLostReplyIsUnknownAndNotRunAgain(t *testing.T) {
	cases := []struct {
		name   string
		faults plain.Faults
		code   int
		within time.Duration
	}{
		{"connection lost", plain.Faults{LoseReply: true}, http.StatusBadGateway, 100 * time.Millisecond},
		{"silence", plain.Faults{Hang: true}, http.StatusGatewayTimeout, 3100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{}, Limits{})
				f.plain.SetFaults(c.faults)
				began := time.Now()
				s := book("b1", "x")
				s.header = map[string]string{HeaderRepeatable: "true"} // must not loosen the service's rule
				p := readProblem(t, f.send(f.client, s))
				require.Equal(t, "unknown", p.Outcome)
				require.Equal(t, c.code, p.Status)
				require.LessOrEqual(t, time.Since(began), c.within)
				f.plain.SetFaults(plain.Faults{})
				require.Equal(t, "unknown", readProblem(t, f.send(f.client, book("b1", "x"))).Outcome)
				require.Len(t, f.plain.Effects(), 1)
				require.Len(t, f.bank.spent(testAccount, "b1"), 1, "a call that may have run is billed")
			})
		})
	}
}

func TestEmptyBodyIsNotSentTwiceByTheTransport(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{}, Limits{})
				s := sent{method: method, path: "/v1/services/mokoena/booking/slabs"}
				require.Equal(t, http.StatusOK, f.send(f.client, s).StatusCode)
				f.plain.SetFaults(plain.Faults{LoseReply: true})
				require.Equal(t, "unknown", readProblem(t, f.send(f.client, s)).Outcome)
				require.Len(t, f.plain.Effects(), 2)
			})
		})
	}
}

func TestSilentPooledConnectionDoesNotLoseACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		require.Equal(t, http.StatusOK, f.send(f.client, book("b1", "x")).StatusCode)
		f.net.Silence("h0", "p0")
		require.Equal(t, http.StatusOK, f.send(f.client, book("b2", "x")).StatusCode)
		require.Len(t, f.plain.Effects(), 2)
	})
}

func TestSilentPooledConnectionOfARepeatableRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Millisecond}, Limits{})
		// Two streams at once leave two connections in the pool.
		one, two := f.send(f.client, chat("a", chatBody("5", true))), f.send(f.client, chat("b", chatBody("5", true)))
		for _, resp := range []*http.Response{one, two} {
			got := readEvents(t, resp, 0)
			got.whole(t, 0)
		}
		synctest.Wait()
		require.Equal(t, 4, f.net.Silence("h0", "e0"), "both ends of two connections")
		began := time.Now()
		got := readEvents(t, f.send(f.client, chat("r2", chatBody("5", true))), 0)
		got.whole(t, 0)
		require.Equal(t, answerText(testAccount, "r2", 0, 5), got.text)
		require.Less(t, time.Since(began), 4*time.Second)
		require.True(t, f.picker.results[2].Silent)
		// The pool was emptied: the next request goes the first way at once.
		began = time.Now()
		got = readEvents(t, f.send(f.client, chat("r3", chatBody("5", true))), 0)
		got.whole(t, 0)
		require.Less(t, time.Since(began), time.Second)
	})
}

// TestTransportDoesNotReplayACall sends calls on a pooled connection that breaks
// after the upstream has read them. net/http replays some requests by itself.
func TestTransportDoesNotReplayACall(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{}, Limits{})
				header := http.Header{HeaderIdempotencyKey: {"b1"}}
				call := &call{req: request.New(request.Spec{ID: "b1"}, 0, nil)}
				work := &plainWork{c: call, method: method, target: "/x", header: header, body: &callBody{}}
				send := func() error {
					req, err := work.outgoing(t.Context(), f.set.Services[1].Upstreams[0], nil)
					require.NoError(t, err)
					resp, err := f.picker.transports["p0"].RoundTrip(req)
					if err == nil {
						readBody(t, resp)
					}
					return err
				}
				require.NoError(t, send())
				f.plain.SetFaults(plain.Faults{LoseReply: true})
				require.Error(t, send())
				require.Len(t, f.plain.Effects(), 2)
			})
		})
	}
}

func TestClaimFailureIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		f.bank.claimErr = errors.New("no log")
		p := readProblem(t, f.send(f.client, book("b1", "x")))
		require.Equal(t, http.StatusServiceUnavailable, p.Status)
		require.Equal(t, "not-run", p.Outcome)
		require.NotZero(t, p.RetryAfter)
		require.Zero(t, f.bank.open())
		// An ID that no other host can know needs no claim.
		require.Equal(t, http.StatusOK, f.send(f.client, book("", "x")).StatusCode)
		f.bank.claimErr = nil
		require.Equal(t, http.StatusOK, f.send(f.client, book("b1", "x")).StatusCode)
		require.Len(t, f.plain.Effects(), 2)
	})
}

func TestGeneratedIDIsNeverRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		_, other := f.host("h1", "10.0.0.2:80", nil, Limits{})
		resp := f.send(f.client, book("", "x"))
		id := resp.Header.Get("Hazel-Request-Id")
		require.NotEmpty(t, id)
		require.Equal(t, readBody(t, resp), readBody(t, f.send(f.client, book(id, "x"))))
		require.Equal(t, "unknown", readProblem(t, f.send(other, book(id, "x"))).Outcome)
		require.Len(t, f.plain.Effects(), 1)
	})
}

func TestBudgetRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		f.bank.left = 3
		p := readProblem(t, f.send(f.client, book("b1", "x")))
		require.Equal(t, http.StatusPaymentRequired, p.Status)
		require.Equal(t, "not-run", p.Outcome)
		require.Empty(t, f.plain.Effects())
		// After a top-up the same request runs.
		f.bank.left = 1 << 20
		require.Equal(t, http.StatusOK, f.send(f.client, book("b1", "x")).StatusCode)
	})
}

func TestPickerRefusalIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		f.picker.refuse = &dispatch.RefusedError{Service: "mokoena/model", Reason: dispatch.ReasonQueueFull, RetryAfter: 1500 * time.Millisecond}
		began := time.Now()
		resp := f.send(f.client, chat("r1", chatBody("5", true)))
		require.Equal(t, "2", resp.Header.Get("Retry-After"))
		p := readProblem(t, resp)
		require.Equal(t, http.StatusServiceUnavailable, p.Status)
		require.Equal(t, "not-run", p.Outcome)
		require.Zero(t, time.Since(began))
		require.Zero(t, f.bank.open())
	})
}

func TestOutcomeAfterARetryThatFindsNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		f := newFixture(t, engine.Options{}, Limits{Attempts: 2})
		svc, _ := f.set.Service("mokoena/model")
		svc.Upstreams = svc.Upstreams[:1]
		f.upstream("lossy", first)
		svc.Upstreams[0].ID, svc.Upstreams[0].URL = "lossy", "http://lossy.test:80"
		p := readProblem(t, f.send(f.client, chat("r1", chatBody("5", true))))
		require.Equal(t, "unknown", p.Outcome, "the first attempt may have run")
		require.Equal(t, 2, len(f.picker.queries))
		require.Empty(t, f.bank.spent(testAccount, "r1"), "nothing was produced")
	})
}

// TestHostDeath takes a call to each step at which its host can die and sends it
// again through another host.
func TestHostDeath(t *testing.T) {
	key := record.KeyOf(testAccount, "b1")
	holder := record.Holder{Host: "h0", Incarnation: 1}
	cases := []struct {
		name    string
		before  func(*fixture)
		effects int
		outcome string
		status  int
	}{
		{"before the claim", func(*fixture) {}, 1, "answered", http.StatusOK},
		{"after the claim", func(f *fixture) {
			_, _ = claimer{f.bank, holder}.Claim(t.Context(), "b", key)
		}, 0, "unknown", http.StatusConflict},
		{"after an end without a run", func(f *fixture) {
			_, _ = claimer{f.bank, holder}.Claim(t.Context(), "b", key)
			claimer{f.bank, holder}.Finish("b", key, record.OutcomeNotRun, nil)
		}, 1, "answered", http.StatusOK},
		{"after the answer", func(f *fixture) {
			require.Equal(f.t, http.StatusOK, f.send(f.client, book("b1", "x")).StatusCode)
			synctest.Wait()
		}, 1, "answered", http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{}, Limits{})
				c.before(f)
				f.net.Kill("h0", true)
				for id := range f.picker.transports {
					f.picker.transports[id] = &http.Transport{DialContext: dispatch.CountWrites(f.net.Dialer("h1"))}
				}
				_, other := f.host("h1", "10.0.0.2:80", nil, Limits{})
				resp := f.send(other, book("b1", "x"))
				require.Equal(t, c.status, resp.StatusCode)
				require.Equal(t, c.outcome, resp.Header.Get("Hazel-Outcome"))
				require.Len(t, f.plain.Effects(), c.effects)
			})
		})
	}
}

// pausedClaimer returns its claim after a pause that outlasts every deadline, as
// a host does that was stopped meanwhile.
type pausedClaimer struct {
	claimer
	pause time.Duration
}

func (c pausedClaimer) Claim(ctx context.Context, id record.BudgetID, key record.RequestKey) (grants.Claim, error) {
	claim, err := c.claimer.Claim(ctx, id, key)
	time.Sleep(c.pause)
	return claim, err
}

func TestHostThatWakesAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		_, paused := f.host("h1", "10.0.0.2:80", func(o *Options) {
			o.Claimer = pausedClaimer{claimer{f.bank, o.Self}, time.Hour}
		}, Limits{})
		resp := f.send(paused, book("b1", "x"))
		require.Equal(t, "not-run", readProblem(t, resp).Outcome)
		require.Empty(t, f.plain.Effects())
		// Its claim is free again, for any host.
		require.Equal(t, http.StatusOK, f.send(f.client, book("b1", "x")).StatusCode)
		require.Len(t, f.plain.Effects(), 1)
	})
}
