package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"github.com/hazelworks/hazelworks/fleet/callerserver"
	"github.com/hazelworks/hazelworks/fleet/peer"
)

// server is an HTTP server with its open listener.
type server struct {
	name     string
	http     httpServer
	listener net.Listener
}

// httpServer serves the connections of a listener. Close ends all of them.
type httpServer interface {
	Serve(net.Listener) error
	Close() error
}

// writeStall bounds how long a caller may take nothing of its answer.
const writeStall = 15 * time.Second

// buildServers builds the servers of other hosts and operators.
func (h *Host) buildServers() {
	cfg := h.opts.Config
	h.hosts = peer.NewServer(peer.NewHandler(h.peerServices(), string(cfg.Secrets.Peer)), cfg.Timeouts.HeaderRead,
		peer.WithAcceptErrors(func(err error) { h.logger.WithName("host").Error(err, "serving other hosts failed") }),
		peer.WithConnLimit(peer.ConnLimit{Conns: hostConns(descriptors()), Logger: h.logger, Metrics: h.metrics}))
	h.operators = callerserver.New(callerserver.LimitBodies(h.admin.Handler(), adminBodyBytes, cfg.Timeouts.BodyRead),
		callerserver.Limits{HeaderBytes: cfg.Limits.HeaderBytes, HeaderTimeout: cfg.Timeouts.HeaderRead, IdleTimeout: cfg.Timeouts.Idle},
		func(err error) { h.logger.WithName("host").Error(err, "serving operators failed") },
		callerserver.WithWriteStall(writeStall), callerserver.WithConnLimit(h.connLimit("admin", adminConns)))
}

// openServers opens all listeners. If one fails, it closes the others.
func (h *Host) openServers() ([]server, error) {
	cfg := h.opts.Config
	specs := []struct {
		name string
		addr netip.AddrPort
		http httpServer
	}{
		{"caller", cfg.Listen.Caller, h.callers},
		{"peer", cfg.Listen.Peer, h.hosts},
		{"admin", cfg.Listen.Admin, h.operators},
	}
	var opened []server
	for _, p := range specs {
		listener, err := h.opts.Listen("tcp", p.addr.String())
		if err != nil {
			closeListeners(opened)
			return nil, fmt.Errorf("open %s address: %w", p.name, err)
		}
		opened = append(opened, server{name: p.name, http: p.http, listener: listener})
	}
	return opened, nil
}

func closeListeners(servers []server) {
	for _, s := range servers {
		_ = s.listener.Close()
	}
}

// addServer adds a server to the group. A server that was shut down does not end the
// others, which serve the last requests.
func addServer(group *run.Group, s server) {
	stop := make(chan struct{})
	group.Add(func() error {
		err := s.http.Serve(s.listener)
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			<-stop
			return nil
		}
		return fmt.Errorf("serve %s address: %w", s.name, err)
	}, func(error) {
		close(stop)
		_ = s.http.Close()
	})
}
