package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/request"
)

// BudgetReader reads the state of a budget.
type BudgetReader interface {
	ReadBudget(ctx context.Context, id record.BudgetID) (BudgetStatus, error)
}

// BudgetStatus is the state of a budget as its callers see it, in budget tokens.
type BudgetStatus struct {
	Budget  record.BudgetID `json:"budget"`
	Prepaid record.Tokens   `json:"prepaid"`
	Spent   record.Tokens   `json:"spent"`
	// Granted is allocated to hosts and not spent yet.
	Granted   record.Tokens `json:"granted"`
	Available record.Tokens `json:"available"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Service string `json:"hazel_service"`
}

// serveModels lists the models that the account may use, with their adapters.
func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request, c caller) {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for i := range c.settings.Services {
		svc := &c.settings.Services[i]
		if svc.Kind != settings.ServiceModel || !allowed(c.account, svc) {
			continue
		}
		for _, m := range svc.Models {
			list.add(svc, m.Name)
			for _, adapter := range m.Adapters {
				list.add(svc, m.Name+":"+adapter)
			}
		}
	}
	writeJSON(w, &list)
}

func (l *modelList) add(svc *settings.Service, id string) {
	l.Data = append(l.Data, modelInfo{ID: id, Object: "model", OwnedBy: svc.Firm, Service: svc.Name})
}

// serveBudget serves the state of the account's own budget.
func (g *Gateway) serveBudget(w http.ResponseWriter, r *http.Request, c caller) {
	if g.opts.Budgets == nil {
		serveNotFound(w, r)
		return
	}
	status, err := g.opts.Budgets.ReadBudget(r.Context(), c.account.Budget)
	if err != nil {
		p := problem.New(http.StatusServiceUnavailable, problem.CodeBudgetUnreachable, "the budget could not be read: %v", err)
		p.WithRetryAfter(unreachableRetryAfter).Write(w)
		return
	}
	writeJSON(w, &status)
}

// maxTickets bounds the request IDs in one response.
const maxTickets = 1000

type ticketList struct {
	IDs []string `json:"ids"`
	// Expires is the time from which the IDs are no longer valid.
	Expires time.Time `json:"expires"`
}

// serveTickets issues request IDs that this host runs without a claim in the log.
func (g *Gateway) serveTickets(w http.ResponseWriter, r *http.Request, c caller) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTickets {
			g.refuse(w, r, badRequest("count is a whole number from 1 to %d", maxTickets))
			return
		}
		count = n
	}
	var list ticketList
	for range count {
		id, expires := g.tickets.Issue(c.account.ID)
		list.IDs = append(list.IDs, id)
		list.Expires = expires
	}
	writeJSON(w, &list)
}

// Register adds the operators' interface to mux: GET /v1/requests/{id} returns the
// attempt logs of the requests with an ID, of all accounts.
func (g *Gateway) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/requests/{id}", func(w http.ResponseWriter, r *http.Request) {
		reports := []request.Report{}
		for _, req := range g.table.FindByID(r.PathValue("id")) {
			reports = append(reports, req.Report())
		}
		if len(reports) == 0 {
			problem.New(http.StatusNotFound, problem.CodeNotFound, "request %q is not known here", r.PathValue("id")).
				WithOutcome(outcomeUnknown).Write(w)
			return
		}
		writeJSON(w, reports)
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
