// Package routes is the routing configuration of a fleet: which service answers a host and
// path, who may call it and within which limits. A [Table] is one version of it. A table
// does not change after [Table.BuildIndexes] and is safe for concurrent use.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Kind is how often and how a route's requests may run.
type Kind uint8

// Kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered with a stream of events. They run at
	// most once unless the route is resumable.
	KindStream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	}
	return "unsafe"
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time that a caller waits. Zero means no bound but the
	// caller's own.
	Timeout time.Duration
	// Objective is the latency objective: the time to the answer, or to the first event
	// of a stream, within which it is of full use.
	Objective time.Duration
	// MaxGap is the longest time between two events of a stream that is on time.
	MaxGap time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of upstreams that one request may run on.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another upstream.
	Resumable bool
	// Targets are the services that share the route's requests by weight.
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of equivalent upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that an upstream accepts from all
	// hosts together.
	MaxConns int
	// ColdStart is how long an upstream is cold after a start, and ColdPerSecond the number of
	// requests per second that it takes from all hosts together while it is cold. Zero means
	// that upstreams are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// CacheTokens is the size of the memory for prompts and answers, in tokens.
	CacheTokens int64
	// EventTokens is the maximum number of tokens in one event of a stream.
	EventTokens int64
	// TokenBytes is the size of a token in the cache, in bytes. LinkBits is the bandwidth,
	// in bits per second, at which engines fetch from each other's caches.
	TokenBytes float64
	LinkBits   float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is the prepaid budget of the account, in tokens. Metered is false for
	// accounts without a budget.
	Prepaid record.Tokens
	Metered bool
}

// Limits bound the size and the duration of a caller's requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost    map[string][]*Route
	byKey     map[string]*Account
	byName    map[string]*Account
	byService map[string]*Service
	needsKeys bool
}

// BuildIndexes builds the indexes and returns t. It is called once, before the table is
// shared.
func (t *Table) BuildIndexes() *Table {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	t.byKey = make(map[string]*Account)
	t.byName = make(map[string]*Account)
	for i := range t.Accounts {
		a := &t.Accounts[i]
		t.byName[a.Name] = a
		for _, key := range a.Keys {
			t.byKey[key] = a
		}
	}
	t.needsKeys = len(t.Accounts) > 0
	t.byService = make(map[string]*Service)
	for i := range t.Services {
		t.byService[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether a request of the route must have an account's key.
func (t *Table) NeedsKey(r *Route) bool { return t.needsKeys && !r.Public }

// ByKey returns the account with the key, or nil.
func (t *Table) ByKey(key string) *Account { return t.byKey[key] }

// Account returns the account with the name, or nil.
func (t *Table) Account(name string) *Account { return t.byName[name] }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.byService[name] }

// PickService returns the service for a request of the route. point is in [0, 1); uniform
// random points spread the requests by the targets' weights. It returns "" if the route has
// no targets.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := point * total
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
