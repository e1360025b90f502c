package host

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
)

// restartTime is the time from a crash of an upstream to its next start.
const restartTime = 3 * time.Second

// servePlainCrashing replaces the plain upstream by one that crashes when it runs a call with
// the body, and starts again.
func (f *testFleet) servePlainCrashing(body string) {
	const addr = "10.1.0.2:80"
	f.net.Kill("p0", false)
	var handler http.HandlerFunc
	handler = func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body) // a call that was cut off crashes nothing
		if string(data) == body {
			f.net.Kill("p0", false)
			time.AfterFunc(restartTime, func() { f.serve("p0", addr, handler) })
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		f.plain.Handler().ServeHTTP(w, r)
	}
	f.serve("p0", addr, handler)
}

func (f *testFleet) bookBody(h *testHost, id, body string) *http.Response {
	return f.do(h, h.cfg.Listen.Caller, http.MethodPost, "/v1/services/firm/bookings/slabs", testKey, id, body)
}

// A call crashes the upstream that runs it and comes again at each host. After three crashes,
// one at each host, all hosts reject it, also one that has started since.
func TestHostsTellEachOtherOfCallsThatCrashUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		const poison = `{"slab":"poison"}`
		f.servePlainCrashing(poison)
		for i, h := range f.hosts {
			resp := f.bookBody(h, fmt.Sprint("crash", i), poison)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.Equal(t, "unknown", resp.Header.Get("Hazel-Outcome"))
			time.Sleep(restartTime + time.Second)
			require.Equal(t, http.StatusOK, f.book(h, fmt.Sprint("sound", i)).StatusCode)
		}
		f.start(len(f.hosts))
		time.Sleep(10 * time.Second)
		for i, h := range f.hosts {
			resp := f.bookBody(h, fmt.Sprint("again", i), poison)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, "not-run", resp.Header.Get("Hazel-Outcome"))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Contains(t, read(t, resp), "quarantined")
			require.Equal(t, http.StatusOK, f.book(h, fmt.Sprint("later", i)).StatusCode)
		}
		require.Equal(t, record.HostID("h3"), f.hosts[3].self.Host)
	})
}
