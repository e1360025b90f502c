package gateway

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/standin/engine"
)

func TestStreamedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		resp := f.send(f.client, chat("r1", chatBody("20", true)))
		require.Equal(t, "r1", resp.Header.Get(problem.HeaderRequestID))
		got := readEvents(t, resp, 0)
		got.requireComplete(t, 0)
		require.Equal(t, answerText(testAccount, "r1", 0, 20), got.text)
		require.Equal(t, "answered", got.note.Outcome)
		synctest.Wait()
		billed := f.bank.spent(testAccount, "r1")
		require.Len(t, billed, 1)
		require.Equal(t, billed[0], got.note.Billed)
		require.Zero(t, f.bank.openReservations())
		require.Zero(t, f.picker.openLeases())
		require.NoError(t, f.picker.lastResult(t).Err)
	})
}

func TestWholeAnswerIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		resp := f.send(f.client, chat("r1", chatBody("5", false)))
		require.Equal(t, "answered", resp.Header.Get(problem.HeaderOutcome))
		var whole completion
		require.NoError(t, json.Unmarshal([]byte(readBody(t, resp)), &whole))
		require.Equal(t, answerText(testAccount, "r1", 0, 5), whole.Choices[0].Message.Content)
		require.Equal(t, "stop", *whole.Choices[0].FinishReason)
		require.NotEmpty(t, whole.Usage)
	})
}

func TestToolsAreNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		body := `{"model":"cut","tools":[],"messages":[{"role":"user","content":"tokens=3"}]}`
		resp := f.send(f.client, chat("r1", body))
		require.Equal(t, "answered", resp.Header.Get(problem.HeaderOutcome))
		require.Contains(t, readBody(t, resp), answerText(testAccount, "r1", 0, 3))
		synctest.Wait()
		require.Len(t, f.bank.spent(testAccount, "r1"), 1)
	})
}

func TestPlainCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		resp := f.send(f.client, book("b1", `{"slab":7}`))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "answered", resp.Header.Get(problem.HeaderOutcome))
		require.Contains(t, readBody(t, resp), `"path":"/app/slabs"`)
		synctest.Wait()
		require.Len(t, f.plain.Effects(), 1)
		// 5 for the call and 1 for each of the two bodies.
		require.Equal(t, []record.Tokens{7}, f.bank.spent(testAccount, "b1"))
	})
}

func TestRepeatedRequestReplaysTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		first := readBody(t, f.send(f.client, book("b1", `{"slab":7}`)))
		again := readBody(t, f.send(f.client, book("b1", `{"slab":7}`)))
		require.Equal(t, first, again)
		require.Len(t, f.plain.Effects(), 1)
		require.Len(t, f.bank.spent(testAccount, "b1"), 1)

		p := readProblem(t, f.send(f.client, book("b1", `{"slab":8}`)))
		require.Equal(t, http.StatusUnprocessableEntity, p.Status)
		require.Equal(t, "not-run", p.Outcome)

		// The same ID of another account is another request.
		s := book("b1", `{"slab":8}`)
		s.key = otherKey
		require.Equal(t, http.StatusOK, f.send(f.client, s).StatusCode)
		require.Len(t, f.plain.Effects(), 2)
	})
}
