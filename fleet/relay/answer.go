package relay

import (
	"io"
	"net/http"
	"strconv"

	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/exchange"
)

// maxAnswerBytes bounds an answer that is buffered until it is complete.
const maxAnswerBytes = 4 << 20

// forwardWhole forwards an answer that is not a stream once it is complete, or as it comes
// if it is longer than maxAnswerBytes.
func (c *call) forwardWhole(resp *exchange.Response, lease *balancer.Lease) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswerBytes+1))
	if err != nil {
		c.closedByPeer = exchange.IsClosedByPeer(err)
		return resultLost
	}
	c.recordFirstEvent(lease)
	if len(body) > maxAnswerBytes {
		return c.forwardLarge(resp, body)
	}
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() && c.runs < c.route.Attempts {
		return resultFailed
	}
	copyHeader(c.w.Header(), resp.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.r.writeHead(c.w, resp.StatusCode)
	// The error is ignored: a caller that has left needs no answer.
	_, _ = c.w.Write(body)
	c.answered = resp.StatusCode < http.StatusMultipleChoices
	c.status = resp.StatusCode
	return resultAnswered
}

// forwardLarge forwards an answer of which the first part was read. If the rest is lost, the
// caller's connection is cut, and no other attempt is made: the caller has a part of this
// answer.
func (c *call) forwardLarge(resp *exchange.Response, first []byte) sendResult {
	copyHeader(c.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.answerStarted = true
	c.r.writeHead(c.w, resp.StatusCode)
	if _, err := c.w.Write(first); err != nil {
		return resultLost
	}
	if _, err := io.Copy(c.w, resp); err != nil {
		return resultLost
	}
	c.answered = resp.StatusCode < http.StatusMultipleChoices
	c.status = resp.StatusCode
	return resultAnswered
}

// hopHeaders are headers that concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date"}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
	dst["Date"] = src["Date"]
}
