package budgetapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/core/shardfold"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/problem"
)

const maxBodyBytes = 64 << 10

// Shards reads shards and hands operations to their owners. *shard.Service
// implements it.
type Shards interface {
	Read(ctx context.Context, id record.ShardID) (*shardfold.Fold, error)
	ReadAll(ctx context.Context) (map[record.ShardID]*shardfold.Fold, error)
	Submit(ctx context.Context, id record.ShardID, ops []record.Op) ([]ledger.Result, error)
}

// Holdings tells what a host holds. *bank.Bank implements it for its own host,
// a peer client for another.
type Holdings interface {
	Holdings(context.Context, *connect.Request[peerpb.HoldingsRequest]) (*connect.Response[peerpb.HoldingsResponse], error)
}

// API serves the endpoints.
type API struct {
	shards   Shards
	own      Holdings
	view     member.View
	settings settings.Source
	logger   logr.Logger
}

// New returns the endpoints.
func New(shards Shards, own Holdings, view member.View, source settings.Source, logger logr.Logger) *API {
	return &API{shards: shards, own: own, view: view, settings: source, logger: logger.WithName("budget")}
}

// Register adds the endpoints to a mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/budgets", a.list)
	mux.HandleFunc("GET /v1/budgets/{firm}/{name}", a.show)
	mux.HandleFunc("GET /v1/budgets/{firm}/{name}/holders", a.holders)
	mux.HandleFunc("POST /v1/budgets/{firm}/{name}/topup", a.topUp)
	mux.HandleFunc("POST /v1/budgets/{firm}/{name}/release", a.release)
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	if a.settings.Current() == nil {
		notReady().Write(w)
		return
	}
	folds, err := a.shards.ReadAll(r.Context())
	if err != nil {
		unavailable(err).Write(w)
		return
	}
	writeJSON(w, a.describeAll(r.Context(), folds))
}

func (a *API) show(w http.ResponseWriter, r *http.Request) {
	id, fold, p := a.read(r)
	if p != nil {
		p.Write(w)
		return
	}
	all := a.describeAll(r.Context(), map[record.ShardID]*shardfold.Fold{0: fold})
	for _, b := range all {
		if b.ID == id {
			writeJSON(w, b)
			return
		}
	}
	writeJSON(w, Budget{ID: id}) // declared, and never topped up
}

func (a *API) holders(w http.ResponseWriter, r *http.Request) {
	id, fold, p := a.read(r)
	if p != nil {
		p.Write(w)
		return
	}
	writeJSON(w, Holders{Budget: id, Holders: a.describeHolders(r.Context(), fold, id)})
}

// read finds the budget of a request in its shard.
func (a *API) read(r *http.Request) (record.BudgetID, *shardfold.Fold, *problem.Problem) {
	id, shard, p := a.find(r)
	if p != nil {
		return id, nil, p
	}
	fold, err := a.shards.Read(r.Context(), shard)
	if err != nil {
		return id, nil, unavailable(err)
	}
	return id, fold, nil
}

// find returns the budget that a request names. It must be declared.
func (a *API) find(r *http.Request) (record.BudgetID, record.ShardID, *problem.Problem) {
	current := a.settings.Current()
	if current == nil {
		return "", 0, notReady()
	}
	id := record.BudgetID(r.PathValue("firm") + "/" + r.PathValue("name"))
	if _, ok := current.Budget(id); !ok {
		return id, 0, problem.New(http.StatusNotFound, problem.CodeNotFound, "no budget %q is declared", id)
	}
	return id, record.ShardOf(id, current.Shards), nil
}

func (a *API) topUp(w http.ResponseWriter, r *http.Request) {
	id, shard, p := a.find(r)
	if p != nil {
		p.Write(w)
		return
	}
	var body TopUp
	if p := decode(w, r, &body); p != nil {
		p.Write(w)
		return
	}
	if body.ID == "" || body.By == "" || body.Amount == 0 {
		badRequest(errors.New("id, by and an amount other than zero are required")).Write(w)
		return
	}
	a.submit(w, r, shard, record.Op{
		Kind:   record.KindTopUp,
		Budget: id,
		Amount: body.Amount,
		ID:     body.ID,
		By:     body.By,
	})
}

func (a *API) release(w http.ResponseWriter, r *http.Request) {
	id, shard, p := a.find(r)
	if p != nil {
		p.Write(w)
		return
	}
	var body Release
	if p := decode(w, r, &body); p != nil {
		p.Write(w)
		return
	}
	holder := record.Holder{Host: body.Host, Incarnation: body.Incarnation}
	if body.ID == "" || body.By == "" || body.Host == "" {
		badRequest(errors.New("id, by and host are required")).Write(w)
		return
	}
	if body.Confirm != holder.String() {
		badRequest(errors.New("confirm must repeat the holder: " + holder.String())).Write(w)
		return
	}
	a.submit(w, r, shard, record.Op{
		Kind:   record.KindRelease,
		Budget: id,
		Holder: &holder,
		ID:     body.ID,
		By:     body.By,
	})
}

// submit hands an operator's operation to the shard's owner and answers with
// its effect as read back from the log.
func (a *API) submit(w http.ResponseWriter, r *http.Request, shard record.ShardID, op record.Op) {
	results, err := a.shards.Submit(r.Context(), shard, []record.Op{op})
	if err != nil {
		unavailable(err).Write(w)
		return
	}
	res := results[0]
	a.logger.Info("operator's change", "budget", op.Budget, "id", op.ID, "by", op.By, "amount", res.Amount, "reason", res.Reason.String())
	if !res.Applied && res.Reason != ledger.ReasonDuplicate {
		badRequest(errors.New(res.Reason.String())).Write(w)
		return
	}
	writeJSON(w, Applied{Amount: res.Amount, Repeated: !res.Applied, Offset: res.Offset})
}

func decode(w http.ResponseWriter, r *http.Request, out any) *problem.Problem {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return badRequest(err)
	}
	return nil
}

func badRequest(err error) *problem.Problem {
	return problem.New(http.StatusBadRequest, problem.CodeBadRequest, "%v", err)
}

func unavailable(err error) *problem.Problem {
	return problem.New(http.StatusServiceUnavailable, problem.CodeNotReady, "%v", err)
}

func notReady() *problem.Problem {
	return unavailable(errors.New("the settings are not known yet"))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
