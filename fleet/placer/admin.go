package placer

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/hazelworks/hazelworks/core/placement"
	"github.com/hazelworks/hazelworks/core/record"
)

// Status is the placement of one service as operators see it.
type Status struct {
	Service string             `json:"service"`
	Writer  string             `json:"writer"`
	Epoch   record.Offset      `json:"epoch"`
	Workers []WorkerStatus     `json:"workers"`
	Halted  []placement.Target `json:"halted,omitempty"`
}

// WorkerStatus is one worker in a [Status].
type WorkerStatus struct {
	ID      string           `json:"id"`
	Serving placement.Target `json:"serving"`
	Ready   bool             `json:"ready"`
	// Order is the state of the order in progress; empty if there is none.
	Order string `json:"order,omitempty"`
	// Wanted is the target last ordered; nil if there is none.
	Wanted *placement.Target `json:"wanted,omitempty"`
}

// Register adds the operators' routes to mux: GET /v1/placement lists the
// services of this host's placer, and POST /v1/placement/resume?service=NAME
// resumes a service's halted roll-outs.
func (p *Placer) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/placement", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Statuses())
	})
	mux.HandleFunc("POST /v1/placement/resume", func(w http.ResponseWriter, r *http.Request) {
		name := r.URL.Query().Get("service")
		if err := p.Resume(r.Context(), name); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// Resume resumes a service's halted roll-outs. Any host may call it, not only the
// writer.
func (p *Placer) Resume(ctx context.Context, service string) error {
	w := streamWriter{self: p.opt.Self, stream: record.StreamOfPlacement(service), log: p.opt.Log, fold: placement.NewFold()}
	return w.append(ctx, &placement.Record{Kind: placement.KindResume, Writer: p.opt.Self})
}

// Statuses returns the placement of each service that this host has reconciled or is
// reconciling, sorted by name.
func (p *Placer) Statuses() []Status {
	p.mu.Lock()
	all := make([]*service, 0, len(p.services))
	for _, s := range p.services {
		all = append(all, s)
	}
	p.mu.Unlock()
	slices.SortFunc(all, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	out := []Status{}
	for _, s := range all {
		out = append(out, s.status())
	}
	return out
}

func (s *service) status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Service: s.name, Writer: s.writer.fold.Writer.String(), Epoch: s.writer.fold.Epoch, Halted: s.writer.fold.Halted}
	for _, up := range s.spec.Upstreams {
		w, ok := s.workers[up.ID]
		if !ok {
			continue
		}
		ws := WorkerStatus{ID: up.ID, Serving: w.serving, Ready: w.ready}
		if w.order != nil {
			ws.Order = string(w.order.machine.State())
		}
		if t, ok := s.writer.fold.Wanted[up.ID]; ok {
			ws.Wanted = &t
		}
		st.Workers = append(st.Workers, ws)
	}
	return st
}
