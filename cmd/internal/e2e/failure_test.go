package e2e

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants/budgetadmin"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/plain"
)

const (
	chatPath    = "/v1/chat/completions"
	bookingPath = "/v1/services/yard/bookings/slabs"
	streamBody  = `{"model":"m","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"tokens=40"}]}`
	// answerCost is 3 prompt tokens, as the engine counts them, and 40 output tokens.
	answerCost = record.Tokens(43)
	waitTime   = 30 * time.Second
)

func slowEngine() engine.Options {
	return engine.Options{FirstToken: 50 * time.Millisecond, TokenInterval: 50 * time.Millisecond}
}

// readUntil reads the lines of a stream until one contains text.
func readUntil(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("the stream ended before %q: %v", text, lines.Err())
}

func TestRetryAfterHostKillGetsFullAnswerAndIsChargedOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, slowEngine())
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	defer cancel()
	response, err := f.post(ctx, f.hosts[0], chatPath, "sheet-1", streamBody)
	require.NoError(t, err)
	readUntil(t, bufio.NewScanner(response.Body), "sheet-1#3 ")
	f.signal(f.hosts[0], syscall.SIGKILL)
	_ = response.Body.Close()

	response, err = f.post(ctx, f.hosts[1], chatPath, "sheet-1", streamBody)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(body))
	for _, token := range []string{"sheet-1#0 ", "sheet-1#20 ", "sheet-1#39 ", "[DONE]"} {
		require.Contains(t, string(body), token)
	}
	require.Equal(t, 1, strings.Count(string(body), "sheet-1#20 "))
	require.Eventually(t, func() bool { return f.ledgerBudget().Settled == answerCost }, waitTime, 50*time.Millisecond)

	// The killed host's grant stays stranded until an operator releases it.
	var stranded budgetadmin.Holder
	require.Eventually(t, func() bool {
		for _, h := range f.holders() {
			if strings.HasPrefix(h.Holder, "host-0/") && h.State != budgetadmin.HolderLive {
				stranded = h
				return true
			}
		}
		return false
	}, waitTime, 100*time.Millisecond)
	require.NotZero(t, stranded.Granted)
	f.ctl("budget", "release", string(budgetID), stranded.Holder, "--confirm", stranded.Holder)
	after := f.ledgerBudget()
	require.Equal(t, answerCost, after.Settled)
	require.EqualValues(t, prepaid, after.Settled+after.Granted+after.Available)
}

func TestBookingOfPausedHostRunsOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, slowEngine())
	f.plain.SetFaults(plain.Faults{Delay: 2 * time.Second})
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	defer cancel()
	first := make(chan error, 1)
	go func() {
		response, err := f.post(ctx, f.hosts[0], bookingPath, "booking-1", `{"slab":1}`)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		first <- err
	}()
	require.Eventually(t, f.hasClaim, waitTime, 10*time.Millisecond)
	time.Sleep(500 * time.Millisecond) // the booking has reached the upstream, which takes 2 s
	f.signal(f.hosts[0], syscall.SIGSTOP)

	response, err := f.post(ctx, f.hosts[1], bookingPath, "booking-1", `{"slab":1}`)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NotEqual(t, "not-run", response.Header.Get("Hazel-Outcome"), string(body))
	require.NotEqual(t, http.StatusOK, response.StatusCode, "no other host may answer for a run in flight")

	f.signal(f.hosts[0], syscall.SIGCONT)
	require.NoError(t, <-first)
	response, err = f.post(ctx, f.hosts[1], bookingPath, "booking-1", `{"slab":1}`)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Len(t, f.plain.Effects(), 1)
	require.Eventually(t, func() bool { return f.ledgerBudget().Settled == 5 }, waitTime, 50*time.Millisecond)
}

func TestGracefulStopCompletesStreamsAndReturnsGrants(t *testing.T) {
	t.Parallel()
	f := newFleet(t, slowEngine())
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	defer cancel()
	response, err := f.post(ctx, f.hosts[0], chatPath, "sheet-2", streamBody)
	require.NoError(t, err)
	lines := bufio.NewScanner(response.Body)
	readUntil(t, lines, "sheet-2#3 ")
	f.signal(f.hosts[0], syscall.SIGTERM)
	readUntil(t, lines, "[DONE]")
	_ = response.Body.Close()

	select {
	case err := <-f.hosts[0].exited:
		f.hosts[0].exited <- err
		require.NoError(t, err)
	case <-ctx.Done():
		t.Fatal("the host did not stop")
	}
	budget := f.ledgerBudget()
	require.Equal(t, answerCost, budget.Settled)
	for _, h := range f.holders() {
		if strings.HasPrefix(h.Holder, "host-0/") {
			require.Zero(t, h.Granted, "holder %s", h.Holder)
		}
	}
}

func TestLogOutageDoesNotBlockGrantedBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, engine.Options{})
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	defer cancel()
	send := func(id string) int {
		response, err := f.post(ctx, f.hosts[0], chatPath, id, strings.ReplaceAll(streamBody, "40", "4"))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, send("before"))
	f.log.SetDown(true)
	require.Equal(t, http.StatusOK, send("during"))
	f.log.SetDown(false)
	// 3 prompt tokens and 4 output tokens, for each of 2 requests.
	require.Eventually(t, func() bool { return f.ledgerBudget().Settled == 14 }, waitTime, 50*time.Millisecond)
}
