package settingscmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/admin"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/settingsapi"
	"github.com/hazelworks/hazelworks/fleet/settingswatch"
	"github.com/hazelworks/hazelworks/standin/hostlist"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

const (
	exampleFolder = "../../../examples/settings"
	testSecret    = "operator-secret-of-tests"
)

// fleet is the operators' API of one host with an in-memory log.
type fleet struct {
	t   *testing.T
	url string
	log *memlog.Log
}

func newFleet(t *testing.T) *fleet {
	log := memlog.New(memlog.Options{})
	host := platform.Host{ID: "h1", FailureDomain: "d1", State: platform.HostLive}
	list := hostlist.New(0)
	list.Put(host)
	view := member.New(member.Options{
		Self:     record.Holder{Host: "h1", Incarnation: 1},
		SelfHost: host,
		List:     list,
	})
	watcher := settingswatch.New(settingswatch.Options{Log: log, View: view, Logger: logr.Discard()})
	go func() { _ = watcher.Run(t.Context()) }()
	require.Eventually(t, watcher.CaughtUp, 10*time.Second, time.Millisecond)
	server := admin.New(testSecret, metrics.NewRegistry(), settingsapi.New(watcher, view, nil))
	httpServer := httptest.NewServer(server.Handler())
	t.Cleanup(httpServer.Close)
	t.Setenv("HAZEL_OPERATOR_SECRET", testSecret)
	return &fleet{t: t, url: httpServer.URL, log: log}
}

// result is the exit code and the output of a command.
type result struct {
	code   int
	stdout string
	stderr string
}

func (f *fleet) run(args ...string) result {
	f.t.Helper()
	root := &cobra.Command{Use: "hazelctl"}
	client := adminclient.AddFlags(root)
	root.AddCommand(Commands(client)...)
	var stdout, stderr bytes.Buffer
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(append([]string{"--admin", f.url}, args...))
	root.SetContext(context.Background())
	code := cli.Main(root, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

// writeTree writes a small settings tree to a new folder. Weight is a JSON value.
func writeTree(t *testing.T, weight string) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.MkdirAll(filepath.Join(dir, "firms"), 0o700))
	text := `{"budgets": {"b": {}}, "accounts": {"x": {"budget": "b", "weight": ` + weight + `}}}`
	require.NoError(t, os.WriteFile(filepath.Join(dir, "firms", "a.jsonc"), []byte(text), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "README.md"), []byte("not a declaration"), 0o600))
	return dir
}

func TestValidate(t *testing.T) {
	f := newFleet(t)
	got := f.run("validate", exampleFolder, "-o", "json")
	require.Equal(t, cli.ExitOK, got.code, got.stderr)
	require.JSONEq(t, `{"valid":true,"accounts":20,"budgets":7,"services":4,"upstreams":29}`, got.stdout)

	dir := writeTree(t, `"heavy"`)
	got = f.run("validate", dir)
	require.Equal(t, cli.ExitUsage, got.code)
	require.Contains(t, got.stderr, filepath.Join(dir, "firms", "a.jsonc")+":1:68: firms/a/accounts/x/weight: want a number, got a string")
	got = f.run("validate", dir, "-o", "json")
	require.Equal(t, cli.ExitUsage, got.code)
	require.Contains(t, got.stdout, `"path": "firms/a/accounts/x/weight"`)
	require.Equal(t, cli.ExitUsage, f.run("validate", filepath.Join(dir, "none")).code)
}

func TestPlanApplyGetHistoryStatus(t *testing.T) {
	f := newFleet(t)
	require.Equal(t, cli.ExitChanges, f.run("plan", exampleFolder).code)
	got := f.run("apply", exampleFolder, "--by", "nomsa", "-m", "first settings")
	require.Equal(t, cli.ExitOK, got.code, got.stderr)
	require.Contains(t, got.stderr, "h1: version 1 in force after")
	require.Equal(t, cli.ExitOK, f.run("plan", exampleFolder).code, "nothing left to change")
	require.Equal(t, cli.ExitOK, f.run("apply", exampleFolder).code)
	require.Len(t, f.log.Records(record.StreamSettings), 1, "an empty plan publishes nothing")

	got = f.run("get", "firms/tensilix/services/language/idle_timeout", "--explain")
	require.Equal(t, cli.ExitOK, got.code, got.stderr)
	require.Contains(t, got.stdout, "co-operative")
	require.Contains(t, got.stdout, `"20s"`)
	require.Equal(t, cli.ExitUsage, f.run("get", "firms/none").code)

	require.Contains(t, f.run("history").stdout, "first settings")
	got = f.run("status", "-o", "json")
	var status settingsapi.Status
	require.NoError(t, json.Unmarshal([]byte(got.stdout), &status))
	require.EqualValues(t, 1, status.Hosts[0].Version)
	require.True(t, status.Hosts[0].Answers)
	require.Contains(t, f.run("status").stdout, "version 1, offset 1 read")

	got = f.run("plan", writeTree(t, "2"), "-o", "json")
	require.Equal(t, cli.ExitChanges, got.code)
	require.Contains(t, got.stdout, `"firms/tensilix"`)
}

