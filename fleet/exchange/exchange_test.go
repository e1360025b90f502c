package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type anyDialect struct{}

func (anyDialect) Belongs(*http.Response, string, bool) bool { return true }

// An upstream answers without having read the body. The body is in use until its connection is closed.
func TestBodyIsInUseUntilItIsWritten(t *testing.T) {
	p := NewPool("upstream", Options{ConnectTimeout: time.Second, Dialect: anyDialect{},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}()
			return near, nil
		}})
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
