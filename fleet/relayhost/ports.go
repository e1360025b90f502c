package relayhost

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/hazelworks/hazelworks/core/connlimit"
	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/sockets"
)

const (
	// queryHeaderBytes bounds the head of a query of readiness, the directory or metrics.
	queryHeaderBytes = 8 << 10
	// peerHeaderBytes bounds the head of another host's call without the caller's own header
	// fields, which a forwarded request carries.
	peerHeaderBytes = 64 << 10
	// peerBodyBytes and peerBodyTimeout bound the body of another host's call, unless it is a
	// forwarded request.
	peerBodyBytes   = 64 << 10
	peerBodyTimeout = 3 * time.Second
)

func (h *Host) resources() connlimit.Resources {
	return connlimit.Resources{Descriptors: h.cfg.Limits.Descriptors, MemoryBytes: h.cfg.Limits.MemoryBytes}
}

// connShares returns how many connections may be open at the ports of this host.
func (h *Host) connShares() connlimit.Limits { return connlimit.Shares(h.resources()) }

// kernelBuffers returns the sizes of the kernel's buffers of those connections.
func (h *Host) kernelBuffers() connlimit.Buffers { return connlimit.KernelBuffers(h.resources()) }

// listenSockets returns the options of connections that others open, whose paths may be lossy. The kernel
// holds about as many unread bytes of each as the size of the buffer.
func listenSockets(buffer int) sockets.Options {
	return sockets.Options{UserTimeout: 5 * time.Second, KeepAlive: 5 * time.Second, ReceiveBuffer: buffer}
}

func (h *Host) connLimit(port string, conns int) callerserver.ConnLimit {
	return callerserver.ConnLimit{Port: port, Conns: conns, Logger: h.opt.Logger, Metrics: h.opt.Metrics}
}

// peerLimits returns the limits of other hosts' connections, who forward requests with heads of up to
// callerHeader bytes.
func peerLimits(callerHeader int) callerserver.Limits {
	return callerserver.Limits{HeaderBytes: peerHeaderBytes + callerHeader, HeaderTimeout: startHeaderTimeout, IdleTimeout: startIdleTimeout}
}

// serveQueries returns an actor that answers short queries without a body at an address.
func (h *Host) serveQueries(name string, addr netip.AddrPort, handler http.Handler) func(context.Context) error {
	limit := h.connLimit(name, h.connShares().Checks)
	limit.Interrupt = true
	limits := callerserver.Limits{HeaderBytes: queryHeaderBytes, HeaderTimeout: startHeaderTimeout, IdleTimeout: startIdleTimeout}
	return h.serve(name, addr, h.kernelBuffers().Checks, callerserver.New(withoutBody(handler), limits,
		func(err error) { h.log.Error(err, "Serving queries failed.", "port", name) }, callerserver.WithConnLimit(limit)))
}

// serve returns an actor that serves an address, with buffers of a size for each connection.
func (h *Host) serve(name string, addr netip.AddrPort, buffer int, server *callerserver.Server) func(context.Context) error {
	return func(ctx context.Context) error {
		defer func() { _ = server.Close() }()
		l, err := h.opt.Network.Listen(ctx, addr.String(), listenSockets(buffer))
		if err != nil {
			return fmt.Errorf("relayhost: %s: %w", name, err)
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err = server.Serve(l)
		if err == nil {
			<-ctx.Done() // the server may stop before the host does
		}
		return err
	}
}

// withoutBody refuses requests that have a body, and reads nothing of it.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // otherwise the server would wait for the body
	})
}
