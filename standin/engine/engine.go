// Package engine is a fake model engine. It speaks the chat-completions dialect
// with indexed server-sent events, resumes and cancels streams, reports load,
// publishes cache events and takes placement orders. It keeps books of what it
// really ran, for tests.
package engine

import (
	"net/http"
	"sync"
	"time"
)

// Options configures an Engine.
type Options struct {
	// Name identifies the upstream.
	Name string
	// Models are the models loaded at start.
	Models []string
	// Slots is the number of requests that run at once; default 8.
	Slots int
	// QueueLimit bounds the requests that wait; default 64. More are refused
	// as not started.
	QueueLimit int
	// FirstToken is the time to the first token of an uncached prompt.
	FirstToken time.Duration
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// DefaultTokens is the length of an answer to a prompt that names none.
	DefaultTokens int
	// ChecksFencing makes it refuse orders with an old fencing number.
	ChecksFencing bool
	// CacheBlocks bounds the prompt blocks that it keeps; default 512.
	CacheBlocks int
	// Version is the version of the models loaded at start.
	Version string
	// LoadTime is how long an order to load a model takes.
	LoadTime time.Duration
}

const (
	defaultSlots       = 8
	defaultQueueLimit  = 64
	defaultTokens      = 16
	defaultCacheBlocks = 512
)

// Faults are switched on by tests.
type Faults struct {
	// RefuseNotStarted makes it answer 503 with the word that nothing started.
	RefuseNotStarted bool
	// FailStatus, if not zero, is answered to each completion after it ran.
	FailStatus int
	// DropAfter ends the connection after this many events of a stream.
	DropAfter int
	// HangAfter stops sending after this many events without a word.
	HangAfter int
	// Duplicate sends each event twice.
	Duplicate bool
	// Foreign sends events of another request in between.
	Foreign bool
	// IgnoreCap makes it generate more tokens than the request allows.
	IgnoreCap bool
	// FailLoad makes it fail orders to load.
	FailLoad bool
	// NoResume makes it refuse to resume streams.
	NoResume bool
	// SlowBy multiplies its times; zero means 1.
	SlowBy float64
}

// Run is what the engine did for one request.
type Run struct {
	RequestID    string
	Model        string
	Started      time.Time
	Ended        time.Time
	InputTokens  int
	OutputTokens int
	Cancelled    bool
	// Starts counts how often the request was run from its beginning.
	Starts int
}

// Engine is a fake model engine.
type Engine struct {
	opts  Options
	slots chan struct{}
	mux   *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	leaving  bool
	draining bool
	waiting  int
	running  int
	runs     map[string]*Run
	order    []string
	jobs     map[string]*job
	cache    *blockCache
	placed   Placement
	fencing  uint64
	orders   []Placement
	loadDone time.Time
}

// New returns an idle engine.
func New(opts Options) *Engine {
	if opts.Slots <= 0 {
		opts.Slots = defaultSlots
	}
	if opts.QueueLimit <= 0 {
		opts.QueueLimit = defaultQueueLimit
	}
	if opts.DefaultTokens <= 0 {
		opts.DefaultTokens = defaultTokens
	}
	if opts.CacheBlocks <= 0 {
		opts.CacheBlocks = defaultCacheBlocks
	}
	e := &Engine{
		opts:   opts,
		slots:  make(chan struct{}, opts.Slots),
		runs:   make(map[string]*Run),
		jobs:   make(map[string]*job),
		cache:  newBlockCache(opts.CacheBlocks),
		placed: Placement{Models: opts.Models, Version: opts.Version, Role: "any"},
	}
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	e.mux.HandleFunc("PUT /v1/placement", e.place)
	e.mux.HandleFunc("GET /v1/placement", e.placement)
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	return e.mux
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving makes it say in each response that it leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Runs returns the books, in the order in which requests first arrived.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, 0, len(e.order))
	for _, id := range e.order {
		out = append(out, *e.runs[id])
	}
	return out
}

// Name returns the upstream's name.
func (e *Engine) Name() string {
	return e.opts.Name
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) scale(d time.Duration) time.Duration {
	slow := e.currentFaults().SlowBy
	if slow <= 0 {
		return d
	}
	return time.Duration(float64(d) * slow)
}
