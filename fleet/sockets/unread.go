package sockets

import (
	"net"
	"syscall"
)

// HasUnread reports whether a connection has data that was not read yet. It may be called
// while another goroutine reads. It returns false if the connection is no socket.
func HasUnread(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = peekErr == nil && n > 0
	})
	return err == nil && unread
}
