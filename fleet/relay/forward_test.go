package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
)

// headerDecoder passes no header on.
type headerDecoder struct{ RequestDecoder }

func (headerDecoder) Forwarded(*http.Request, time.Duration) http.Header { return http.Header{} }

// A host of a build without [ForwardPath] answers 404 without the request's ID. It has not run the
// request, which goes to the next host at once.
func TestHostsThatCannotForwardHaveNotRunTheRequest(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	earlier := roster.Host{ID: "h2", Peer: netip.MustParseAddrPort(server.Listener.Addr().String())}
	r := &Relay{opt: Options{Decoder: headerDecoder{}}, helpers: newHelpers(ForwardOptions{Dial: (&net.Dialer{}).DialContext})}
	c := &call{r: r, table: &routes.Table{}, req: &Request{ID: "r1", Method: http.MethodGet, Target: "/look/1"}, hr: httptest.NewRequest(http.MethodGet, "/look/1", nil)}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for range 2 {
		result, err := c.forwardTo(ctx, earlier)
		require.Equal(t, forwardNotRun, result, "%v", err)
		require.NoError(t, ctx.Err())
	}
}

// TestRefusalOfAnotherHostNeedsItsWord guards against a status that states that a request has not
// run, which a host of an earlier build passes on from an upstream that has run it, and against a
// true one after an attempt at a third host whose answer was lost.
func TestRefusalOfAnotherHostNeedsItsWord(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		stated bool
		lost   int
		want   forwardResult
		code   int
	}{
		{"its own", 503, true, 0, forwardAnswered, 503},
		{"passed on by an earlier build", 503, false, 0, forwardLost, 200},
		{"another status of an earlier build", 429, false, 0, forwardLost, 200},
		{"after a lost answer", 503, true, 1, forwardAnswered, 502},
		{"another failure", 500, false, 0, forwardAnswered, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
				w.Header().Set(headerForwardID, hr.Header.Get(headerForwardID))
				w.Header().Set("Retry-After", "1")
				if c.stated {
					w.Header().Set(headerForwardNotRun, "1")
				}
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			r := &Relay{opt: Options{Decoder: headerDecoder{}, Logger: logr.Discard()}, helpers: newHelpers(ForwardOptions{Dial: (&net.Dialer{}).DialContext})}
			w := httptest.NewRecorder()
			call := &call{r: r, w: w, table: &routes.Table{}, route: &routes.Route{}, req: &Request{ID: "r1", Method: http.MethodPost, Target: "/book/1"},
				hr: httptest.NewRequest(http.MethodPost, "/book/1", nil), runs: c.lost,
				flight: quarantine.New(quarantine.Options{Logger: logr.Discard(), Metrics: metrics.NewRegistry()}).Enter(nil, 0, nil)}
			result, err := call.forwardTo(t.Context(), roster.Host{ID: "h2", Peer: netip.MustParseAddrPort(server.Listener.Addr().String())})
			require.Equal(t, c.want, result, "%v", err)
			require.Equal(t, c.code, w.Code)
			require.Equal(t, c.code == 503 || c.code == 500, w.Header().Get("Retry-After") != "")
			require.Empty(t, w.Header().Get(headerForwardNotRun))
		})
	}
}
