// Package plain is a fake plain service, such as a booking application. Each
// accepted call has an effect, which its books show.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 32 << 20

// Faults are switched on by tests.
type Faults struct {
	// RefuseNotStarted makes it answer 503 with the word that nothing started.
	RefuseNotStarted bool
	// LoseReply has the effect and then ends the connection.
	LoseReply bool
	// Hang has the effect and never answers.
	Hang bool
	// Delay is added before the effect.
	Delay time.Duration
}

// Effect is one call that took effect.
type Effect struct {
	RequestID string
	Method    string
	Path      string
	BodyBytes int
	At        time.Time
}

// Service is a fake plain service.
type Service struct {
	name string

	mu      sync.Mutex
	faults  Faults
	leaving bool
	effects []Effect
}

// New returns a service without effects.
func New(name string) *Service {
	return &Service{name: name}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving makes it say in each response that it leaves.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Effects returns the calls that took effect, in order.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect(nil), s.effects...)
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"running":0,"waiting":0,"slots":16,"leaving":%t}`, leaving)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults, leaving := s.faults, s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Hazel-Leaving", "true")
	}
	if faults.RefuseNotStarted {
		w.Header().Set("Hazel-Not-Started", "true")
		http.Error(w, "refused by fault", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set("Hazel-Not-Started", "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	number := s.note(r, len(body))
	if faults.LoseReply {
		panic(http.ErrAbortHandler)
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"number":%d,"request_id":%q,"path":%q}`+"\n",
		s.name, number, r.Header.Get("Hazel-Request-Id"), r.URL.Path)
}

func (s *Service) note(r *http.Request, bodyBytes int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, Effect{
		RequestID: r.Header.Get("Hazel-Request-Id"),
		Method:    r.Method,
		Path:      r.URL.Path,
		BodyBytes: bodyBytes,
		At:        time.Now(),
	})
	return len(s.effects)
}
