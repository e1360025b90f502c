package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/exchange"
)

// eventBufferBytes is the initial size of the buffer for events.
const eventBufferBytes = 2 << 10

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
	// surplusFactor and surplusEvents are how many events an upstream may send beyond those
	// that the request's longest answer has, as a factor and in events.
	surplusFactor = 2
	surplusEvents = 16
)

// forwardStream forwards a stream of events. It forwards each event as soon as it is
// complete, and no partial event.
func (c *call) forwardStream(ctx context.Context, resp *exchange.Response, lease *balancer.Lease) sendResult {
	buf := make([]byte, 0, eventBufferBytes)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := eventsEnd(buf); end > 0 {
			c.recordFirstEvent(lease)
			if c.unsafe = c.recordOrigin(ctx, resp, lease); c.unsafe != nil {
				return resultWithheld
			}
			if writeErr := c.forwardEvents(resp, buf[:end]); writeErr != nil {
				return resultLost
			}
			buf = buf[:copy(buf, buf[end:])]
		}
		if err == io.EOF && len(buf) == 0 && (c.events > 0 || !endsWithConnection(resp)) {
			return c.endStream(resp)
		}
		if err == nil && (len(buf) > maxEventBytes || c.tooManyEvents()) {
			c.r.log.Info("Answer without an end given up.", "request", c.req.ID, "upstream", lease.Upstream.ID, "events", c.events, "unfinished", len(buf))
			return resultLost
		}
		if err != nil {
			c.closedByPeer = exchange.IsClosedByPeer(err)
			return resultLost
		}
	}
}

// endsWithConnection reports whether only the end of the connection ends an answer. If it has
// no event, the upstream has broken it off.
func endsWithConnection(resp *exchange.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// tooManyEvents reports whether a stream has many more events than the request's longest answer.
func (c *call) tooManyEvents() bool {
	if c.req.Work == nil {
		return false
	}
	return c.events > surplusFactor*c.req.Work.MaxOutput/max(1, c.eventTokens())+surplusEvents
}

// eventsEnd returns the length of the complete events at the start of data.
func eventsEnd(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// forwardEvents sends complete events to the caller.
func (c *call) forwardEvents(resp *exchange.Response, events []byte) error {
	c.writeStreamHead(resp)
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	c.recordEvents(events)
	return http.NewResponseController(c.w).Flush()
}

func (c *call) writeStreamHead(resp *exchange.Response) {
	if c.answerStarted {
		return
	}
	c.answerStarted = true
	copyHeader(c.w.Header(), resp.Header)
	c.r.writeHead(c.w, resp.StatusCode)
}

// recordEvents counts events and records the ID of the last one.
func (c *call) recordEvents(events []byte) {
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.r.meters.eventGap.Update(now.Sub(c.lastEventAt).Microseconds())
	}
	c.lastEventAt = now
	for event := range bytes.SplitSeq(events, []byte("\n\n")) {
		if len(bytes.TrimSpace(event)) == 0 {
			continue
		}
		c.events++
		c.r.meters.events.Inc(1)
		if id := c.r.opt.Dialect.EventID(event); id != "" {
			c.lastEventID = id
		}
	}
}

func (c *call) endStream(resp *exchange.Response) sendResult {
	c.writeStreamHead(resp)
	c.status = resp.StatusCode
	return resultAnswered
}
