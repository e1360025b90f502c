package relay

import (
	"bytes"
	"io"
	"net/http"

	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/exchange"
)

// eventBufferBytes is the first size of the buffer for events.
const eventBufferBytes = 2 << 10

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// stream passes on a stream of events, each as it comes and none in part.
func (c *call) stream(resp *exchange.Response, lease *balancer.Lease) fate {
	buf := make([]byte, 0, eventBufferBytes)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := eventsEnd(buf); end > 0 {
			c.first(lease)
			if writeErr := c.pass(resp, buf[:end]); writeErr != nil {
				return fateLost
			}
			buf = buf[:copy(buf, buf[end:])]
		}
		if err == io.EOF && len(buf) == 0 {
			return c.endStream(resp)
		}
		if err != nil || len(buf) > maxEventBytes {
			return fateLost
		}
	}
}

// eventsEnd returns the length of the whole events at the begin of data.
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

// pass sends whole events to the caller.
func (c *call) pass(resp *exchange.Response, events []byte) error {
	c.beginStream(resp)
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	c.note(events)
	return http.NewResponseController(c.w).Flush()
}

func (c *call) beginStream(resp *exchange.Response) {
	if c.begun {
		return
	}
	c.begun = true
	copyHeader(c.w.Header(), resp.Header)
	c.r.writeHead(c.w, resp.StatusCode)
}

// note counts events and keeps the ID of the last one.
func (c *call) note(events []byte) {
	for event := range bytes.SplitSeq(events, []byte("\n\n")) {
		if len(bytes.TrimSpace(event)) == 0 {
			continue
		}
		c.events++
		c.r.meters.events.Inc(1)
		if id := c.r.opt.Dialect.EventID(event); id != "" {
			c.lastEvent = id
		}
	}
}

func (c *call) endStream(resp *exchange.Response) fate {
	c.beginStream(resp)
	c.status = resp.StatusCode
	return fateDone
}
