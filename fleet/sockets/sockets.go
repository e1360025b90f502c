// Package sockets opens connections that notice a silent peer: a connection
// whose path forgot it shows no error by itself.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Network is where a host's connections come from. Tests put one in memory in
// its place.
type Network interface {
	// Dialer returns a function that opens TCP connections.
	Dialer(Options) DialFunc
	// Listen accepts TCP connections at an ip:port.
	Listen(ctx context.Context, address string, o Options) (net.Listener, error)
	// ListenPacket receives datagrams at an ip:port.
	ListenPacket(ctx context.Context, address string) (net.PacketConn, error)
}

// System is the network of the machine.
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
