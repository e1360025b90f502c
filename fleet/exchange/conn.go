package exchange

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is a connection to an upstream, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when the upstream may close the idle connection; zero if it
	// doesn't say.
	expires time.Time
	idleAt  time.Time
	reused  bool
}

// usable tells whether an idle connection can take a request: it has not
// expired, and the other end has neither closed it nor sent anything.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	if !c.expires.IsZero() && !now.Before(c.expires) {
		return false
	}
	if now.Sub(c.idleAt) >= maxIdle {
		return false
	}
	return c.reader.Buffered() == 0 && nothingToRead(c.Conn)
}

// nothingToRead tells whether nothing can be read from a connection, not even its end.
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

// keepAliveTimeout returns the time that a Keep-Alive header states, in whole
// seconds, or zero.
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
		return time.Duration(seconds) * time.Second
	}
	return 0
}
