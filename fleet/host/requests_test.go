package host

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/plain"
)

// readTokens reads the text of a stream until its end, or until limit tokens if
// limit is not zero. answered is false if the stream did not end with the outcome
// "answered".
func readTokens(resp *http.Response, limit int) (text string, answered bool) {
	lines := bufio.NewScanner(resp.Body)
	tokens := 0
	for lines.Scan() {
		line := lines.Text()
		if strings.Contains(line, `"outcome":"answered"`) {
			answered = true
		}
		_, rest, ok := strings.Cut(line, `"content":"`)
		if !ok {
			continue
		}
		token, _, _ := strings.Cut(rest, `"`)
		text += token
		if tokens++; tokens == limit {
			return text, false
		}
	}
	return text, answered
}

func wantedText(id string, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(engine.TokenText("firm/yard:"+id, i))
	}
	return text.String()
}

func TestFleetServesAndBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		var want record.Tokens
		for i, h := range f.hosts {
			id := fmt.Sprint("r", i)
			text, answered := readTokens(f.chat(h, id, 10), 0)
			require.True(t, answered)
			require.Equal(t, wantedText(id, 0, 10), text)
			want += record.Tokens(f.engine.Runs()[i].InputTokens + 10)
			require.Equal(t, http.StatusOK, f.book(h, fmt.Sprint("b", i)).StatusCode)
			want += 5
		}
		time.Sleep(30 * time.Second)
		require.Equal(t, want, f.spent(f.hosts[1]))
	})
}

func TestRetryAfterHostCrashIsBilledOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		text, _ := readTokens(f.chat(f.hosts[0], "r1", 20), 5)
		require.Equal(t, wantedText("r1", 0, 5), text)
		require.Equal(t, http.StatusOK, f.book(f.hosts[0], "b1").StatusCode)
		time.Sleep(10 * time.Second) // the claim's outcome is written to the log
		f.kill(f.hosts[0])
		// The caller retries both at the next host.
		text, answered := readTokens(f.chat(f.hosts[1], "r1", 20), 0)
		require.True(t, answered)
		require.Equal(t, wantedText("r1", 0, 20), text)
		resp := f.book(f.hosts[1], "b1")
		require.Equal(t, http.StatusOK, resp.StatusCode, "the recorded answer is returned")
		require.Len(t, f.plain.Effects(), 1)
		time.Sleep(30 * time.Second)
		wantSpent := record.Tokens(f.engine.Runs()[0].InputTokens+20) + 5
		require.Equal(t, wantSpent, f.spent(f.hosts[1]), "both are billed once")
	})
}

func TestCallOfCrashedHostIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		f.plain.SetFaults(plain.Faults{Delay: 5 * time.Second})
		go func() {
			_, _ = f.try(f.hosts[0], f.hosts[0].cfg.Listen.Caller, http.MethodPost, "/v1/services/firm/bookings/slabs", testKey, "b1", `{"slab":1}`)
		}()
		time.Sleep(time.Second) // the call is claimed and sent, but not answered yet
		f.kill(f.hosts[0])
		resp := f.book(f.hosts[1], "b1")
		require.Equal(t, http.StatusConflict, resp.StatusCode)
		require.Equal(t, "unknown", resp.Header.Get("Hazel-Outcome"))
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, len(f.plain.Effects()), 1)
	})
}

func TestCallerReconnectsThroughAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		resp := f.chat(f.hosts[0], "r1", 20)
		text, _ := readTokens(resp, 5)
		_ = resp.Body.Close()
		rest := f.do(f.hosts[2], f.hosts[2].cfg.Listen.Caller, http.MethodGet, "/v1/requests/r1/events?from=5", testKey, "", "")
		more, answered := readTokens(rest, 0)
		require.True(t, answered)
		require.Equal(t, wantedText("r1", 0, 20), text+more)
		require.Equal(t, 1, f.engine.Runs()[0].Starts)
	})
}

func TestGracefulStopCutsOffNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		resp := f.chat(f.hosts[0], "r1", 100)
		stopped := make(chan error, 1)
		go func() { stopped <- f.hosts[0].Shutdown(t.Context()) }()
		text, answered := readTokens(resp, 0)
		require.True(t, answered)
		require.Equal(t, wantedText("r1", 0, 100), text)
		require.NoError(t, <-stopped)
		time.Sleep(10 * time.Second)
		require.Equal(t, record.Tokens(f.engine.Runs()[0].InputTokens+100), f.spent(f.hosts[1]))
	})
}

// Callers keep connecting to a host that stops, until its address is closed. Each request
// that it has taken is answered, also those that arrive last.
func TestGracefulStopUnderLoadCutsOffNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		f.plain.SetFaults(plain.Faults{Delay: 400 * time.Millisecond})
		host := f.hosts[0]
		stopped := make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		go func() { stopped <- host.Shutdown(ctx) }()
		var callers sync.WaitGroup
		cut := make(chan error, 10_000)
		for i := 0; ; i++ {
			select {
			case err := <-stopped:
				require.NoError(t, err)
				callers.Wait()
				close(cut)
				for err := range cut {
					require.NoError(t, err)
				}
				return
			default:
			}
			callers.Go(func() {
				_, err := f.try(host, host.cfg.Listen.Caller, http.MethodPost, "/v1/services/firm/bookings/slabs", testKey, "", "{}")
				if err != nil && !strings.Contains(err.Error(), "refused") {
					cut <- err
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		require.Equal(t, http.StatusOK, f.book(f.hosts[0], "b0").StatusCode, "the host obtains a grant")
		f.log.SetDown(true)
		began := time.Now()
		resp := f.book(f.hosts[0], "b1")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get("Hazel-Outcome"))
		require.LessOrEqual(t, time.Since(began), 6*time.Second)
		// A call without an idempotency key needs no claim in the log, and the grant
		// still covers it.
		require.Equal(t, http.StatusOK, f.book(f.hosts[0], "").StatusCode)
		text, answered := readTokens(f.chat(f.hosts[0], "r1", 10), 0)
		require.True(t, answered)
		require.Equal(t, wantedText("r1", 0, 10), text)
		f.log.SetDown(false)
		time.Sleep(30 * time.Second)
		require.Equal(t, http.StatusOK, f.book(f.hosts[0], "b1").StatusCode)
		require.Len(t, f.plain.Effects(), 3)
		time.Sleep(30 * time.Second)
		require.Equal(t, record.Tokens(3*5+f.engine.Runs()[0].InputTokens+10), f.spent(f.hosts[1]))
	})
}
