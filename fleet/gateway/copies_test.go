package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/fleet/problem"
)

// repeatAnswers serves a connection and sends a late copy of each answer before the next one.
func repeatAnswers(w http.ResponseWriter, r *http.Request) {
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	last := ""
	for {
		_, _ = io.Copy(io.Discard, r.Body)
		text := "answer to " + r.URL.Path
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			problem.HeaderRequestID, r.Header.Get(problem.HeaderRequestID), len(text), text)
		_, _ = io.WriteString(conn, last+answer)
		last = answer
		if r, err = http.ReadRequest(bufio.NewReader(rw)); err != nil {
			return
		}
	}
}

// An upstream sends a second copy of an answer, late, on a connection that is in use again.
// No caller gets the answer to another request.
func TestLateCopyOfAnAnswerIsNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := plainFixture(t, Limits{}, http.HandlerFunc(repeatAnswers))
		svc, _ := f.set.Service("mokoena/booking")
		svc.Repeatable = true // others get a new connection each
		answered := 0
		for i := range 10 {
			path := fmt.Sprintf("/a%d", i)
			resp := f.send(f.client, testRequest{method: http.MethodGet, path: "/v1/services/mokoena/booking" + path})
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			if resp.StatusCode == http.StatusOK {
				answered++
				require.Equal(t, "answer to "+path, string(body))
			}
		}
		require.GreaterOrEqual(t, answered, 5)
	})
}
