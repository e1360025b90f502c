package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/oklog/run"

	"github.com/hazelworks/hazelworks/fleet/gateway"
	"github.com/hazelworks/hazelworks/fleet/peer"
)

// server is an HTTP server with its open listener.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// openServers opens all listeners. If one fails, it closes the others.
func (h *Host) openServers() ([]server, error) {
	cfg := h.opts.Config
	callers := gateway.NewServer(h.gateway.Handler())
	callers.ReadHeaderTimeout = cfg.Timeouts.HeaderRead
	callers.IdleTimeout = cfg.Timeouts.Idle
	callers.MaxHeaderBytes = cfg.Limits.HeaderBytes
	operators := &http.Server{
		Handler:           h.admin.Handler(),
		ReadHeaderTimeout: cfg.Timeouts.HeaderRead,
		IdleTimeout:       cfg.Timeouts.Idle,
	}
	specs := []struct {
		name string
		addr netip.AddrPort
		http *http.Server
	}{
		{"caller", cfg.Listen.Caller, callers},
		{"peer", cfg.Listen.Peer, peer.NewServer(peer.NewHandler(h.peerServices(), string(cfg.Secrets.Peer)), cfg.Timeouts.HeaderRead)},
		{"admin", cfg.Listen.Admin, operators},
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

func addServer(group *run.Group, s server) {
	group.Add(func() error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("serve %s address: %w", s.name, err)
	}, func(error) { _ = s.http.Close() })
}
