package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/core/routes"
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
