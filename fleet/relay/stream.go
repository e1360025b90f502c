package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/core/eventstream"
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

// errNoResumePoint reports that a stream has broken off after an event that no ID names, so that
// a run that goes on elsewhere would repeat it.
var errNoResumePoint = errors.New("the stream can't go on after an event without an ID")

// errInsideEvent reports that the answer has ended where a stream can't.
var errInsideEvent = fmt.Errorf("%w: the stream ends inside an event or without any", exchange.ErrBrokenOff)

// forwardStream forwards a stream of events. It forwards each event as soon as it is
// complete, and no partial event.
func (c *call) forwardStream(ctx context.Context, resp *exchange.Response, lease *balancer.Lease) sendResult {
	buf := make([]byte, 0, eventBufferBytes)
	// An answer that goes on after another one must not have a byte order mark in its middle.
	cutMark := c.answerStarted
	run := eventstream.NewScanner(c.resume)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		before := run.Events()
		if end := run.Scan(buf); end > 0 {
			if !c.mayPassOn(run.Events() > 0, lease) || !c.answerStarted && ctx.Err() != nil {
				return resultLost // the rest of it won't come
			}
			if c.unsafe = c.recordOrigin(ctx, resp, lease); c.unsafe != nil {
				return resultWithheld
			}
			complete := buf[:end]
			if cutMark {
				mark, _ := eventstream.LeadingMark(complete)
				complete, cutMark = complete[mark:], false
			}
			// Counted before they are written: after a failed write, any part may have arrived.
			c.recordEvents(run.Events()-before, len(complete), run.Resume())
			if writeErr := c.forwardEvents(resp, complete); writeErr != nil {
				return resultLost
			}
			buf = buf[:copy(buf, buf[end:])]
		}
		if err == io.EOF && len(buf) == 0 && (c.events > 0 || !endsWithConnection(resp)) {
			return c.endStream(resp)
		}
		if err == nil && (len(buf) > maxEventBytes || c.betweenEvents > maxEventBytes || c.tooManyEvents()) {
			c.r.log.Info("Answer without an end given up.", "request", c.req.ID, "upstream", lease.Upstream.ID, "events", c.events, "unfinished", len(buf))
			return resultLost
		}
		if err != nil {
			c.lostBy, c.closedByPeer = err, exchange.IsClosedByPeer(err)
			if err == io.EOF {
				c.lostBy = errInsideEvent
			}
			return resultLost
		}
	}
}

// mayPassOn reports whether a part of the stream may be passed on, after which the attempt is not given up.
// The first part may be a comment, without an event.
func (c *call) mayPassOn(hasEvent bool, lease *balancer.Lease) bool {
	if hasEvent {
		return c.recordFirstEvent(lease)
	}
	if c.answerStarted {
		return true
	}
	if !lease.PassOn() {
		return false
	}
	c.flight.Leave()
	return true
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

// forwardEvents sends complete events to the caller.
func (c *call) forwardEvents(resp *exchange.Response, events []byte) error {
	c.writeStreamHead(resp)
	if _, err := c.w.Write(events); err != nil {
		return err
	}
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

// recordEvents records that n events, which end at a point of the stream, and size bytes are
// passed on.
func (c *call) recordEvents(n int64, size int, end eventstream.Resume) {
	c.resume = end
	if n == 0 {
		c.betweenEvents += size
		return
	}
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.r.meters.eventGap.Update(now.Sub(c.lastEventAt).Microseconds())
	}
	c.lastEventAt, c.betweenEvents = now, 0
	c.events += n
	c.r.meters.events.Inc(n)
}

// confirmResume checks, before another attempt, that it can go on after the events that the
// caller has. The error is errNoResumePoint.
func (c *call) confirmResume() error {
	if !c.resume.Certain {
		return errNoResumePoint
	}
	return nil
}

func (c *call) endStream(resp *exchange.Response) sendResult {
	c.writeStreamHead(resp)
	c.status, c.streamed = resp.StatusCode, true
	return resultAnswered
}
