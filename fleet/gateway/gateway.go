// Package gateway serves the callers of the fleet. It authenticates a request,
// reserves the upper bound of its cost, sends it to an upstream, relays the
// answer and settles the actual cost. Every answer states its outcome: answered,
// not run, or unknown.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
	"github.com/hazelworks/hazelworks/fleet/request"
)

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	opts     Options
	limits   Limits
	log      logr.Logger
	metrics  *meters
	table    *request.Table
	tickets  *request.Tickets
	bodies   *bodies
	crashes  *quarantine.Detector
	draining atomic.Bool
	inflight inflight
	stop     atomic.Pointer[stopTimes]
	// waiting ends when requests that wait at this host are refused, by refuseWaiting.
	waiting       context.Context
	refuseWaiting context.CancelFunc
	mux           *http.ServeMux
}

// New returns a gateway. Limits that are zero in opts take their defaults.
func New(opts Options) *Gateway {
	limits := opts.Limits.withDefaults()
	opts.setDefaults()
	g := &Gateway{
		opts:    opts,
		limits:  limits,
		log:     opts.Logger.WithName("gateway"),
		metrics: newMeters(opts.Metrics),
		table: request.NewTable(request.Limits{
			Running:      limits.Running,
			KeepFor:      limits.KeepFor,
			KeptRequests: limits.KeptRequests,
			KeptBytes:    limits.KeptBytes,
		}),
		tickets: request.NewTickets(opts.Self.Host, limits.Tickets, limits.TicketLife),
		mux:     http.NewServeMux(),
	}
	g.bodies = newBodies(limits.BodiesBytes, limits.BodyBytes, g.metrics.bodyBytes, g.metrics.bodiesYielded)
	g.waiting, g.refuseWaiting = context.WithCancel(context.Background())
	g.crashes = quarantine.NewDetector(opts.Logger, opts.Metrics, opts.Reach, opts.Quarantine.Crashed)
	g.routes()
	return g
}

func (g *Gateway) routes() {
	g.mux.HandleFunc("POST /v1/chat/completions", g.authenticated(g.serveChat))
	g.mux.HandleFunc("POST /v1/request-ids", g.authenticated(g.serveTickets))
	g.mux.HandleFunc("GET /v1/requests/{id}/events", g.authenticated(g.serveEvents))
	g.mux.HandleFunc("/v1/services/{firm}/{service}/{rest...}", g.authenticated(g.servePlain))
	g.mux.HandleFunc("GET /v1/models", g.authenticated(g.serveModels))
	g.mux.HandleFunc("GET /v1/budget", g.authenticated(g.serveBudget))
	if g.opts.Entry != nil {
		g.mux.Handle("/v1/entry", g.opts.Entry)
	}
	g.mux.HandleFunc("/", serveNotFound)
}

// Handler returns the callers' HTTP interface.
func (g *Gateway) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inflight.add()
		defer g.inflight.done()
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		g.mux.ServeHTTP(w, r)
	})
}

// Drain waits until no request runs and no answer is being sent. It returns the
// cause of ctx if that ends first. New requests are served meanwhile, since
// callers may use this host's address until their entry answer expires; their
// connections are closed after the answer.
func (g *Gateway) Drain(ctx context.Context) error {
	g.SetDraining()
	return g.inflight.wait(ctx)
}

// SetDraining closes each caller's connection after its next answer.
func (g *Gateway) SetDraining() { g.draining.Store(true) }

// Running returns the number of requests that are running.
func (g *Gateway) Running() int { return g.table.Running() }

func serveNotFound(w http.ResponseWriter, r *http.Request) {
	problem.New(http.StatusNotFound, problem.CodeNotFound, "no such path: %s %s", r.Method, r.URL.Path).Write(w)
}

// allowed reports whether an account may call a service.
func allowed(acct *settings.Account, svc *settings.Service) bool {
	if len(acct.Services) == 0 {
		return acct.Firm == svc.Firm
	}
	for _, name := range acct.Services {
		if name == svc.Name {
			return true
		}
	}
	return false
}

// serviceByName returns a service that the account may call. A name without a
// firm refers to the account's own firm.
func serviceByName(set *settings.Resolved, acct *settings.Account, name string) (*settings.Service, *problem.Problem) {
	if !strings.Contains(name, "/") {
		name = acct.Firm + "/" + name
	}
	svc, ok := set.Service(name)
	if !ok || !allowed(acct, svc) {
		return nil, problem.New(http.StatusNotFound, problem.CodeUnknownService, "no service %q for this account", name)
	}
	return svc, nil
}
