package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/standin/engine"
)

// fullPicker has no upstream for calls after the first one.
type fullPicker struct {
	*fakePicker
	calls int
}

// Pick implements dispatch.Picker.
func (p *fullPicker) Pick(ctx context.Context, q dispatch.Query) (dispatch.Lease, error) {
	if p.calls++; p.calls == 1 {
		return p.fakePicker.Pick(ctx, q)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// A request waits for an upstream as the host ends. It is refused, and costs nothing; one that an upstream
// works on goes on.
func TestRequestsThatWaitForAnUpstreamAtTheEndAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine.Options{TokenInterval: time.Second}, Limits{})
		g, client := f.host("h1", "10.0.0.2:80", func(o *Options) { o.Picker = &fullPicker{fakePicker: f.picker} }, Limits{})
		sent := f.send(client, chat("sent", chatBody("10", true)))
		time.AfterFunc(3*time.Second, g.RefuseWaiting)
		began := time.Now()
		resp := f.send(client, book("waiting", "x"))
		p := readProblem(t, resp)
		require.Equal(t, http.StatusServiceUnavailable, p.Status)
		require.Equal(t, "not-run", p.Outcome)
		require.Positive(t, p.RetryAfter)
		require.Less(t, time.Since(began), 4*time.Second)
		got := readEvents(t, sent, 0)
		got.requireComplete(t, 0)
		require.Empty(t, f.bank.spent(testAccount, "waiting"))
		require.Zero(t, f.bank.openReservations())
		require.Empty(t, f.plain.Effects())
	})
}
