// Package admin serves the admin address of a host: health, readiness, metrics
// and the operators' API. All but health and readiness require the operator
// secret.
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Registrar registers its endpoints with the operators' API.
type Registrar interface {
	Register(mux *http.ServeMux)
}

// ReadinessCheck returns the reason why the host is not ready, or nil if it is.
type ReadinessCheck func() error

// Server serves the admin address of a host.
type Server struct {
	secret   []byte
	registry metrics.Registry
	check    atomic.Pointer[ReadinessCheck]
	api      *http.ServeMux
}

// New returns a server whose readiness endpoint answers "starting" until
// SetReadinessCheck is called.
func New(secret string, registry metrics.Registry, registrars ...Registrar) *Server {
	s := &Server{
		secret:   []byte("Bearer " + secret),
		registry: registry,
		api:      http.NewServeMux(),
	}
	for _, part := range registrars {
		part.Register(s.api)
	}
	return s
}

// SetReadinessCheck sets the readiness check.
func (s *Server) SetReadinessCheck(check ReadinessCheck) {
	s.check.Store(&check)
}

// Handler returns the HTTP handler of the admin address.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", s.authenticated(http.HandlerFunc(s.metricsPrometheus)))
	mux.Handle("GET /metrics.json", s.authenticated(http.HandlerFunc(s.metricsJSON)))
	mux.Handle("/v1/", s.authenticated(s.api))
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	check := s.check.Load()
	if check == nil {
		writeText(w, http.StatusServiceUnavailable, "starting")
		return
	}
	if err := (*check)(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) metricsJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.registry.GetAll())
}

func (s *Server) metricsPrometheus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	WritePrometheus(w, s.registry)
}

func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, s.secret) != 1 {
			writeText(w, http.StatusUnauthorized, "the operator secret is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
