package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type anyDialect struct{}

func (anyDialect) Belongs(*http.Response, string, bool) bool { return true }

// newPipePool returns a pool whose connections an upstream serves.
func newPipePool(upstream func(net.Conn)) *Pool {
	return NewPool("upstream", Options{ConnectTimeout: time.Second, MaxIdle: time.Second, Dialect: anyDialect{},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go upstream(far)
			return near, nil
		}})
}

func TestBodyInPartsIsSentInOrder(t *testing.T) {
	for _, size := range []int{0, 1, asyncBodyBytes, 100 << 10} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		got := make(chan []byte, 1)
		p := newPipePool(func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			read, _ := io.ReadAll(r.Body)
			got <- read
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		var parts [][]byte
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 1000)
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		for range 2 { // the parts are not changed
			written := make(chan struct{})
			resp, err := p.Send(t.Context(), &Request{Method: "POST", Target: "/", Host: "h", Body: parts, Written: func() { close(written) }, HasBody: true, NewConn: true})
			require.NoError(t, err)
			require.Equal(t, body, append([]byte{}, <-got...))
			<-written
			resp.Close()
		}
	}
}

// An upstream answers without having read the body. The body is in use until its connection is closed.
func TestBodyIsInUseUntilItIsWritten(t *testing.T) {
	p := newPipePool(func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	written := make(chan struct{})
	resp, err := p.Send(t.Context(), &Request{Method: "POST", Target: "/", Host: "h", Body: [][]byte{make([]byte, 100<<10)}, Written: func() { close(written) }, HasBody: true})
	require.NoError(t, err)
	_, err = io.ReadAll(resp)
	require.NoError(t, err)
	select {
	case <-written:
		t.Fatal("it is not written")
	case <-time.After(20 * time.Millisecond):
	}
	resp.Close()
	<-written
}

func TestBodyThatIsNotSentIsNotInUse(t *testing.T) {
	failed := NewPool("upstream", Options{ConnectTimeout: time.Second, Dialect: anyDialect{},
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for p, ctx := range map[*Pool]context.Context{failed: t.Context(), newPipePool(func(net.Conn) {}): ended} {
		written := 0
		_, err := p.Send(ctx, &Request{Method: "POST", Target: "/", Host: "h", Body: [][]byte{{1}}, Written: func() { written++ }, HasBody: true})
		require.ErrorIs(t, err, ErrNotSent)
		require.Equal(t, 1, written)
	}
}
