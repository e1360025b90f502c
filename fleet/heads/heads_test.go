package heads

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// answerWith is a transport that returns the answer in a text.
type answerWith string

// RoundTrip implements [http.RoundTripper].
func (a answerWith) RoundTrip(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(strings.NewReader(string(a))), req)
}

// get returns the error of reading the head of an answer.
func get(t *testing.T, answer string) error {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u.test/", nil)
	require.NoError(t, err)
	resp, err := Checked(answerWith(answer)).RoundTrip(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return err
}

// Each byte in the name of a field is either one of a token (RFC 9110, section 5.6.2) or refused.
func TestFieldNames(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for b := range 256 {
		c := string([]byte{byte(b)})
		for _, name := range []string{"X" + c + "Y", "X" + c, c + "Y"} {
			if c == "\n" || c == "\r" || c == ":" || (c == " " || c == "\t") && name[0] == c[0] {
				continue // ends the line or the name, or goes on with the line before
			}
			err := get(t, "HTTP/1.1 200 OK\r\n"+name+": 1\r\nContent-Length: 0\r\n\r\n")
			require.Equal(t, strings.Contains(token, c), err == nil, "%q: %v", name, err)
		}
	}
	require.Error(t, get(t, "HTTP/1.1 200 OK\r\n: 1\r\n\r\n"))
	require.Error(t, get(t, "HTTP/1.1 200 OK\r\n : 1\r\n\r\n"))
	require.NoError(t, get(t, "HTTP/1.1 200 OK\r\n\r\n"))
}

// Each status of three digits is either one of HTTP or refused.
func TestStatuses(t *testing.T) {
	for status := range 1000 {
		err := get(t, fmt.Sprintf("HTTP/1.1 %03d Text\r\n\r\n", status))
		require.Equal(t, status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols, err == nil, "%d: %v", status, err)
	}
	for _, status := range []string{"+99", "-10", "0x1", "20", "2000", "", " "} {
		require.Error(t, get(t, "HTTP/1.1 "+status+" Text\r\n\r\n"), status)
	}
}
