package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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

// countedWrites counts the writes to a connection.
type countedWrites struct {
	net.Conn
	n *atomic.Int64
}

// Write implements net.Conn.
func (c *countedWrites) Write(p []byte) (int, error) {
	c.n.Add(1)
	return c.Conn.Write(p)
}

// A usual body takes one write, also on a connection that is wrapped, as hostmeter's are.
func TestUsualBodyIsOneWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		req, _ := http.ReadRequest(bufio.NewReader(c))
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}()
	var writes atomic.Int64
	p := NewPool(l.Addr().String(), Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countedWrites{c, &writes}, err
	}, Dialect: anyDialect{}, ConnectTimeout: time.Second})
	body := [][]byte{make([]byte, 1<<10), make([]byte, 3<<10), make([]byte, 12<<10), make([]byte, 16<<10), make([]byte, 8<<10)}
	resp, err := p.Send(context.Background(), &Request{ID: "a", Method: "POST", Target: "/", Host: "a", Header: http.Header{}, Body: body, HasBody: true})
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp)
	resp.Close()
	require.EqualValues(t, 1, writes.Load())
}
