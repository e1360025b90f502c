// Package settingsapi serves the operators' endpoints for the settings tree and the
// state of the fleet on the admin address of each host.
package settingsapi

import (
	"encoding/json"
	"time"

	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
)

// Tree is the answer of GET /v1/settings.
type Tree struct {
	Version record.Offset `json:"version"`
	// Settings is the declared tree, without inherited values.
	Settings json.RawMessage `json:"settings"`
}

// Recovery is the body of POST /v1/settings/recovery.
type Recovery struct {
	// Settings is the declared tree.
	Settings json.RawMessage `json:"settings"`
}

// Recovered is the answer of POST /v1/settings/recovery.
type Recovered struct {
	Version record.Offset `json:"version"`
}

// Edit sets the value at a path, or removes it if Value is absent.
type Edit struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is the body of POST /v1/settings/changes.
type Change struct {
	// ID makes the change idempotent: repeats with the same ID count once.
	ID string `json:"id"`
	// Base is the version that the change is based on.
	Base    record.Offset `json:"base"`
	By      string        `json:"by,omitempty"`
	Message string        `json:"message,omitempty"`
	Edits   []Edit        `json:"edits"`
}

// record returns the change in the form of the log.
func (c *Change) record() *settings.Change {
	out := &settings.Change{
		Kind:    settings.KindEdit,
		ID:      c.ID,
		Base:    c.Base,
		By:      c.By,
		Message: c.Message,
	}
	for _, e := range c.Edits {
		out.Edits = append(out.Edits, settings.Edit{Path: e.Path, Value: e.Value})
	}
	return out
}

// Decision is the decision on a change. It is the answer of POST
// /v1/settings/changes and an element of that of GET /v1/settings/history.
type Decision struct {
	settings.Decision
	Status string `json:"status"`
}

// Explanation is the answer of GET /v1/settings/explain.
type Explanation struct {
	Version record.Offset     `json:"version"`
	Origins []ExplainedOrigin `json:"origins"`
}

// ExplainedOrigin is the origin of a value: the level at which it is declared, and
// the values of other levels that it overrides.
type ExplainedOrigin struct {
	Path       string            `json:"path"`
	Value      json.RawMessage   `json:"value"`
	Level      string            `json:"level"`
	DeclaredAt string            `json:"declared_at"`
	Overridden []OverriddenValue `json:"overridden,omitempty"`
}

// OverriddenValue is a value that a stronger level overrides.
type OverriddenValue struct {
	Level      string          `json:"level"`
	DeclaredAt string          `json:"declared_at"`
	Value      json.RawMessage `json:"value"`
}

func explainOrigin(o settings.Origin) ExplainedOrigin {
	out := ExplainedOrigin{Path: o.Path, Value: raw(o.Value), Level: o.Level, DeclaredAt: o.DeclaredAt}
	for _, r := range o.Overridden {
		out.Overridden = append(out.Overridden, OverriddenValue{r.Level, r.DeclaredAt, raw(r.Value)})
	}
	return out
}

func raw(n *jsontree.Node) json.RawMessage {
	return n.AppendJSON(nil)
}

// Status is the answer of GET /v1/status: the state of the answering host, and of all
// hosts as it sees them.
type Status struct {
	Host        record.HostID      `json:"host"`
	Incarnation record.Incarnation `json:"incarnation"`
	// Version is the settings version in force on this host.
	Version record.Offset `json:"version"`
	Log     LogHealth     `json:"log"`
	// Figures are those of this host alone.
	Figures Figures      `json:"figures"`
	Hosts   []HostStatus `json:"hosts"`
}

// LogHealth is the state of the host's connection to the log.
type LogHealth struct {
	// Position is the last offset read from the settings stream.
	Position record.Offset `json:"position"`
	// LastRead is the time of the last successful read of the log.
	LastRead time.Time `json:"last_read"`
	// Error is the error of the last read, or empty.
	Error string `json:"error,omitempty"`
	// Unsupported is true if the tree needs a newer program than this host's.
	Unsupported bool `json:"unsupported,omitempty"`
}

// Figures are the grants and streams of a host.
type Figures struct {
	// Grants is the number of budgets of which the host has a grant.
	Grants int `json:"grants"`
	// Granted is the sum of the grants.
	Granted record.Tokens `json:"granted"`
	// Streams is the number of answers in progress.
	Streams int `json:"streams"`
}

// HostStatus is the state of a host as the answering host sees it.
type HostStatus struct {
	ID            record.HostID `json:"id"`
	FailureDomain string        `json:"failure_domain"`
	State         string        `json:"state"`
	// Version is the settings version that the host reports. Lag is the number of
	// offsets by which it is behind the newest version that any host reports.
	Version record.Offset `json:"version"`
	Lag     record.Offset `json:"lag"`
	// Schema is the newest schema of the tree that the host's program supports;
	// zero if the host did not answer.
	Schema int `json:"schema"`
	// Answers is false if the host did not answer for this status. Version is then
	// the last one that is known.
	Answers bool `json:"answers"`
}

// Problem is an error response in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Findings are the errors of a change that is not valid.
	Findings []string `json:"findings,omitempty"`
	// Conflict describes the change that won.
	Conflict *settings.Conflict `json:"conflict,omitempty"`
}

// Types of problem.
const (
	typePrefix        = "https://hazelworks.dev/problems/"
	ProblemBadRequest = typePrefix + "bad-request"
	// ProblemInvalid means that the change is not valid and was not applied.
	ProblemInvalid = typePrefix + "settings-invalid"
	// ProblemConflict means that an earlier change edited the same path.
	ProblemConflict = typePrefix + "settings-conflict"
	// ProblemNotAppended means that nothing reached the log.
	ProblemNotAppended = typePrefix + "settings-not-appended"
	// ProblemUnknown means that the change may still come into force. A repeat with
	// the same ID counts once.
	ProblemUnknown = typePrefix + "settings-outcome-unknown"
	// ProblemNotLost means that a recovery was requested but the settings are not
	// lost.
	ProblemNotLost  = typePrefix + "settings-not-lost"
	ProblemNotFound = typePrefix + "not-found"
	// ProblemNotKnown means that the host does not know the settings yet, because it
	// has just started.
	ProblemNotKnown = typePrefix + "settings-not-known"
)

const (
	maxChangeBytes      = 16 << 20
	publishTimeout      = 30 * time.Second
	statusTimeout       = time.Second
	statusParallel      = 32
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)
