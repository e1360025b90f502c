// Package entry serves the list of hosts to which an account's callers should
// connect.
package entry

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/entry"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
)

// Path is the path of the entry endpoint.
const Path = "/v1/entry"

const (
	defaultTTL = 30 * time.Second
	// maxHosts is the maximum number of hosts in an answer.
	maxHosts = 4
	// leavePropagation limits the time until all other hosts know that this host
	// leaves and no longer name it in answers.
	leavePropagation = 5 * time.Second
	// transitAllowance is the time that an answer may need to reach the caller.
	transitAllowance = 2 * time.Second
	// retryAfter is the Retry-After header, in seconds, until the settings are known.
	retryAfter = "1"
)

// Options configure a [Handler]. Self and Settings are required.
type Options struct {
	// Self is this host as answers describe it. It is the only host in an answer if
	// no others are known.
	Self     platform.Host
	Settings settings.Source
	// View lists the other hosts; nil means none.
	View member.View
	// TTL is how long callers may use an answer; zero means 30 s.
	TTL     time.Duration
	Logger  logr.Logger
	Metrics metrics.Registry
}

// Handler serves the entry endpoint.
type Handler struct {
	opt     Options
	log     logr.Logger
	answers metrics.Counter

	mu   sync.Mutex
	plan *entry.Plan
	// version and ids are the settings version and the host IDs from which plan was
	// computed.
	version record.Offset
	ids     []string
	// ownAnswersExpireAt is when the last answer of this host that names itself
	// expires.
	ownAnswersExpireAt time.Time
	// leavingSince is when Leave was first called, zero before.
	leavingSince time.Time
}

// Answer is the response body of the entry endpoint.
type Answer struct {
	Account string `json:"account"`
	// Hosts are sorted, the best host first.
	Hosts      []Host `json:"hosts"`
	TTLSeconds int    `json:"ttl_seconds"`
}

// Host is a host in an [Answer].
type Host struct {
	ID            record.HostID `json:"id"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
}

// NewHandler returns a [Handler] with the defaults of opt filled in.
func NewHandler(opt Options) *Handler {
	if opt.TTL <= 0 {
		opt.TTL = defaultTTL
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewRegistry()
	}
	if opt.Logger.GetSink() == nil {
		opt.Logger = logr.Discard()
	}
	return &Handler{
		opt:     opt,
		log:     opt.Logger.WithName("entry"),
		answers: metrics.GetOrRegisterCounter("entry.answers", opt.Metrics),
	}
}

// Register adds the route to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.Handle("GET "+Path, h)
}

// ServeHTTP answers with the hosts for the account whose key the request carries.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current := h.opt.Settings.Current()
	if current == nil {
		w.Header().Set("Retry-After", retryAfter)
		problem(w, http.StatusServiceUnavailable, "the settings are not known yet")
		return
	}
	account, ok := authenticate(current, r)
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		problem(w, http.StatusUnauthorized, "the account key is missing or not known")
		return
	}
	answer := h.Answer(current, account.ID)
	h.answers.Inc(1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", fmt.Sprintf("private, max-age=%d", answer.TTLSeconds))
	_ = json.NewEncoder(w).Encode(answer)
}

// authenticate looks up the hash of the key. Comparing keys directly would take a
// time that depends on how much of a key is correct.
func authenticate(current *settings.Resolved, r *http.Request) (*settings.Account, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, false
	}
	return current.AccountByKey(sha256.Sum256([]byte(key)))
}

func problem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Title  string `json:"title"`
		Status int    `json:"status"`
		Detail string `json:"detail"`
	}{http.StatusText(status), status, detail})
}

// Answer returns the answer for an account. It counts for [Handler.AnswersExpireAt].
func (h *Handler) Answer(current *settings.Resolved, account string) Answer {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	answer := Answer{
		Account:    account,
		Hosts:      h.order(current, account),
		TTLSeconds: int(h.opt.TTL / time.Second),
	}
	for _, host := range answer.Hosts {
		if host.ID == h.opt.Self.ID {
			h.ownAnswersExpireAt = now.Add(h.opt.TTL + transitAllowance)
		}
	}
	return answer
}

// Order returns the hosts that an answer for an account would contain, best first.
// It does not count for [Handler.AnswersExpireAt].
func (h *Handler) Order(current *settings.Resolved, account string) []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.order(current, account)
}

func (h *Handler) order(current *settings.Resolved, account string) []Host {
	known := h.entryHosts()
	h.updatePlan(current, known)
	var hosts []Host
	for _, host := range h.plan.Order(account, h.opt.Self.Region, known, maxHosts) {
		hosts = append(hosts, Host{
			ID: record.HostID(host.ID), Address: host.Address, FailureDomain: host.FailureDomain,
		})
	}
	return hosts
}

// entryHosts returns the known hosts sorted by ID, always including this host.
func (h *Handler) entryHosts() []entry.Host {
	var out []entry.Host
	if h.opt.View != nil {
		for _, host := range h.opt.View.Hosts() {
			if host.ID != h.opt.Self.ID && host.CallerAddr != "" {
				out = append(out, toEntryHost(host))
			}
		}
	}
	self := toEntryHost(member.Host{Host: h.opt.Self, ObservedState: member.StateLive})
	self.Leaving = !h.leavingSince.IsZero()
	out = append(out, self)
	slices.SortFunc(out, func(a, b entry.Host) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func toEntryHost(host member.Host) entry.Host {
	return entry.Host{
		ID:            string(host.ID),
		Address:       host.CallerAddr,
		FailureDomain: host.FailureDomain,
		Region:        host.Region,
		Suspected:     host.ObservedState == member.StateSuspected,
		Leaving:       host.ObservedState == member.StateLeaving || host.State == platform.HostLeaving,
	}
}

// updatePlan computes a new plan if the settings or the hosts have changed. The plan
// contains only hosts of this region, so that no account's planned first host is
// in another region.
func (h *Handler) updatePlan(current *settings.Resolved, known []entry.Host) {
	var sameRegion []entry.Host
	var ids []string
	for _, host := range known {
		if host.Region == h.opt.Self.Region {
			sameRegion = append(sameRegion, host)
			ids = append(ids, host.ID)
		}
	}
	if h.plan != nil && h.version == current.Version && slices.Equal(h.ids, ids) {
		return
	}
	accounts := make([]string, len(current.Accounts))
	for i := range current.Accounts {
		accounts[i] = current.Accounts[i].ID
	}
	h.plan = entry.NewPlan(accounts, sameRegion)
	h.version, h.ids = current.Version, ids
}

// Leave makes later answers omit this host if there are others.
func (h *Handler) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leavingSince.IsZero() {
		h.leavingSince = time.Now()
		h.log.Info("This host is omitted from entry answers.")
	}
}

// AnswersExpireAt returns when the answers that name this host have expired. Before
// Leave these are its own answers; after Leave they include the answers of other
// hosts, which omit this host after leavePropagation at the latest.
func (h *Handler) AnswersExpireAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leavingSince.IsZero() {
		return h.ownAnswersExpireAt
	}
	others := h.leavingSince.Add(leavePropagation + h.opt.TTL + transitAllowance)
	if others.After(h.ownAnswersExpireAt) {
		return others
	}
	return h.ownAnswersExpireAt
}