func TestConflictAndInvalidChange(t *testing.T) {
	f := newFleet(t)
	dir := writeTree(t, "2")
	require.Equal(t, cli.ExitOK, f.run("apply", dir).code)
	client := adminclient.AddFlags(&cobra.Command{})
	post := func(c settingsapi.Change) error {
		root := &cobra.Command{}
		client = adminclient.AddFlags(root)
		require.NoError(t, root.PersistentFlags().Set("admin", f.url))
		return client.Post(t.Context(), "/v1/settings/changes", c, nil)
	}
	edit := func(path, value string) []settingsapi.Edit {
		return []settingsapi.Edit{{Path: path, Value: json.RawMessage(value)}}
	}
	require.NoError(t, post(settingsapi.Change{ID: "one", Base: 1, By: "thandi", Edits: edit("firms/a/accounts/x/weight", "3")}))
	err := withExitCode(post(settingsapi.Change{ID: "two", Base: 1, Edits: edit("firms/a/accounts/x/weight", "4")}))
	require.ErrorContains(t, err, "change one by thandi, version 2, edited firms/a/accounts/x/weight first")
	var exit *cli.ExitError
	require.ErrorAs(t, err, &exit)
	require.Equal(t, cli.ExitConflict, exit.Code)
	err = withExitCode(post(settingsapi.Change{ID: "three", Base: 2, Edits: edit("firms/a/accounts/x/budget", `"none"`)}))
	require.ErrorContains(t, err, `firm a has no budget "none"`)
	require.ErrorAs(t, err, &exit)
	require.Equal(t, cli.ExitUsage, exit.Code)
	require.NoError(t, post(settingsapi.Change{ID: "one", Base: 1, Edits: edit("firms/a/accounts/x/weight", "3")}), "a repeat")
	err = withExitCode(post(settingsapi.Change{ID: "four", Base: 2, Edits: edit("schema", "2")}))
	require.ErrorContains(t, err, "schema: host h1 knows schemas up to 1")
	require.Len(t, f.log.Records(record.StreamSettings), 4, "nothing was appended")
}

func TestRecoverIsRefusedWhileSettingsAreKnown(t *testing.T) {
	f := newFleet(t)
	dir := writeTree(t, "2")
	require.Equal(t, cli.ExitOK, f.run("apply", dir).code)
	got := f.run("recover", dir)
	require.Equal(t, cli.ExitConflict, got.code)
	require.Contains(t, got.stderr, "they are not lost")
	require.Equal(t, cli.ExitUsage, f.run("recover", writeTree(t, "-2")).code)
}

func TestApplyWhileTheLogIsDown(t *testing.T) {
	f := newFleet(t)
	f.log.SetDown(true)
	got := f.run("apply", writeTree(t, "2"), "--wait", "300ms")
	require.Equal(t, cli.ExitUnreachable, got.code, got.stderr)
	f.url = "http://127.0.0.1:1"
	require.Equal(t, cli.ExitUnreachable, f.run("status").code)
}

func TestNewKeyMatchesItsHash(t *testing.T) {
	f := newFleet(t)
	got := f.run("key", "new", "-o", "json")
	require.Equal(t, cli.ExitOK, got.code)
	var key accountKey
	require.NoError(t, json.Unmarshal([]byte(got.stdout), &key))
	require.True(t, strings.HasPrefix(key.Hash, "sha256:"))
	dir := t.TempDir()
	text := `{"firms": {"a": {"budgets": {"b": {}}, "accounts": {"x": {"budget": "b", "keys": ["` + key.Hash + `"]}}}}}`
	file := filepath.Join(dir, "tree.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	require.Equal(t, cli.ExitOK, f.run("validate", file).code)
}
