// Package settingsapi serves the operators' endpoints of the settings tree and
// of the fleet's state on the admin address of every host.
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

// Recovered is its answer.
type Recovered struct {
	Version record.Offset `json:"version"`
}

// Edit sets or removes a value. Value is absent for a removal.
type Edit struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is the body of POST /v1/settings/changes.
type Change struct {
	// ID makes the change idempotent; a repeat with the same ID counts once.
	ID string `json:"id"`
	// Base is the version that the change was made against.
	Base    record.Offset `json:"base"`
	By      string        `json:"by,omitempty"`
	Message string        `json:"message,omitempty"`
	Edits   []Edit        `json:"edits"`
}

// record returns the change as the log holds it.
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

// Decision is a judged change.
type Decision struct {
	settings.Decision
	Status string `json:"status"`
}

// Explanation is the answer of GET /v1/settings/explain.
type Explanation struct {
	Version record.Offset     `json:"version"`
	Origins []ExplainedOrigin `json:"origins"`
}

// ExplainedOrigin tells which level gives a value.
type ExplainedOrigin struct {
	Path       string            `json:"path"`
	Value      json.RawMessage   `json:"value"`
	Level      string            `json:"level"`
	DeclaredAt string            `json:"declared_at"`
	Overridden []OverriddenValue `json:"overridden,omitempty"`
}

// OverriddenValue is a value that a stronger level replaces.
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

// Status is the answer of GET /v1/status: the host that answers, and all hosts
// as it sees them.
type Status struct {
	Host        record.HostID      `json:"host"`
	Incarnation record.Incarnation `json:"incarnation"`
	// Version is the settings version in force on this host.
	Version record.Offset `json:"version"`
	Log     LogHealth     `json:"log"`
	// Figures are this host's own.
	Figures Figures      `json:"figures"`
	Hosts   []HostStatus `json:"hosts"`
}

// LogHealth tells how the host reaches the log.
type LogHealth struct {
	// Position is the last offset read from the settings stream.
	Position record.Offset `json:"position"`
	// LastRead is when the log last answered.
	LastRead time.Time `json:"last_read"`
	Error    string    `json:"error,omitempty"`
	// Unsupported is true if the tree needs a newer program than this host's.
	Unsupported bool `json:"unsupported,omitempty"`
}

// Figures count what a host holds.
type Figures struct {
	// Grants is the number of budgets that the host holds a grant of.
	Grants int `json:"grants"`
	// Granted is their sum.
	Granted record.Tokens `json:"granted"`
	// Streams is the number of answers in progress.
	Streams int `json:"streams"`
}

// HostStatus is a host as the answering one sees it.
type HostStatus struct {
	ID            record.HostID `json:"id"`
	FailureDomain string        `json:"failure_domain"`
	State         string        `json:"state"`
	// Version is the settings version that the host reports, Lag the number of
	// offsets that it is behind the newest one reported by any host.
	Version record.Offset `json:"version"`
	Lag     record.Offset `json:"lag"`
	// Schema is the newest schema of the tree that the host's program knows, zero
	// if it did not answer.
	Schema int `json:"schema"`
	// Answers is false if the host did not answer for this status; Version is
	// then the last one heard.
	Answers bool `json:"answers"`
}

// Problem is an error answer, in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Findings are the faults of a change that is not valid.
	Findings []string `json:"findings,omitempty"`
	// Conflict names the change that won.
	Conflict *settings.Conflict `json:"conflict,omitempty"`
}

// Types of problem.
const (
	typePrefix        = "https://hazelworks.dev/problems/"
	ProblemBadRequest = typePrefix + "bad-request"
	// ProblemInvalid means that the change has faults; nothing changed.
	ProblemInvalid = typePrefix + "settings-invalid"
	// ProblemConflict means that an earlier change touched the same path.
	ProblemConflict = typePrefix + "settings-conflict"
	// ProblemNotAppended means that nothing reached the log.
	ProblemNotAppended = typePrefix + "settings-not-appended"
	// ProblemUnknown means that the change may yet come into force; a repeat
	// with the same ID counts once.
	ProblemUnknown = typePrefix + "settings-outcome-unknown"
	// ProblemNotLost means that a recovery was asked for and is not needed.
	ProblemNotLost  = typePrefix + "settings-not-lost"
	ProblemNotFound = typePrefix + "not-found"
	// ProblemNotKnown means that the host has just started.
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
