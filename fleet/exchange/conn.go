package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
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
	}
	if err != nil {
		l.failed = err
	}
	return n, err
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
