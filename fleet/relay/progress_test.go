package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// rejectingDecoder rejects all requests.
type rejectingDecoder struct{ RequestDecoder }

// Decode implements RequestDecoder.
func (rejectingDecoder) Decode(*http.Request) (*Request, error) { return nil, errors.New("rejected") }

// Other hosts forward requests while a leaving host waits for its last ones. A wait group that is used
// again during a wait panics, and the end of the process cuts all answers.
func TestRequestsThatBeginDuringTheWaitForTheLastOnes(t *testing.T) {
	r := New(Options{Decoder: rejectingDecoder{}, Logger: logr.Discard(), Metrics: metrics.NewRegistry()})
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for ctx.Err() == nil {
				r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", http.NoBody))
			}
		})
	}
	for range 4 {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = r.Wait(ctx)
			}
		})
	}
	group.Wait()
	require.NoError(t, r.Wait(t.Context()), "nothing is in progress")
}
