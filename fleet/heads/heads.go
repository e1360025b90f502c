// Package heads checks the heads of HTTP answers. Package net/http accepts more than the protocol allows.
package heads

import (
	"fmt"
	"net/http"
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
	return nil
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
