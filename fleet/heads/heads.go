// Package heads checks the heads of HTTP answers. Package net/http accepts more than the protocol allows.
package heads

import (
	"fmt"
	"net/http"
	"strings"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// Check returns an error if an answer has a head that is not valid. The request must not have asked for another
// protocol.
func Check(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return fmt.Errorf("invalid status %03d", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("status %d without a request for another protocol", resp.StatusCode)
	}
	for name := range resp.Header {
		if !isToken(name) {
			return fmt.Errorf("invalid field name %q", name)
		}
	}
	return nil
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2). Package net/http allows blanks in the
// names of fields, and does not take a name with one before the colon for that of the field: the length or the
// coding of the body that it states is not seen.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return !isTokenChar(c) })
}

func isTokenChar(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// Checked returns a transport that fails if the head of the answer is not valid.
func Checked(next http.RoundTripper) http.RoundTripper { return checked{next} }

type checked struct{ http.RoundTripper }

// RoundTrip implements [http.RoundTripper].
func (c checked) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("malformed answer: %w", err)
	}
	return resp, nil
}
