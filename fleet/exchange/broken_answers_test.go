package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ending is how an upstream ends its connection after an answer, before it has read the request's body.
type ending func(c *net.TCPConn, body io.Reader)

// resetConn resets the connection.
func resetConn(c *net.TCPConn, _ io.Reader) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// endAndReset ends the answer in order, and then resets the connection.
func endAndReset(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite()
	resetConn(c, body)
}

// endAndRead ends the answer in order, and reads the request to its end.
func endAndRead(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
	_ = c.Close()
}

// endAndStand ends the answer in order, and reads nothing of the request's body until the connection is closed.
func endAndStand(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite()
	time.Sleep(20 * time.Millisecond)
	endAndRead(c, body)
}

// startUpstream starts an upstream that answers each request, before it has read its body, with the given
// bytes, and ends the connection. It returns its address.
func startUpstream(t *testing.T, answer string, end ending) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(c)
				if _, err := http.ReadRequest(reader); err != nil {
					_ = c.Close()
					return
				}
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn), reader)
			}()
		}
	}()
	return l.Addr().String()
}

// send sends a request with a long body, and reads the answer.
func send(t *testing.T, address string) (status int, body string, err error) {
	p := NewPool(address, Options{Dial: (&net.Dialer{}).DialContext, Dialect: anyDialect{}, ConnectTimeout: time.Second})
	defer p.Close()
	resp, err := p.Send(t.Context(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{make([]byte, 3<<20)}, HasBody: true})
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	text, err := io.ReadAll(resp)
	return resp.StatusCode, string(text), err
}

// answersWithoutLength are answers that end with their connection.
var answersWithoutLength = map[string]string{
	"success":  "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", 800),
	"empty":    "HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n" + strings.Repeat("a", 800),
	"events":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
	"failure":  "HTTP/1.1 500 Internal Server Error\r\n\r\nfail",
}

// tries is how often a test repeats what a race decides.
const tries = 25

// TestResetIsNotTheEndOfAnAnswer guards against a part of an answer that passes for all of it: the kernel
// reports a reset once, and if the writer of the request gets it, the reader of the answer sees an end.
func TestResetIsNotTheEndOfAnAnswer(t *testing.T) {
	for name, answer := range answersWithoutLength {
		t.Run(name, func(t *testing.T) {
			address, whole := startUpstream(t, answer, resetConn), 0
			for range tries {
				if _, _, err := send(t, address); err == nil {
					whole++
				}
			}
			require.Zero(t, whole, "answers that were taken for whole, of %d", tries)
		})
	}
}

// TestEarlyAnswersEndWithTheirConnection has the trouble that looks like a reset: an upstream ends its answer
// in order before it has read the request, and does with the rest of the request as it likes.
func TestEarlyAnswersEndWithTheirConnection(t *testing.T) {
	for how, end := range map[string]ending{"reads on": endAndRead, "does not read on": endAndStand, "resets": endAndReset} {
		for name, answer := range answersWithoutLength {
			t.Run(how+", "+name, func(t *testing.T) {
				address := startUpstream(t, answer, end)
				_, want, _ := strings.Cut(answer, "\r\n\r\n")
				for range tries {
					_, body, err := send(t, address)
					require.NoError(t, err)
					require.Equal(t, want, body)
				}
			})
		}
	}
}
