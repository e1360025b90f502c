// Package sockets opens connections that notice a silent peer: a connection
// whose path forgot it shows no error by itself.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options bound the silence on a connection.
type Options struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the
	// connection fails.
	UserTimeout time.Duration
	// KeepAlive is the time between probes of an idle connection.
	KeepAlive time.Duration
}

// keepAliveProbes is the number of unanswered probes that end a connection.
const keepAliveProbes = 3

// Dialer returns a dialer with these bounds.
func (o Options) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: o.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: o.KeepAlive > 0, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return o.control(raw) },
	}
}

// ListenConfig returns a listener configuration with these bounds.
func (o Options) ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: o.KeepAlive > 0, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return o.control(raw) },
	}
}

func (o Options) control(raw syscall.RawConn) error {
	if o.UserTimeout <= 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
