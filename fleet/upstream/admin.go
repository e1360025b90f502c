package upstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// Status is the state of one upstream as operators see it.
type Status struct {
	Service  string `json:"service"`
	ID       string `json:"id"`
	State    string `json:"state"`
	Leaving  bool   `json:"leaving"`
	Drained  bool   `json:"drained"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	Queued   int    `json:"queued_in_service"`
	// HeardSecondsAgo is the age of the last load report; -1 if there is none.
	HeardSecondsAgo float64 `json:"heard_seconds_ago"`
}

// Register adds the operators' routes to mux: GET /v1/upstreams lists the
// upstreams, POST /v1/upstreams/{id}/drain and undrain stop and resume new
// requests to an upstream.
func (p *Pool) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/upstreams", p.serveList)
	mux.HandleFunc("POST /v1/upstreams/{id}/drain", func(w http.ResponseWriter, r *http.Request) {
		p.serveDrain(w, r.PathValue("id"), true)
	})
	mux.HandleFunc("POST /v1/upstreams/{id}/undrain", func(w http.ResponseWriter, r *http.Request) {
		p.serveDrain(w, r.PathValue("id"), false)
	})
}

// Statuses returns the state of all upstreams, sorted by service and ID.
func (p *Pool) Statuses() []Status {
	now := time.Now()
	out := []Status{}
	for _, s := range p.sortedServices() {
		out = append(out, s.statuses(now)...)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range out {
		out[i].Drained = p.drained[out[i].ID]
	}
	return out
}

func (s *service) statuses(now time.Time) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Status
	for _, r := range s.router.Upstreams() {
		st := Status{
			Service:         s.name,
			ID:              r.ID(),
			State:           string(r.State()),
			Leaving:         r.Leaving(),
			InFlight:        r.InFlight(),
			Limit:           r.Limit(),
			Queued:          s.queue.Len(),
			HeardSecondsAgo: -1,
		}
		if u := s.upstreams[r.ID()]; !u.reportedAt.IsZero() {
			st.HeardSecondsAgo = now.Sub(u.reportedAt).Seconds()
		}
		out = append(out, st)
	}
	return out
}

func (p *Pool) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Statuses())
}

func (p *Pool) serveDrain(w http.ResponseWriter, id string, drained bool) {
	if !p.setDrained(id, drained) {
		http.Error(w, "no such upstream", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
