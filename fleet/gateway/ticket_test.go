package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/standin/engine"
)

func (f *fixture) tickets(client *http.Client, count int) []string {
	f.t.Helper()
	resp := f.send(client, testRequest{method: http.MethodPost, path: fmt.Sprintf("/v1/request-ids?count=%d", count)})
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
	var list ticketList
	require.NoError(f.t, json.Unmarshal([]byte(readBody(f.t, resp)), &list))
	require.Len(f.t, list.IDs, count)
	return list.IDs
}

// TestTicketsRunDuringALogOutage sends calls that must not be repeated during an
// outage of the log, and counts the refusals with claims and with tickets.
func TestTicketsRunDuringALogOutage(t *testing.T) {
	const calls = 200
	refused := func(t *testing.T, f *fixture, ids []string) (n int) {
		for _, id := range ids {
			resp := f.send(f.client, book(id, "x"))
			if resp.StatusCode != http.StatusOK {
				require.Equal(t, "not-run", readProblem(t, resp).Outcome)
				n++
			}
		}
		return n
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		var chosen []string
		for i := range calls {
			chosen = append(chosen, fmt.Sprintf("job-%d", i))
		}
		f.bank.claimErr = errors.New("log outage")
		byClaims := refused(t, f, chosen)
		byTickets := refused(t, f, f.tickets(f.client, calls))
		t.Logf("log outage, %d calls: refused with claims %d, with tickets %d", calls, byClaims, byTickets)
		require.Equal(t, calls, byClaims)
		require.Zero(t, byTickets)
		require.Len(t, f.plain.Effects(), calls)
	})
}

func TestTicketRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{KeepFor: time.Second})
		_, other := f.pairedHost(Limits{})
		ids := f.tickets(f.client, 3)
		first := readBody(t, f.send(f.client, book(ids[0], "x")))
		require.Equal(t, first, readBody(t, f.send(f.client, book(ids[0], "x"))))
		require.Equal(t, first, readBody(t, f.send(other, book(ids[0], "x"))), "through its host")
		time.Sleep(2 * time.Second)
		require.Equal(t, "unknown", readProblem(t, f.send(f.client, book(ids[0], "x"))).Outcome, "no longer kept")
		require.Equal(t, "unknown", readProblem(t, f.send(other, book(ids[1], "x"))).Outcome, "another host never runs it")
		s := book(ids[1], "x")
		s.key = otherKey
		require.Equal(t, "unknown", readProblem(t, f.send(f.client, s)).Outcome, "another account's")
		require.Len(t, f.plain.Effects(), 1)
		require.Equal(t, http.StatusOK, f.send(f.client, book(ids[1], "x")).StatusCode)
	})
}

func TestTicketOfACallThatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		id := f.tickets(f.client, 1)[0]
		f.picker.refuse = &dispatch.RefusedError{Reason: dispatch.ReasonShed}
		require.Equal(t, "not-run", readProblem(t, f.send(f.client, book(id, "x"))).Outcome)
		f.picker.refuse = nil
		require.Equal(t, http.StatusOK, f.send(f.client, book(id, "x")).StatusCode)
		require.Equal(t, http.StatusOK, f.send(f.client, book(id, "x")).StatusCode)
		require.Len(t, f.plain.Effects(), 1)
	})
}

// TestClaimWaitsForItsOwnOutcome sends a call again before the log has the outcome
// of its first try, which did not run.
func TestClaimWaitsForItsOwnOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		f.bank.finishDelay = time.Second
		f.picker.refuse = &dispatch.RefusedError{Reason: dispatch.ReasonShed}
		require.Equal(t, "not-run", readProblem(t, f.send(f.client, book("b1", "x"))).Outcome)
		f.picker.refuse = nil
		require.Equal(t, http.StatusOK, f.send(f.client, book("b1", "x")).StatusCode)
		require.Len(t, f.plain.Effects(), 1)
	})
}
