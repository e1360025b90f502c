package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/standin/engine"
)

// hostWithoutBudget starts a second host whose own budget is empty. The first holds it.
func (f *fixture) hostWithoutBudget() *http.Client {
	emptyBank := newFakeBank(0)
	emptyBank.holders = []record.Holder{{Host: "h1"}, {Host: "h9"}, {Host: "h0"}}
	_, handler := peerpbconnect.NewPeerServiceHandler(answerServer{Gateway: f.gateway})
	f.serve("h0", "10.0.0.1:81", handler)
	_, client := f.host("h1", "10.0.0.2:80", func(o *Options) {
		o.Reserver = emptyBank
		o.View = peerView{net: f.net, self: o.Self, hosts: map[record.HostID]string{"h0": "10.0.0.1:81", "h9": "10.0.0.9:81"}}
	}, Limits{})
	return client
}

func TestRequestIsForwardedToAHostWithBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{})
		client := f.hostWithoutBudget()
		got := readEvents(t, f.send(client, chat("r1", chatBody("10", true))), 0)
		got.requireComplete(t, 0)
		require.Equal(t, answerText(testAccount, "r1", 0, 10), got.text)
		for range 2 {
			resp := f.send(client, book("b1", "x"))
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Contains(t, readBody(t, resp), `"path":"/app/slabs"`)
		}
		// An ID made by the host that hands the call on.
		require.Equal(t, http.StatusOK, f.send(client, book("", "x")).StatusCode)
		synctest.Wait()
		require.Len(t, f.plain.Effects(), 2)
		require.Len(t, f.bank.spent(testAccount, "r1"), 1)
		require.Len(t, f.bank.spent(testAccount, "b1"), 1)
	})
}

func TestNoHostHoldsTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		f.bank.available = 0
		f.bank.holders = []record.Holder{{Host: "h1"}}
		p := readProblem(t, f.send(f.hostWithoutBudget(), book("b1", "x")))
		require.Equal(t, http.StatusPaymentRequired, p.Status)
		require.Equal(t, "not-run", p.Outcome)
	})
}

func TestHolderLostAfterForwardEndsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{})
		client := f.hostWithoutBudget()
		go func() {
			time.Sleep(3500 * time.Millisecond)
			f.net.Kill("h0", true)
		}()
		got := readEvents(t, f.send(client, chat("r1", chatBody("30", true))), 0)
		require.NotNil(t, got.err)
		require.Equal(t, "unknown", got.err.Hazel.Outcome)
	})
}

func TestHolderThatCannotBeDialedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{}, Limits{})
		client := f.hostWithoutBudget()
		f.net.Kill("h0", false)
		p := readProblem(t, f.send(client, book("b1", "x")))
		require.Equal(t, "not-run", p.Outcome)
	})
}
