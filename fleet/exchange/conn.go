package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/fleet/heads"
)

// conn is a connection to an upstream, used by one request at a time.
type conn struct {
	// Conn is the socket, made to report each failure to its reader: an answer without a length is complete
	// where the connection ends, unless that has failed.
	net.Conn
	socket net.Conn
	reader *bufio.Reader
	head   *headLimit
	// expires is when the idle connection is no longer used, shortly before the
	// upstream may close it. It is zero if the upstream states no timeout.
	expires  time.Time
	openedAt time.Time
	idleAt   time.Time
	reused   bool
}

// errHeadTooLong reports that the head of an answer does not end.
var errHeadTooLong = errors.New("exchange: the head of the answer is too long")

// headLimit bounds what is read of a connection while the head of an answer is read. Package
// net/http does not bound the heads that it reads from a connection of others.
type headLimit struct {
	io.Reader
	// failed is why the connection gave no more bytes, or nil so far.
	failed error
	// left is the number of bytes that may be read, if active.
	left   int
	active bool
	// raw is what was read since the start of a head of HTTP/1.0, else it is nil.
	raw []byte
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.active {
		if l.left <= 0 {
			return 0, errHeadTooLong
		}
		p = p[:min(len(p), l.left)]
	}
	n, err := l.Reader.Read(p)
	if l.active {
		l.left -= n
		if l.raw != nil {
			l.raw = append(l.raw, p[:n]...)
		}
	}
	if err != nil {
		l.failed = err
	}
	return n, err
}

const http10 = "HTTP/1.0"

var errCodingInHTTP10 = errors.New("transfer coding in HTTP/1.0")

// readHead reads the head of an answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.head.active, c.head.left, c.head.raw = true, maxHeadBytes, nil
	defer func() { c.head.active, c.head.raw = false, nil }()
	// An error, also that of a connection which has ended, comes again when the rest is read.
	if version, _ := c.reader.Peek(len(http10)); string(version) == http10 {
		lead, _ := c.reader.Peek(c.reader.Buffered()) // has been read
		c.head.raw = bytes.Clone(lead)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, c.readError(ErrNoAnswer, err)
	}
	if c.head.raw != nil && namesCoding(c.head.raw[:len(c.head.raw)-c.reader.Buffered()]) {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, errCodingInHTTP10)
	}
	if err := heads.Check(resp); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return resp, nil
}

// namesCoding reports whether a head has a field for transfer codings. HTTP/1.0 has none (RFC 9112, section
// 6.1), and package net/http drops the field there: its body is returned as it was coded.
func namesCoding(head []byte) bool {
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return true
		}
	}
	return false
}

// readError returns the error of an answer that could not be read. It wraps broken, or [ErrMalformed] if the
// connection has not failed.
func (c *conn) readError(broken, err error) error {
	if c.head.failed == nil {
		broken = ErrMalformed
	}
	return fmt.Errorf("%w: %w", broken, err)
}

// usable reports whether an idle connection can be used for a request: it has not
// expired, and the other end has neither closed it nor sent anything.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	if !c.expires.IsZero() && !now.Before(c.expires) {
		return false
	}
	if now.Sub(c.idleAt) >= maxIdle {
		return false
	}
	return c.reader.Buffered() == 0 && nothingToRead(c.socket)
}

// nothingToRead reports whether a connection has neither data nor an end of file to read.
func nothingToRead(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// maxKeepAliveSeconds bounds a stated timeout to what a duration can hold.
const maxKeepAliveSeconds = 24 * 60 * 60

// keepAliveTimeout returns the timeout in a Keep-Alive header, which is in whole
// seconds, or zero if there is none.
func keepAliveTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second
	}
	return 0
}
