package settings

import (
	_ "embed" // for the built-in values
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// SupportedSchema is the newest schema of the tree that this code can validate.
// Every new name, bound or check needs a new schema, so that all hosts decide on
// a change alike.
const SupportedSchema = 1

// MaxTreeBytes is the largest total size of a tree's names and values, in bytes.
const MaxTreeBytes = 8 << 20

//go:embed builtin.jsonc
var builtinSource []byte

// builtin holds the values that apply where no level declares one.
var builtin = mustParseBuiltin()

func mustParseBuiltin() *jsontree.Node {
	var list findings.List
	root := jsontree.Parse("builtin.jsonc", builtinSource, &list)
	if err := list.Err(); err != nil {
		panic(err) // the source is embedded
	}
	return root
}

// rootSpec is the declared form of the root of a tree.
type rootSpec struct {
	Schema   int                 `json:"schema" min:"1"`
	Shards   uint32              `json:"shards" min:"1" max:"4096"`
	Defaults defaultsSpec        `json:"defaults"`
	Firms    map[string]firmSpec `json:"firms"`
}

type defaultsSpec struct {
	Service  serviceValues  `json:"service"`
	Upstream upstreamValues `json:"upstream"`
	Account  accountValues  `json:"account"`
	Budget   budgetValues   `json:"budget"`
}

// firmSpec leaves the entries undecoded: inherited values must be decoded before
// an entry's own.
type firmSpec struct {
	Defaults defaultsSpec              `json:"defaults"`
	Services map[string]*jsontree.Node `json:"services"`
	Accounts map[string]*jsontree.Node `json:"accounts"`
	Budgets  map[string]*jsontree.Node `json:"budgets"`
}

// serviceValues are the values that a service can inherit.
type serviceValues struct {
	Repeatable     bool               `json:"repeatable"`
	Price          priceSpec          `json:"price"`
	MaxOutput      int                `json:"max_output" min:"1" max:"1000000"`
	RequestTimeout time.Duration      `json:"request_timeout" min:"100ms" max:"24h"`
	IdleTimeout    time.Duration      `json:"idle_timeout" min:"100ms" max:"1h"`
	QueueLimit     int                `json:"queue_limit" min:"0" max:"100000"`
	QueueTimeout   time.Duration      `json:"queue_timeout" min:"0s" max:"1h"`
	RetryShare     float64            `json:"retry_share" min:"0" max:"1"`
	MaxBodyBytes   int64              `json:"max_body_bytes" min:"1" max:"1073741824"`
	FirmWeights    map[string]float64 `json:"firm_weights"`
}

type priceSpec struct {
	InputMilli  int64         `json:"input_milli" min:"0" max:"1000000000"`
	OutputMilli int64         `json:"output_milli" min:"0" max:"1000000000"`
	PerCall     record.Tokens `json:"per_call" min:"0" max:"1000000000"`
	PerKiB      record.Tokens `json:"per_kib" min:"0" max:"1000000000"`
}

type serviceSpec struct {
	serviceValues
	Kind      ServiceKind               `json:"kind" oneof:"model,plain"`
	Models    map[string]modelSpec      `json:"models"`
	Defaults  upstreamDefaults          `json:"defaults"`
	Upstreams map[string]*jsontree.Node `json:"upstreams"`
}

type upstreamDefaults struct {
	Upstream upstreamValues `json:"upstream"`
}

type modelSpec struct {
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	MinReplicas int      `json:"min_replicas" min:"0" max:"10000"`
}

// upstreamValues are the values that an upstream can inherit.
type upstreamValues struct {
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role" oneof:"any,prefill,decode"`
	Slots         int    `json:"slots" min:"1" max:"100000"`
	ChecksFencing bool   `json:"checks_fencing"`
	Leaving       bool   `json:"leaving"`
}

type upstreamSpec struct {
	upstreamValues
	URL    urlSpec  `json:"url"`
	Models []string `json:"models"`
}

// accountValues are the values that an account can inherit.
type accountValues struct {
	Budget   string   `json:"budget"`
	Weight   float64  `json:"weight" min:"0.001" max:"1000"`
	Services []string `json:"services"`
}

type accountSpec struct {
	accountValues
	Keys []keySpec `json:"keys"`
}

// budgetValues are the values that a budget can inherit.
type budgetValues struct {
	Slice       time.Duration `json:"slice" min:"100ms" max:"1h"`
	Floor       record.Tokens `json:"floor" min:"1" max:"1000000000"`
	RecallDelay time.Duration `json:"recall_delay" min:"100ms" max:"24h"`
	RefusalWait time.Duration `json:"refusal_wait" min:"0s" max:"5m"`
}

// KeyPrefix is the prefix of a key hash in text form.
const KeyPrefix = "sha256:"

var errKeyHash = errors.New(`want "sha256:" and 64 hexadecimal digits; keys themselves are never declared`)

// keySpec is a declared key hash.
type keySpec KeyHash

// UnmarshalText parses a hash in the form sha256:<64 hexadecimal digits>.
func (k *keySpec) UnmarshalText(text []byte) error {
	digits, ok := strings.CutPrefix(string(text), KeyPrefix)
	if !ok {
		return errKeyHash
	}
	hash, err := hex.DecodeString(digits)
	if err != nil || len(hash) != len(k) {
		return errKeyHash
	}
	copy(k[:], hash)
	return nil
}
