package settings

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Resolved is a validated settings tree with every inherited value filled in.
// It is immutable after [Resolved.Index]: a change produces a new value.
type Resolved struct {
	// Version is the log offset of the newest accepted change.
	Version record.Offset
	// Shards is the number of budget shards. It is fixed for the life of a fleet.
	Shards   uint32
	Accounts []Account
	Budgets  []Budget
	Services []Service

	accountByKey    map[KeyHash]*Account
	accountByID     map[string]*Account
	budgetByID      map[record.BudgetID]*Budget
	serviceByName   map[string]*Service
	servicesByModel map[string][]*Service
}

// KeyHash is the SHA-256 hash of an account's key.
type KeyHash [32]byte

// Account is a client account.
type Account struct {
	// ID has the form firm/name.
	ID     string
	Firm   string
	Name   string
	Budget record.BudgetID
	// Keys are the hashes of the account's keys. Each key is accepted.
	Keys []KeyHash
	// Weight is the account's relative share of its firm's capacity; default 1.
	Weight float64
	// Services lists the names (firm/name) of the services that the account may
	// call; empty means all services of its firm.
	Services []string
}

// Budget is a prepaid budget. Its amounts are kept in the log, not in the settings.
type Budget struct {
	ID     record.BudgetID
	Firm   string
	Policy BudgetPolicy
}

// BudgetPolicy sets the size of grants, the delay before unused ones are returned
// and the wait for new ones. It trades latency against stranded tokens; no value
// can cause overspend.
type BudgetPolicy struct {
	// Slice sizes a grant: it covers this much time of spend at the recent rate.
	Slice time.Duration
	// Floor is the smallest grant that a host requests, in budget tokens.
	Floor record.Tokens
	// RecallDelay is how long a grant stays unused before it is returned.
	RecallDelay time.Duration
	// RefusalWait is how long a request waits for a grant before it is refused.
	RefusalWait time.Duration
}

// ServiceKind is the kind of a service.
type ServiceKind string

// Service kinds.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is a set of upstreams that serve the same requests.
type Service struct {
	// Name has the form firm/name.
	Name   string
	Firm   string
	Kind   ServiceKind
	Models []Model
	// Repeatable reports whether requests may run more than once by default.
	Repeatable bool
	Price      Price
	// MaxOutput limits the output tokens of a request that sets no limit itself.
	MaxOutput int
	// RequestTimeout bounds a whole request, from first byte to last.
	RequestTimeout time.Duration
	// IdleTimeout bounds the time to the next byte or event from an upstream.
	IdleTimeout time.Duration
	// QueueLimit bounds the number of requests queued on one host.
	QueueLimit int
	// QueueTimeout bounds the time that a request is queued.
	QueueTimeout time.Duration
	// RetryShare is the largest fraction of all requests that may be retries, 0 to 1.
	RetryShare float64
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int64
	Upstreams    []Upstream
	// FirmWeights maps firms to their relative shares of this service; a missing
	// firm has weight 1.
	FirmWeights map[string]float64
}

// Model is a model that a service offers.
type Model struct {
	Name    string
	Version string
	// Adapters lists the adapters that may be loaded on it.
	Adapters []string
	// MinReplicas is the minimum number of upstreams that keep it loaded.
	MinReplicas int
}

// Price converts usage into budget tokens.
type Price struct {
	// InputMilli and OutputMilli are the prices of a model's input and output
	// tokens, in thousandths of a budget token.
	InputMilli  int64
	OutputMilli int64
	// PerCall is charged for each call of a plain service, in budget tokens.
	PerCall record.Tokens
	// PerKiB is charged for each started KiB of a plain call's bodies, in budget
	// tokens.
	PerKiB record.Tokens
}

// Upstream is one server that runs requests of a service.
type Upstream struct {
	// ID has the form firm/service/name.
	ID            string
	URL           string
	FailureDomain string
	// Models lists the models that the upstream serves at start; empty means all
	// models of its service.
	Models []string
	// Role is "any", "prefill" or "decode".
	Role string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// ChecksFencing reports whether the upstream refuses orders with a stale
	// fencing number.
	ChecksFencing bool
	// Leaving reports whether the upstream must get no new work.
	Leaving bool
}

// Index builds the lookup tables. It must be called once, after the exported
// fields are set and before any lookup.
func (r *Resolved) Index() {
	r.accountByKey = make(map[KeyHash]*Account)
	r.accountByID = make(map[string]*Account, len(r.Accounts))
	for i := range r.Accounts {
		a := &r.Accounts[i]
		r.accountByID[a.ID] = a
		for _, k := range a.Keys {
			r.accountByKey[k] = a
		}
	}
	r.budgetByID = make(map[record.BudgetID]*Budget, len(r.Budgets))
	for i := range r.Budgets {
		r.budgetByID[r.Budgets[i].ID] = &r.Budgets[i]
	}
	r.serviceByName = make(map[string]*Service, len(r.Services))
	r.servicesByModel = make(map[string][]*Service)
	for i := range r.Services {
		s := &r.Services[i]
		r.serviceByName[s.Name] = s
		for _, m := range s.Models {
			r.servicesByModel[m.Name] = append(r.servicesByModel[m.Name], s)
		}
	}
}

// AccountByKey returns the account that declares the given key hash.
func (r *Resolved) AccountByKey(hash KeyHash) (*Account, bool) {
	a, ok := r.accountByKey[hash]
	return a, ok
}

// Account returns the account with the given ID, in the form firm/name.
func (r *Resolved) Account(id string) (*Account, bool) {
	a, ok := r.accountByID[id]
	return a, ok
}

// Budget returns the budget with the given ID.
func (r *Resolved) Budget(id record.BudgetID) (*Budget, bool) {
	b, ok := r.budgetByID[id]
	return b, ok
}

// Service returns the service with the given name, in the form firm/name.
func (r *Resolved) Service(name string) (*Service, bool) {
	s, ok := r.serviceByName[name]
	return s, ok
}

// ServicesWithModel returns the services that offer the named model.
func (r *Resolved) ServicesWithModel(model string) []*Service {
	return r.servicesByModel[model]
}

// Source provides the settings in force. Implementations are safe for concurrent use.
type Source interface {
	// Current returns the settings in force, or nil before the first are known.
	Current() *Resolved
}
