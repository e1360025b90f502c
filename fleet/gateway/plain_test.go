package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/problem"
)

func TestPlainHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen *http.Request
		f := plainFixture(t, Limits{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen = r
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.Header().Set("X-Kept", "1")
			w.Header().Set("Hazel-Load", "running=1")
			w.Header().Set(problem.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusTeapot)
		}))
		s := testRequest{method: http.MethodPatch, path: "/v1/services/mokoena/booking/a%2Fb/c?q=1&r=%20", header: map[string]string{
			"Connection": "X-Mine", "X-Mine": "1", "X-Passed": "1", "Te": "trailers", "Hazel-Service": "x", "Proxy-Authorization": "p",
		}}
		resp := f.send(f.client, s)
		require.Equal(t, http.StatusTeapot, resp.StatusCode)
		require.Equal(t, http.MethodPatch, seen.Method)
		require.Equal(t, "/a%2Fb/c?q=1&r=%20", seen.RequestURI)
		for _, name := range []string{"X-Mine", "Te", "Hazel-Service", "Proxy-Authorization", "Authorization"} {
			require.Empty(t, seen.Header.Get(name), name)
		}
		require.Equal(t, "1", seen.Header.Get("X-Passed"))
		require.NotEmpty(t, seen.Header.Get("Via"))
		require.Empty(t, resp.Header.Get("X-Hop"))
		require.Empty(t, resp.Header.Get("Hazel-Load"))
		require.Equal(t, "1", resp.Header.Get("X-Kept"))
		require.Equal(t, "answered", resp.Header.Get(problem.HeaderOutcome))
	})
}

// echo sends each piece of the body back when it arrives.
func echo(w http.ResponseWriter, r *http.Request) {
	ctrl := http.NewResponseController(w)
	_ = ctrl.EnableFullDuplex()
	piece := make([]byte, 1024)
	for {
		n, err := r.Body.Read(piece)
		_, _ = w.Write(piece[:n])
		_ = ctrl.Flush()
		if err != nil {
			return
		}
	}
}

func TestPlainBodiesStreamBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := plainFixture(t, Limits{ReplayBytes: 16}, http.HandlerFunc(echo))
		body, in := io.Pipe()
		go func() { _, _ = io.WriteString(in, "the first 16 byte and more;") }()
		s := book("b1", "")
		s.body = body
		resp := f.send(f.client, s)
		got := make([]byte, 27)
		_, err := io.ReadFull(resp.Body, got)
		require.NoError(t, err)
		require.Equal(t, "the first 16 byte and more;", string(got))
		// Longer than the idle timeout: the upstream has nothing to send while
		// the caller sends nothing.
		time.Sleep(5 * time.Second)
		go func() {
			_, _ = io.WriteString(in, "end")
			_ = in.Close()
		}()
		rest, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "end", string(rest))
		synctest.Wait()
		// 5 for the call and 1 for each body of up to 1 KiB.
		require.Equal(t, []record.Tokens{7}, f.bank.spent(testAccount, "b1"))
	})
}

func TestLargePlainAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := strings.Repeat("0123456789", 20<<10)
		f := plainFixture(t, Limits{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, text)
		}))
		require.Equal(t, text, readBody(t, f.send(f.client, book("b1", "x"))))
		synctest.Wait()
		require.Equal(t, []record.Tokens{5 + 1 + 200}, f.bank.spent(testAccount, "b1"))
		// An answer that is no longer kept is reported as such; the call is not
		// run again.
		p := readProblem(t, f.send(f.client, book("b1", "x")))
		require.Equal(t, http.StatusGone, p.Status)
		require.Equal(t, "answered", p.Outcome)
	})
}

func TestPlainAnswerAboveItsReservationIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := plainFixture(t, Limits{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
		}))
		resp := f.send(f.client, book("b1", "x"))
		_, err := io.ReadAll(resp.Body)
		require.Error(t, err, "an incomplete body must not look complete")
		synctest.Wait()
		require.Equal(t, []record.Tokens{5 + 1 + 256}, f.bank.spent(testAccount, "b1"))
	})
}

func TestCallerLeavesWhileItsBodyIsStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := plainFixture(t, Limits{ReplayBytes: 16}, http.HandlerFunc(echo))
		body, in := io.Pipe()
		go func() { _, _ = io.WriteString(in, strings.Repeat("x", 100)) }()
		s := book("b1", "")
		s.body = body
		resp := f.send(f.client, s)
		_ = resp.Body.Close()
		_ = in.CloseWithError(io.ErrUnexpectedEOF)
		time.Sleep(time.Minute)
		require.Zero(t, f.gateway.Running())
		require.Equal(t, "unknown", f.gateway.table.FindByID("b1")[0].Outcome().String())
		require.Len(t, f.bank.spent(testAccount, "b1"), 1)
	})
}

func TestHeadRequestKeepsContentLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := plainFixture(t, Limits{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
		}))
		resp := f.send(f.client, testRequest{method: http.MethodHead, path: "/v1/services/mokoena/booking/x"})
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "1000", resp.Header.Get("Content-Length"))
		require.Empty(t, readBody(t, resp))
	})
}
