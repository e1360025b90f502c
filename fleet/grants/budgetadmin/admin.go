// Package budgetadmin serves the operators' HTTP endpoints for budgets: their state,
// their holders, top-ups and the release of grants of crashed hosts.
package budgetadmin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/shard"
)

const (
	maxBodyBytes  = 64 << 10
	changeTimeout = 20 * time.Second
)

// Shards reads and writes shards. *shard.Service implements it.
type Shards interface {
	Submit(ctx context.Context, id record.ShardID, ops []record.Op) ([]ledger.Result, error)
	State(ctx context.Context, id record.ShardID) (shard.State, error)
}

// Options configures the endpoints; all fields but Logger are required.
type Options struct {
	Shards   Shards
	Grants   *grants.Manager
	View     member.View
	Settings settings.Source
	Logger   logr.Logger
}

// API serves the endpoints.
type API struct {
	opts Options
}

// New returns an API with the given options. All of them but Logger are required.
func New(opts Options) *API {
	if opts.Logger.GetSink() == nil {
		opts.Logger = logr.Discard()
	}
	opts.Logger = opts.Logger.WithName("bankadmin")
	return &API{opts: opts}
}

// Register adds the endpoints to a mux. A budget's ID is one path element, so
// callers must escape the slash in it.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/budgets", a.list)
	mux.HandleFunc("GET /v1/budgets/{id}", a.show)
	mux.HandleFunc("GET /v1/budgets/{id}/holders", a.holders)
	mux.HandleFunc("POST /v1/budgets/{id}/topup", a.topUp)
	mux.HandleFunc("POST /v1/budgets/{id}/release", a.release)
}

// budget returns the settings and shard of the budget that a request names.
func (a *API) budget(r *http.Request) (settings.Budget, record.ShardID, *problem.Problem) {
	current := a.opts.Settings.Current()
	if current == nil || current.Shards == 0 {
		return settings.Budget{}, 0, problem.New(http.StatusServiceUnavailable, problem.CodeNotReady, "the settings are not known yet")
	}
	id := record.BudgetID(r.PathValue("id"))
	b, ok := current.Budget(id)
	if !ok {
		return settings.Budget{}, 0, problem.New(http.StatusNotFound, problem.CodeNotFound, "the settings have no budget %q", id)
	}
	return *b, record.ShardOf(id, current.Shards), nil
}

func (a *API) topUp(w http.ResponseWriter, r *http.Request) {
	b, id, p := a.budget(r)
	if p != nil {
		p.Write(w)
		return
	}
	var req TopUpRequest
	if p := decode(w, r, &req); p != nil {
		p.Write(w)
		return
	}
	if req.ID == "" || req.By == "" || req.Amount == 0 {
		badRequest("id, by and an amount other than zero are needed").Write(w)
		return
	}
	op := record.Op{Kind: record.KindTopUp, Budget: b.ID, ID: req.ID, Amount: req.Amount, By: req.By}
	a.change(w, r, id, op)
}

func (a *API) release(w http.ResponseWriter, r *http.Request) {
	b, id, p := a.budget(r)
	if p != nil {
		p.Write(w)
		return
	}
	var req ReleaseRequest
	if p := decode(w, r, &req); p != nil {
		p.Write(w)
		return
	}
	holder, p := a.checkRelease(r.Context(), b.ID, &req)
	if p != nil {
		p.Write(w)
		return
	}
	op := record.Op{Kind: record.KindRelease, Budget: b.ID, Holder: &holder, ID: req.ID, By: req.By}
	a.change(w, r, id, op)
}

// checkRelease rejects a release that is not confirmed, or whose holder still
// answers unless it is forced.
func (a *API) checkRelease(ctx context.Context, budget record.BudgetID, req *ReleaseRequest) (record.Holder, *problem.Problem) {
	if req.ID == "" || req.By == "" {
		return record.Holder{}, badRequest("id and by are needed")
	}
	holder, err := ParseHolder(req.Holder)
	if err != nil {
		return holder, badRequest(err.Error())
	}
	if req.Confirm != req.Holder {
		return holder, badRequest("confirm must repeat the holder")
	}
	if _, state := a.queryHost(ctx, holder.Host, budget).allocationOf(holder, budget); state == HolderLive && !req.Force {
		return holder, problem.New(http.StatusConflict, problem.CodeBadRequest, "holder %s answers; a release needs force", req.Holder)
	}
	return holder, nil
}

// change submits an operation and answers with its result from the log.
func (a *API) change(w http.ResponseWriter, r *http.Request, id record.ShardID, op record.Op) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	results, err := a.opts.Shards.Submit(ctx, id, []record.Op{op})
	if err != nil {
		p := problem.New(http.StatusServiceUnavailable, problem.CodeInternal,
			"not read back from the log, so it may or may not be in force; send it again with the same id: %v", err)
		p.Outcome = record.OutcomeUnknown.String()
		p.Write(w)
		return
	}
	res := &results[0]
	a.opts.Logger.Info("change", "budget", op.Budget, "kind", op.Kind, "id", op.ID, "by", op.By,
		"applied", res.Applied, "amount", res.Amount, "reason", res.Reason.String())
	writeJSON(w, changeOf(res))
}

func changeOf(res *ledger.Result) Change {
	c := Change{Applied: res.Applied, Amount: res.Amount, Available: res.Available, Offset: res.Offset}
	if res.Reason != ledger.ReasonNone {
		c.Reason = res.Reason.String()
	}
	return c
}

func badRequest(text string) *problem.Problem {
	return problem.New(http.StatusBadRequest, problem.CodeBadRequest, "%s", text)
}

func decode(w http.ResponseWriter, r *http.Request, into any) *problem.Problem {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badRequest(fmt.Sprintf("the request can't be read: %v", err))
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
