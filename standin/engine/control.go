package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Placement is what an engine serves, and an order to serve it.
type Placement struct {
	Models   []string `json:"models"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Fencing is the offset of the epoch under which the order was given.
	Fencing uint64 `json:"fencing,omitempty"`
	// Drain asks it to say that it leaves and to change nothing else.
	Drain bool `json:"drain,omitempty"`
	// Loading is true until the models are ready.
	Loading bool `json:"loading,omitempty"`
}

// LoadReport is the engine's word on its load.
type LoadReport struct {
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Slots   int      `json:"slots"`
	Models  []string `json:"models"`
	Leaving bool     `json:"leaving"`
	// Serving lists what is loaded and ready; it is missing if any model is
	// served.
	Serving *[]Serving `json:"serving,omitempty"`
}

// Serving is a model version that is loaded.
type Serving struct {
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.setCommonHeaders(w)
	e.mu.Lock()
	report := LoadReport{
		Running: e.running,
		Waiting: e.waiting,
		Slots:   e.opts.Slots,
		Models:  e.placed.Models,
		Leaving: e.isLeaving(),
		Serving: e.serving(),
	}
	e.mu.Unlock()
	writeJSON(w, report)
}

// isLeaving tells whether new requests should go elsewhere. The caller holds e.mu.
func (e *Engine) isLeaving() bool {
	return e.leaving || e.draining || time.Now().Before(e.loadDone)
}

// serving returns what is ready once an order was taken; nil before. The caller
// holds e.mu.
func (e *Engine) serving() *[]Serving {
	if len(e.orders) == 0 {
		return nil
	}
	list := []Serving{}
	if time.Now().Before(e.loadDone) {
		return &list
	}
	for _, m := range e.placed.Models {
		list = append(list, Serving{Model: m, Version: e.placed.Version, Adapters: e.placed.Adapters})
	}
	return &list
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events := e.cache.since(after)
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) place(w http.ResponseWriter, r *http.Request) {
	e.setCommonHeaders(w)
	var order Placement
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && order.Fencing < e.fencing {
		refuse(w, http.StatusConflict, "old fencing number")
		return
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.draining = order.Drain
	if order.Drain {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if e.faults.FailLoad {
		refuse(w, http.StatusInternalServerError, "the load failed")
		return
	}
	e.placed = order
	e.orders = append(e.orders, order)
	e.loadDone = time.Now().Add(e.opts.LoadTime)
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) placement(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	placed := e.placed
	placed.Drain = e.draining
	placed.Loading = time.Now().Before(e.loadDone)
	e.mu.Unlock()
	writeJSON(w, placed)
}

// Draining tells whether an order has asked it to drain.
func (e *Engine) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// Orders returns the placement orders that it took.
func (e *Engine) Orders() []Placement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Placement(nil), e.orders...)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
