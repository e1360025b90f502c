package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/exchange"
)

const (
	// maxAnswerBytes bounds an answer that is buffered until it is complete.
	maxAnswerBytes = 4 << 20
	// firstAnswerBytes is the size of the first buffer, which doubles.
	firstAnswerBytes = 512
	// freeAnswerBytes is the size up to which any answer is buffered.
	freeAnswerBytes = 4 << 10
	// maxBufferedBytes bounds the buffers of all longer answers together, and bufferedShare is the
	// share of the machine's memory that they may take.
	maxBufferedBytes = 16 << 20
	bufferedShare    = 1.0 / 8
)

// bufferBudget is the memory that answers may use together, beyond freeAnswerBytes of each.
type bufferBudget struct {
	// limit is in bytes; zero means maxBufferedBytes.
	limit int

	mu   sync.Mutex
	used int
}

// newBufferBudget returns the budget on a machine with memory bytes, or zero if that is not known.
func newBufferBudget(memory int64) *bufferBudget {
	return &bufferBudget{limit: min(maxBufferedBytes, int(bufferedShare*float64(memory)))}
}

// take reserves n bytes. It returns false, without effect, if too few are left.
func (b *bufferBudget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > cmp.Or(b.limit, maxBufferedBytes) {
		return false
	}
	b.used += n
	return true
}

func (b *bufferBudget) giveBack(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// readAnswer reads an answer as far as it may be buffered. It returns true if that is all of
// it. The caller gives back what was taken of the budget.
func (b *bufferBudget) readAnswer(r io.Reader) (body []byte, taken int, whole bool, err error) {
	for size := firstAnswerBytes; ; size *= 2 {
		body = append(make([]byte, 0, size), body...)
		for len(body) < size {
			n, err := r.Read(body[len(body):size])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, taken, true, nil
			}
			if err != nil {
				return body, taken, false, err
			}
		}
		switch {
		case size < freeAnswerBytes:
			continue
		case size == maxAnswerBytes || !b.take(size):
			return body, taken, false, nil
		}
		taken += size
	}
}

// forwardWhole forwards an answer that is not a stream once it is complete, or as it comes
// if it is too long to be buffered.
func (c *call) forwardWhole(ctx context.Context, resp *exchange.Response, lease *balancer.Lease) sendResult {
	body, taken, whole, err := c.r.buffers.readAnswer(resp)
	defer c.r.buffers.giveBack(taken)
	if err != nil {
		c.lostBy, c.closedByPeer = err, exchange.IsClosedByPeer(err)
		return resultLost
	}
	started := (!whole || isSuccess(resp.StatusCode)) && c.recordFirstEvent(lease)
	if !whole {
		if !started || ctx.Err() != nil {
			return resultLost // the rest of it won't come
		}
		return c.forwardLarge(resp, body)
	}
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() && c.runs < c.route.Attempts {
		return resultFailed
	}
	c.dropBody()
	copyHeader(c.w.Header(), resp.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.r.writeHead(c.w, resp.StatusCode)
	// The error is ignored: a caller that has left needs no answer.
	_, _ = c.w.Write(body)
	c.answered = isSuccess(resp.StatusCode)
	c.status = resp.StatusCode
	return resultAnswered
}

func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// forwardLarge forwards an answer of which the first part was read. If the rest is lost, the
// caller's connection is cut, and no other attempt is made: the caller has a part of this
// answer.
func (c *call) forwardLarge(resp *exchange.Response, first []byte) sendResult {
	copyHeader(c.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.answerStarted = true
	c.dropBody()
	c.r.writeHead(c.w, resp.StatusCode)
	if _, err := c.w.Write(first); err != nil {
		return resultLost
	}
	if _, err := io.Copy(c.w, resp); err != nil {
		c.lostBy = err
		return resultLost
	}
	c.answered = isSuccess(resp.StatusCode)
	c.status = resp.StatusCode
	return resultAnswered
}

// hopHeaders are headers that concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date"}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !strings.HasPrefix(name, internalPrefix) {
			dst[name] = values
		}
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
	dst["Date"] = src["Date"]
}
