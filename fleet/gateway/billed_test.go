package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/standin/engine"
)

// The bill must be in the log before the caller gets the end of the answer. A host
// that fails in between would lose the bill.
func TestAnswerEndsAfterItsBillIsInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{BillWait: time.Second})
		f.bank.billed = make(chan struct{})
		const logTime = 300 * time.Millisecond
		time.AfterFunc(logTime, func() { close(f.bank.billed) })
		start := time.Now()
		resp := f.send(f.client, chat("r1", chatBody("20", true)))
		got := readEvents(t, resp, 0)
		got.requireComplete(t, 0)
		require.GreaterOrEqual(t, time.Since(start), logTime)
		require.Len(t, f.bank.spent(testAccount, "r1"), 1)
	})
}

func TestAnswerEndsAfterBillWaitWhenTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 500 * time.Millisecond
		f := newFixture(t, engine.Options{}, Limits{BillWait: wait})
		f.bank.billed = make(chan struct{}) // never closed: the log is down
		start := time.Now()
		resp := f.send(f.client, chat("r1", chatBody("20", true)))
		got := readEvents(t, resp, 0)
		got.requireComplete(t, 0)
		took := time.Since(start)
		require.GreaterOrEqual(t, took, wait)
		require.Less(t, took, wait+time.Second)
	})
}

func TestPlainAnswerEndsAfterItsBillIsInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{BillWait: time.Second})
		f.bank.billed = make(chan struct{})
		const logTime = 300 * time.Millisecond
		time.AfterFunc(logTime, func() { close(f.bank.billed) })
		start := time.Now()
		require.Contains(t, readBody(t, f.send(f.client, book("b1", `{"slab":7}`))), `"path":"/app/slabs"`)
		require.GreaterOrEqual(t, time.Since(start), logTime)
		require.Len(t, f.bank.spent(testAccount, "b1"), 1)
	})
}

// Settling a bill releases the rest of the reservation, so that a second run would
// spend tokens that are not reserved.
func TestBilledRequestIsNotRunAgain(t *testing.T) {
	for _, billed := range []bool{false, true} {
		f := newFakeBank(1000)
		reservation, err := f.Reserve(t.Context(), "b", 1, 100, 0)
		require.NoError(t, err)
		c := &call{
			req:         request.New(request.Spec{ID: "r1", Repeatable: true}, 1<<10, nil),
			work:        &modelWork{},
			reservation: reservation,
		}
		if billed {
			require.EqualValues(t, 40, c.bill(40))
		}
		require.Equal(t, !billed, c.mayRetry(t.Context(), attemptResult{}))
	}
}

func TestWholeAnswerFollowsItsBill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{BillWait: time.Second})
		f.bank.billed = make(chan struct{})
		const logTime = 300 * time.Millisecond
		time.AfterFunc(logTime, func() { close(f.bank.billed) })
		start := time.Now()
		body := `{"model":"cut","tools":[],"messages":[{"role":"user","content":"tokens=3"}]}`
		require.Contains(t, readBody(t, f.send(f.client, chat("r1", body))), answerText(testAccount, "r1", 0, 3))
		require.GreaterOrEqual(t, time.Since(start), logTime)
	})
}
