package placer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOrderIsNotAcceptedByAMalformedAnswer guards against an order that counts as accepted because the status of
// its answer is below 300 and none of HTTP.
func TestOrderIsNotAcceptedByAMalformedAnswer(t *testing.T) {
	for status, accepted := range map[string]bool{"000 None": false, "202 Accepted": true} {
		near, far := net.Pipe()
		go func() {
			req, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(far, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		}()
		s := newService(&Placer{opt: Options{Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }}}, "service")
		err := s.client.put(t.Context(), "http://u.test", placementBody{})
		require.Equal(t, accepted, err == nil, "%s: %v", status, err)
		_ = near.Close()
	}
}
