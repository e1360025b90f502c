// Package sockets opens connections that detect a silent peer. A connection whose
// state was lost on the network path reports no error by itself.
package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrNotTried reports that no attempt was made to open a connection, because this host itself is
// overloaded. It says nothing about the other end.
var ErrNotTried = errors.New("sockets: not tried: this host's link is full")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Network opens the connections of a host. Tests replace it by an in-memory
// network.
type Network interface {
	// Dialer returns a function that opens TCP connections.
	Dialer(Options) DialFunc
	// Listen returns a listener for TCP connections at an ip:port.
	Listen(ctx context.Context, address string, o Options) (net.Listener, error)
	// ListenPacket returns a UDP socket at an ip:port.
	ListenPacket(ctx context.Context, address string) (net.PacketConn, error)
}

// System is the network of the operating system.
type System struct{}

var _ Network = System{}

// Dialer implements Network.
func (System) Dialer(o Options) DialFunc { return o.dialer().DialContext }

// Listen implements Network.
func (System) Listen(ctx context.Context, address string, o Options) (net.Listener, error) {
	return o.listenConfig().Listen(ctx, "tcp", address)
}

// ListenPacket implements Network.
func (System) ListenPacket(ctx context.Context, address string) (net.PacketConn, error) {
	return (&net.ListenConfig{}).ListenPacket(ctx, "udp", address)
}

// Options bounds how long a connection may be silent, and what the kernel holds of it. Zero values set no
// bound.
type Options struct {
	// To names what the connections lead to.
	To string
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the
	// connection fails.
	UserTimeout time.Duration
	// KeepAlive is the time between keep-alive probes of an idle connection.
	KeepAlive time.Duration
	// ReceiveBuffer is the size, in bytes, of the kernel's receive buffer (SO_RCVBUF), which doesn't grow
	// then. The kernel doubles it for its overhead, and may have a maximum.
	ReceiveBuffer int
}

// keepAliveProbes is the number of unanswered keep-alive probes after which a
// connection fails.
const keepAliveProbes = 3

func (o Options) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: o.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: o.KeepAlive > 0, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return o.control(raw) },
	}
}

func (o Options) listenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: o.KeepAlive > 0, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return o.control(raw) },
	}
}

// control sets the options of a socket that are set before it connects or listens.
func (o Options) control(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = o.set(int(fd)) })
	if err != nil {
		return err
	}
	return failed
}

// set sets TCP_USER_TIMEOUT and SO_RCVBUF. Connections that a listener accepts inherit them.
func (o Options) set(fd int) error {
	if o.UserTimeout > 0 {
		if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds())); err != nil {
			return err
		}
	}
	if o.ReceiveBuffer > 0 {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, o.ReceiveBuffer); err != nil {
			return err
		}
	}
	return nil
}
