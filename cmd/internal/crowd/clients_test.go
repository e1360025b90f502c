package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

var requestCount atomic.Uint64

func nextRequestID() string { return fmt.Sprintf("%016x", requestCount.Add(1)) }

// refusals are the requests that were refused with a status which promises that they did not run.
type refusals struct {
	mu       sync.Mutex
	statuses map[string]int
	answers  map[int]int
}

// promises reports whether a status says that the request has not run and will not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// note records the status of a request; 0 means that the connection closed without one.
func (r *refusals) note(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.statuses == nil {
		r.statuses, r.answers = make(map[string]int), make(map[int]int)
	}
	r.answers[status]++
	if promises(status) {
		r.statuses[id] = status
	}
}

// snapshot returns the refused requests with their statuses, and the number of answers by status.
func (r *refusals) snapshot() (statuses map[string]int, answers string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses = make(map[string]int)
	for id, status := range r.statuses {
		statuses[id] = status
	}
	return statuses, fmt.Sprint(r.answers)
}

// members are the clients of crowds that are running.
type members struct {
	ctx      context.Context
	cancel   context.CancelFunc
	refusals *refusals
	// head returns the head of a request with an ID up to its framing.
	head func(path, id string) string

	all     sync.WaitGroup
	settled sync.WaitGroup
	// turn is held while a piece is sent in turn. Its waiters get it in their order.
	turn chan struct{}
}

func newMembers(refusals *refusals, head func(path, id string) string) *members {
	ctx, cancel := context.WithCancel(context.Background())
	return &members{ctx: ctx, cancel: cancel, refusals: refusals, head: head, turn: make(chan struct{}, 1)}
}

// start starts the clients of a crowd at an address.
func (m *members) start(c crowd, address string) {
	for i := range c.clients {
		member := &client{members: m, crowd: c, address: address}
		if len(c.paths) > 0 {
			member.path = c.paths[i%len(c.paths)]
		}
		m.settled.Add(1)
		m.all.Go(member.run)
	}
}

// awaitSettled waits until all clients have sent what they send or have given up, or for at most a time:
// a host need not read from all of them.
func (m *members) awaitSettled(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		m.settled.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// leave closes all connections and waits for the clients.
func (m *members) leave() {
	m.cancel()
	m.all.Wait()
}

// client is one client of a crowd.
type client struct {
	*members
	crowd   crowd
	address string
	path    string
	once    sync.Once
}

func (c *client) settle() { c.once.Do(c.settled.Done) }

// run connects, and once more if it is refused or closed.
func (c *client) run() {
	defer c.settle()
	for range 2 {
		if c.converse() || c.ctx.Err() != nil {
			return
		}
	}
}

// converse sends the client's requests on one connection and keeps it open. It returns false if it is
// refused or the connection is closed.
func (c *client) converse() bool {
	dialer := net.Dialer{Timeout: 5 * time.Second}
	conn, err := dialer.DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(c.ctx, func() { _ = conn.Close() })()
	if c.crowd.unread {
		_ = conn.(*net.TCPConn).SetReadBuffer(unreadBufferBytes)
	}
	reader := bufio.NewReader(conn)
	for range max(1, c.crowd.requests) {
		if !c.request(conn, reader) {
			return false
		}
	}
	return true
}

// request sends one request. It returns true if it was answered with status 200.
func (c *client) request(conn net.Conn, reader *bufio.Reader) bool {
	if c.path == "" {
		c.settle()
		_, _ = reader.Peek(1) // until the host closes the connection
		return false
	}
	id := nextRequestID()
	if c.crowd.unread {
		if c.send(conn, id) {
			c.settle()
			<-c.ctx.Done()
		}
		return false
	}
	status := make(chan int, 1)
	go func() { status <- c.readAnswer(conn, reader, id) }()
	if c.send(conn, id) && !c.crowd.whole() {
		c.settle()
	}
	return <-status == http.StatusOK
}

// readAnswer reads and records an answer. It closes the connection unless the status is 200. It returns
// 0 if there is no whole answer.
func (c *client) readAnswer(conn net.Conn, reader *bufio.Reader, id string) int {
	status := 0
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if c.ctx.Err() == nil {
		c.refusals.note(id, status)
	}
	if err != nil || status != http.StatusOK {
		_ = conn.Close()
		return 0
	}
	return status
}

// inTurnTimeout bounds the time for which a client holds the turn of its crowd.
const inTurnTimeout = 5 * time.Millisecond

// send sends the head and the body. It returns false if the connection is closed before.
func (c *client) send(conn net.Conn, id string) bool {
	if _, err := io.WriteString(conn, c.requestHead(id)); err != nil {
		return false
	}
	if c.crowd.headBytes > 0 {
		return true
	}
	for offset := int64(0); ; {
		piece := c.crowd.body.at(offset)
		if len(piece) == 0 {
			return true
		}
		n, err := c.write(conn, piece)
		offset += int64(n)
		if err != nil {
			return false
		}
	}
}

// write writes a piece or, in turn, what the host takes of it at once.
func (c *client) write(conn net.Conn, piece []byte) (int, error) {
	if !c.crowd.inTurn {
		return conn.Write(piece)
	}
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	_ = conn.SetWriteDeadline(time.Now().Add(inTurnTimeout))
	n, err := conn.Write(piece)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		err = nil
	}
	return n, err
}

func (c *client) requestHead(id string) string {
	head := c.head(c.path, id)
	if rest := c.crowd.headBytes - len(head); rest > 0 {
		return head + "X-Rest: " + strings.Repeat("x", rest-len("X-Rest: "))
	}
	return head + c.crowd.body.framing()
}

// exchange sends one whole request on a connection and returns the answer with its body.
func exchange(conn net.Conn, head string, b body) (*http.Response, []byte, error) {
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, head+b.framing())
		for offset := int64(0); err == nil; {
			piece := b.at(offset)
			if len(piece) == 0 {
				break
			}
			_, err = conn.Write(piece)
			offset += int64(len(piece))
		}
		sent <- err
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		return nil, nil, errors.Join(err, <-sent)
	}
	answer, err := io.ReadAll(resp.Body)
	_ = conn.Close()
	<-sent
	return resp, answer, err
}

// crowdTimeout is how long clients of crowds wait for an answer, as they say.
const crowdTimeout = 30 * time.Second

// platformHead returns the head of a request to a host on the platform up to its framing.
func platformHead(path, id string) string {
	r, err := http.NewRequest(http.MethodPost, "http://h.example"+path, nil)
	if err != nil {
		panic(err) // only paths of this package
	}
	standin.SetCallerHeaders(r, id, accountKey, crowdTimeout)
	standin.SetTokenHeaders(r, 100, 10, "aa:60,"+id+":40")
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: h.example\r\n", path)
	_ = r.Header.Write(&head)
	return head.String()
}
