package settings

import (
	"io/fs"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

func exampleFiles(t testing.TB) []File {
	t.Helper()
	folder := os.DirFS("../../examples/settings")
	var files []File
	require.NoError(t, fs.WalkDir(folder, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !IsDeclaration(name) {
			return err
		}
		data, err := fs.ReadFile(folder, name)
		files = append(files, File{Name: name, DisplayName: name, Data: data})
		return err
	}))
	return files
}

func exampleTree(t testing.TB) *jsontree.Node {
	t.Helper()
	tree, _, err := Load(exampleFiles(t))
	require.NoError(t, err)
	return tree
}

func mustParse(t testing.TB, text string) *jsontree.Node {
	t.Helper()
	var list findings.List
	n := jsontree.ParsePlain([]byte(text), &list)
	require.NoError(t, list.Err())
	return n
}

func TestExampleInheritsFromEveryLevel(t *testing.T) {
	_, got, err := Load(exampleFiles(t))
	require.NoError(t, err)
	require.Len(t, got.Accounts, 20)
	language, ok := got.Service("tensilix/language")
	require.True(t, ok)
	require.Equal(t, 3*time.Minute, language.RequestTimeout, "service over co-operative")
	require.Equal(t, 20*time.Second, language.IdleTimeout, "co-operative")
	require.Equal(t, 256, language.QueueLimit, "built-in")
	require.Len(t, language.Upstreams, 12)
	require.Equal(t, 12, language.Upstreams[0].Slots, "service over built-in")
	testing, ok := got.Budget("tensilix/testing")
	require.True(t, ok)
	require.Equal(t, BudgetPolicy{2 * time.Second, 4000, 5 * time.Second, 2 * time.Second}, testing.Policy)
	trial, ok := got.Account("tensilix/trial")
	require.True(t, ok)
	require.Equal(t, record.BudgetID("tensilix/general"), trial.Budget, "firm")
	require.Len(t, got.ServicesWithModel("lab-7b"), 1)
}

func TestLoadReportsAllFindings(t *testing.T) {
	files := []File{
		{Name: "co-operative.jsonc", DisplayName: "co-operative.jsonc", Data: []byte(`{
  "shards": 0,
  "defaults": {"service": {"queue_limit": "many"}},
}`)},
		{Name: "firms/a.jsonc", DisplayName: "a.jsonc", Data: []byte(`{
  "accounts": {
    "x": {"keys": ["secret"], "budget": "none"},
    "y": {"services": ["gone"], "weight": -1},
    "bad name": {},
  },
  "budgets": {"b": {"slice": "1 s", "flor": 2}},
  "services": {
    "s": {"kind": "model", "upstreams": {"u": {"url": "ftp://h", "models": ["m"]}}},
    "p": {"repeatable": false, "request_timeout": "1s", "firm_weights": {"nobody": 1}},
  },
}`)},
		{Name: "firms/a/budgets.jsonc", DisplayName: "budgets.jsonc", Data: []byte(`{"b": 3, "c": [}`)},
		{Name: "firms/a/accounts.jsonc", DisplayName: "accounts.jsonc", Data: []byte(`{"x": {"budget": "b"}}`)},
	}
	_, _, err := Load(files)
	var all *findings.Error
	require.ErrorAs(t, err, &all)
	require.Equal(t, strings.TrimSpace(`
a.jsonc:3:20: firms/a/accounts/x/keys[0]: want "sha256:" and 64 hexadecimal digits; keys themselves are never declared
a.jsonc:3:41: firms/a/accounts/x/budget: firm a has no budget "none"
a.jsonc:4:10: firms/a/accounts/y/budget: missing: name a budget of the firm
a.jsonc:4:23: firms/a/accounts/y/services: there is no service "a/gone"
a.jsonc:4:43: firms/a/accounts/y/weight: must be at least 0.001, got -1
a.jsonc:5:17: firms/a/accounts/bad name: name "bad name": want letters, digits, dots, underscores and hyphens, at most 63
a.jsonc:7:30: firms/a/budgets/b/slice: want a duration such as "2s", got "1 s"
a.jsonc:7:45: firms/a/budgets/b/flor: unknown name, did you mean "floor"?
a.jsonc:9:10: firms/a/services/s/models: missing: a model service offers at least one
a.jsonc:9:10: firms/a/services/s/repeatable: missing: say whether a request may run twice
a.jsonc:9:41: firms/a/services/s/upstreams: a/s/u serves model "m", which the service does not offer
a.jsonc:9:47: firms/a/services/s/upstreams/u/failure_domain: missing
a.jsonc:9:55: firms/a/services/s/upstreams/u/url: want a URL such as http://10.0.0.1:9000 without query or fragment
a.jsonc:10:10: firms/a/services/p/idle_timeout: 30s exceeds the request_timeout of 1s
a.jsonc:10:10: firms/a/services/p/kind: missing: "model" or "plain"
a.jsonc:10:73: firms/a/services/p/firm_weights: there is no firm "nobody"
accounts.jsonc:1:18: firms/a/accounts/x/budget: given twice, first at a.jsonc:3:41
budgets.jsonc:1:16: invalid character '}' at start of value
co-operative.jsonc:2:13: shards: must be at least 1, got 0
co-operative.jsonc:3:43: defaults/service/queue_limit: want a number, got a string`), err.Error())
}

func TestPlanShowsInheritedChanges(t *testing.T) {
	before := exampleTree(t)
	after := before.Set("defaults/service/request_timeout", mustParse(t, `"1m"`)).
		Set("firms/tensilix/accounts/trial", nil)
	plan := NewPlan(before, after)
	require.Len(t, plan.Declared, 2)
	require.Equal(t, "defaults/service/request_timeout", plan.Declared[0].Path)
	require.Nil(t, plan.Declared[1].New)
	require.Len(t, plan.Inherited, 1, "the other services override it")
	require.Equal(t, "firms/mokoena-botha/services/templating/request_timeout", plan.Inherited[0].Path)
}

func TestExplainReturnsTheLevelOfEachValue(t *testing.T) {
	tree := exampleTree(t)
	for path, want := range map[string]string{
		"firms/tensilix/services/language/request_timeout":           LevelEntry,
		"firms/tensilix/services/language/idle_timeout":              LevelCooperative,
		"firms/tensilix/services/language/queue_limit":               LevelBuiltin,
		"firms/tensilix/services/language/upstreams/engine-01/slots": LevelService,
		"firms/tensilix/accounts/trial/budget":                       LevelFirm,
		"shards":                                                     LevelCooperative,
	} {
		origins := Explain(tree, path)
		require.Len(t, origins, 1, path)
		require.Equal(t, want, origins[0].Level, path)
	}
	overridden := Explain(tree, "firms/tensilix/services/language/request_timeout")[0].Overridden
	require.Len(t, overridden, 2)
	require.Equal(t, "2m", overridden[0].Value.Text)
	require.Equal(t, "5m", overridden[1].Value.Text)
	require.Nil(t, Explain(tree, "firms/nobody"))
	require.Greater(t, len(Explain(tree, "firms/tensilix/services/language")), 80)
}
