package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// pieceBytes is the size of the pieces in which a body is relayed.
const pieceBytes = 8 << 10

const kib = 1 << 10

// plainWork is the work of a call of a plain service.
type plainWork struct {
	c      *call
	method string
	// target is the path and query, relative to the upstream's URL.
	target  string
	header  http.Header
	body    *plainBody
	timeout time.Duration
	// received is the number of bytes of the answer's body so far.
	received int64
}

func (p *plainWork) query(*dispatch.Query)      {}
func (p *plainWork) replayable() bool           { return p.body.replayable() }
func (p *plainWork) idleTimeout() time.Duration { return p.timeout }
func (p *plainWork) cut() bool                  { return false }
func (p *plainWork) restart()                   { p.received = 0 }

func (p *plainWork) price() settings.Price { return p.c.service.Price }

func (p *plainWork) maxBody() int64 {
	return orDefault(p.c.service.MaxBodyBytes, defaultServiceBody)
}

func (p *plainWork) maxCost() record.Tokens {
	size := p.body.length
	if size < 0 {
		size = p.maxBody()
	}
	return p.priceOf(size, p.maxBody())
}

func (p *plainWork) priceOf(sent, received int64) record.Tokens {
	kibs := (sent+kib-1)/kib + (received+kib-1)/kib
	return p.price().PerCall + p.price().PerKiB*record.Tokens(kibs)
}

// cost returns the cost of a call that ran or may have run.
func (p *plainWork) cost(record.Outcome) (record.Tokens, stream.Usage) {
	return p.priceOf(p.body.bytesRead(), p.received), stream.Usage{}
}

func (p *plainWork) newRequest(ctx context.Context, up settings.Upstream, timer *idleTimer) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, p.method, strings.TrimSuffix(up.URL, "/")+p.target, nil)
	if err != nil {
		return nil, fmt.Errorf("gateway: upstream %s: %w", up.ID, err)
	}
	req.Header = p.header.Clone()
	req.Header.Set(problem.HeaderRequestID, request.UpstreamID(p.c.req.Account, p.c.req.ID))
	// The body is never nil, even if it is empty: net/http sends a request
	// without a body again on its own after a connection is lost.
	req.Body = p.body.reader(timer)
	req.ContentLength = p.body.length
	return req, nil
}

func (p *plainWork) resumeRequest(context.Context, settings.Upstream) (*http.Request, error) {
	return nil, nil
}

func (p *plainWork) cancelRequest(context.Context, settings.Upstream) (*http.Request, error) {
	return nil, nil
}

func (p *plainWork) receive(ctx context.Context, timer *idleTimer, resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return fmt.Errorf("the upstream wants to switch protocols")
	}
	timer.markFirstByte()
	answer := p.c.req.Answer
	if resp.ContentLength == 0 {
		p.billAndWait(timer)
	}
	answer.SetHead(stream.Head{Status: resp.StatusCode, Header: endToEnd(resp.Header)})
	piece := make([]byte, pieceBytes)
	for {
		n, err := resp.Body.Read(piece)
		timer.touch()
		p.received += int64(n)
		if p.price().PerKiB > 0 && p.received > p.maxBody() {
			return errTooLarge
		}
		if n > 0 && p.received == resp.ContentLength {
			p.billAndWait(timer)
		}
		if n > 0 {
			if err := appendPiece(ctx, timer, answer, piece[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// billAndWait bills the call before the last byte of an answer of known length is
// relayed. The end of an answer of unknown length always follows its bill.
func (p *plainWork) billAndWait(timer *idleTimer) {
	cost, _ := p.cost(record.OutcomeAnswered)
	p.c.billAndWait(timer, cost)
}

// appendBody appends a body to an answer in pieces.
func appendBody(ctx context.Context, timer *idleTimer, answer *stream.Buffer, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), pieceBytes)
		if err := appendPiece(ctx, timer, answer, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

func appendPiece(ctx context.Context, timer *idleTimer, answer *stream.Buffer, piece []byte) error {
	ok, err := answer.TryAppend(piece)
	if ok || err != nil {
		return err
	}
	timer.pause()
	defer timer.resume()
	return answer.Append(ctx, piece)
}
