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
	"github.com/hazelworks/hazelworks/fleet/callerserver"
)

// All connections at another host's port are taken by requests that are handled. A request that can't be
// forwarded there has not run, so that it goes to the next host or is refused, with a body or without one.
func TestHostWithAFullPortHasNotRunTheRequest(t *testing.T) {
	busy, end := make(chan struct{}, 1), make(chan struct{})
	server := callerserver.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		busy <- struct{}{}
		<-end
	}), callerserver.Limits{HeaderTimeout: time.Second}, func(error) {}, callerserver.WithConnLimit(callerserver.ConnLimit{
		Port: "peers", Conns: 1, Refusal: RefusalAtFullPort, Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	defer close(end)
	holder, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = holder.Close() }()
	_, err = holder.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	<-busy
	full := roster.Host{ID: "h2", Peer: netip.MustParseAddrPort(l.Addr().String())}
	r := &Relay{opt: Options{Decoder: headerDecoder{}}, helpers: newHelpers(ForwardOptions{Dial: (&net.Dialer{}).DialContext})}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for _, size := range []int{0, 100, 64 << 10, 4 << 20} {
		for range 20 {
			c := &call{r: r, table: &routes.Table{}, req: &Request{ID: "r1", Method: http.MethodPost, Target: "/book/1", HasBody: size > 0},
				hr: httptest.NewRequest(http.MethodPost, "/book/1", nil)}
			if size > 0 {
				c.req.body = &body{blocks: [][]byte{make([]byte, size)}}
				c.req.body.users.Store(1)
			}
			result, err := c.forwardTo(ctx, full)
			require.Equal(t, forwardNotRun, result, "%d bytes: %v", size, err)
		}
	}
}
