package settingsapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/settingswatch"
)

// API serves the operators' endpoints for the settings tree and the state of the fleet.
type API struct {
	watcher *settingswatch.Watcher
	view    member.View
	figures func() Figures
}

// New returns an API. figures returns the figures of this host; it may be nil.
func New(watcher *settingswatch.Watcher, view member.View, figures func() Figures) *API {
	if figures == nil {
		figures = func() Figures { return Figures{} }
	}
	return &API{watcher: watcher, view: view, figures: figures}
}

// Register adds the endpoints to a mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/settings", a.tree)
	mux.HandleFunc("POST /v1/settings/changes", a.publish)
	mux.HandleFunc("POST /v1/settings/recovery", a.recover)
	mux.HandleFunc("GET /v1/settings/explain", a.explain)
	mux.HandleFunc("GET /v1/settings/history", a.history)
	mux.HandleFunc("GET /v1/status", a.status)
}

func (a *API) tree(w http.ResponseWriter, _ *http.Request) {
	if !a.watcher.CaughtUp() {
		writeProblem(w, Problem{Type: ProblemNotKnown, Status: http.StatusServiceUnavailable, Title: "This host does not know the settings yet"})
		return
	}
	tree, version := a.watcher.Tree()
	writeJSON(w, http.StatusOK, Tree{Version: version, Settings: raw(tree)})
}

func (a *API) publish(w http.ResponseWriter, r *http.Request) {
	var change Change
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		writeProblem(w, Problem{Type: ProblemBadRequest, Status: http.StatusBadRequest, Title: "The change cannot be read", Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	if err := a.checkSchema(ctx, &change); err != nil {
		writeProblem(w, publishProblem(err))
		return
	}
	decision, err := a.watcher.Publish(ctx, change.record())
	if err != nil {
		writeProblem(w, publishProblem(err))
		return
	}
	writeJSON(w, http.StatusOK, newDecision(decision))
}

// recover brings a declared tree into force after a total loss of the settings.
func (a *API) recover(w http.ResponseWriter, r *http.Request) {
	var body Recovery
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&body); err != nil {
		writeProblem(w, Problem{Type: ProblemBadRequest, Status: http.StatusBadRequest, Title: "The settings cannot be read", Detail: err.Error()})
		return
	}
	var list findings.List
	tree := jsontree.ParsePlain(body.Settings, &list)
	if err := list.Err(); err != nil {
		writeProblem(w, publishProblem(err))
		return
	}
	version, err := a.watcher.Recover(r.Context(), tree)
	if errors.Is(err, settingswatch.ErrNotLost) {
		writeProblem(w, Problem{Type: ProblemNotLost, Status: http.StatusConflict, Title: "Nothing to recover", Detail: err.Error()})
		return
	}
	if err != nil {
		writeProblem(w, publishProblem(err))
		return
	}
	writeJSON(w, http.StatusOK, Recovered{Version: version})
}

func newDecision(d *settings.Decision) Decision {
	return Decision{Decision: *d, Status: d.Status.String()}
}

// publishProblem returns the problem for an error of Publish or Recover.
func publishProblem(err error) Problem {
	var conflict *settingswatch.ConflictError
	var invalid *settingswatch.InvalidError
	var faults *findings.Error
	switch {
	case errors.As(err, &conflict):
		return Problem{Type: ProblemConflict, Status: http.StatusConflict, Title: "Another change won", Detail: err.Error(), Conflict: &conflict.Conflict}
	case errors.As(err, &invalid):
		return Problem{Type: ProblemInvalid, Status: http.StatusUnprocessableEntity, Title: "The change is not valid", Findings: invalid.Findings}
	case errors.As(err, &faults):
		p := Problem{Type: ProblemInvalid, Status: http.StatusUnprocessableEntity, Title: "The change is not valid"}
		for _, f := range faults.Findings {
			p.Findings = append(p.Findings, f.String())
		}
		return p
	case errors.Is(err, settingswatch.ErrUnknownOutcome):
		return Problem{Type: ProblemUnknown, Status: http.StatusGatewayTimeout, Title: "The outcome is not known yet; repeat with the same ID", Detail: err.Error()}
	default:
		return Problem{Type: ProblemNotAppended, Status: http.StatusServiceUnavailable, Title: "The change was not appended", Detail: err.Error()}
	}
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Query().Get("path")
	tree, version := a.watcher.Tree()
	origins := settings.Explain(tree, path)
	if origins == nil {
		writeProblem(w, Problem{Type: ProblemNotFound, Status: http.StatusNotFound, Title: "No such value", Detail: fmt.Sprintf("the tree has no value at %q", path)})
		return
	}
	answer := Explanation{Version: version}
	for _, o := range origins {
		answer.Origins = append(answer.Origins, explainOrigin(o))
	}
	writeJSON(w, http.StatusOK, answer)
}

func (a *API) history(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			writeProblem(w, Problem{Type: ProblemBadRequest, Status: http.StatusBadRequest, Title: "Bad limit", Detail: fmt.Sprintf("limit must be 1 to %d", maxHistoryLimit)})
			return
		}
		limit = n
	}
	decisions := make([]Decision, 0, limit)
	for _, d := range a.watcher.History(limit) {
		decisions = append(decisions, newDecision(d))
	}
	writeJSON(w, http.StatusOK, decisions)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
