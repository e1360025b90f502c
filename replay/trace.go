package replay

import (
	"encoding/json"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// Duration is a time span in the form of time.ParseDuration.
type Duration time.Duration

// UnmarshalText parses a duration that is not negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = errNegative
	}
	*d = Duration(v)
	return err
}

// Header is the first line of a trace.
type Header struct {
	// Trace is the trace's name.
	Trace string `json:"trace"`
	// Seed feeds all random choices.
	Seed uint64 `json:"seed"`
	// Duration is how long the trace runs. A quiet minute follows, in which
	// running requests end and bills reach the log.
	Duration Duration `json:"duration"`
	// Latency is the one-way delay between hosts, callers and upstreams.
	Latency Duration   `json:"latency"`
	Hosts   []HostSpec `json:"hosts"`
	Log     LogSpec    `json:"log"`
	// Engines gives the speed of all model upstreams.
	Engines EngineSpec `json:"engines"`
	Callers CallerSpec `json:"callers"`
	// Settings is the settings tree. Missing keys of accounts and URLs of
	// upstreams are filled in.
	Settings json.RawMessage `json:"settings"`
	Outcomes []Outcome       `json:"outcomes"`
}

// HostSpec is a host of the fleet.
type HostSpec struct {
	ID            record.HostID `json:"id"`
	FailureDomain string        `json:"failure_domain"`
}

// LogSpec describes the log service.
type LogSpec struct {
	// Retention is how long a record is kept; zero means for ever.
	Retention Duration `json:"retention"`
	// AppendsPerSecond bounds the appends; zero means no bound.
	AppendsPerSecond float64  `json:"appends_per_second"`
	Latency          Duration `json:"latency"`
}

// EngineSpec describes the speed of a model upstream.
type EngineSpec struct {
	Slots         int      `json:"slots"`
	FirstToken    Duration `json:"first_token"`
	TokenInterval Duration `json:"token_interval"`
}

// CallerSpec describes how callers retry.
type CallerSpec struct {
	// Tries bounds the attempts of one request; default 8.
	Tries int `json:"tries"`
	// Patience is how long a caller waits for the next byte; default 12 s.
	Patience Duration `json:"patience"`
	// Wait is the time between attempts; default 1 s.
	Wait Duration `json:"wait"`
}

// Comparison relates a measured value to its bound.
type Comparison string

// Comparisons of an outcome.
const (
	Equal   Comparison = "=="
	AtMost  Comparison = "<="
	AtLeast Comparison = ">="
)

// Outcome is what a trace states.
type Outcome struct {
	Measure    Measure    `json:"measure"`
	Comparison Comparison `json:"comparison"`
	Bound      float64    `json:"bound"`
}

// Holds reports whether a measured value meets the outcome.
func (o Outcome) Holds(value float64) bool {
	switch o.Comparison {
	case Equal:
		return value == o.Bound
	case AtMost:
		return value <= o.Bound
	default:
		return value >= o.Bound
	}
}

// EventKind names what happens.
type EventKind string

// Kinds of event.
const (
	EventTopUp       EventKind = "top-up"
	EventLoad        EventKind = "load"
	EventCut         EventKind = "cut"
	EventHeal        EventKind = "heal"
	EventSilence     EventKind = "silence"
	EventKill        EventKind = "kill"
	EventStart       EventKind = "start"
	EventStop        EventKind = "stop"
	EventPause       EventKind = "pause"
	EventWake        EventKind = "wake"
	EventRelease     EventKind = "release"
	EventLogDown     EventKind = "log-down"
	EventLogUp       EventKind = "log-up"
	EventLostReplies EventKind = "lost-replies"
	EventSlowAppends EventKind = "slow-appends"
	EventLeave       EventKind = "upstream-leaves"
)

// Event is a later line of a trace. Which fields it needs depends on its kind.
type Event struct {
	At    Duration  `json:"at"`
	Event EventKind `json:"event"`
	// Budget and Amount belong to a top-up.
	Budget record.BudgetID `json:"budget"`
	Amount record.Tokens   `json:"amount"`
	// Account sends Rate requests a second for the time For.
	Account string   `json:"account"`
	Rate    float64  `json:"rate"`
	For     Duration `json:"for"`
	// Model is asked for answers of Tokens tokens, capped at MaxTokens.
	Model     string `json:"model"`
	Tokens    int    `json:"tokens"`
	MaxTokens int    `json:"max_tokens"`
	// Service is a plain service that is called instead of a model.
	Service string `json:"service"`
	// Entry makes the callers use these hosts instead of the entry answer.
	Entry []record.HostID `json:"entry"`
	// From and To are sides of a cut: hosts, upstreams, "log" or "callers".
	From []string `json:"from"`
	To   []string `json:"to"`
	// OneWay cuts the direction from From to To only.
	OneWay bool          `json:"one_way"`
	Host   record.HostID `json:"host"`
	// Share is the share of appends whose reply is lost.
	Share float64 `json:"share"`
	// Delay is added before an append takes effect.
	Delay    Duration `json:"delay"`
	Upstream string   `json:"upstream"`

	line int
}

// Trace is a parsed trace file.
type Trace struct {
	Header
	Events []Event
}
