package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
	"github.com/hazelworks/hazelworks/fleet/grants/budgetadmin"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/hostlist"
	"github.com/hazelworks/hazelworks/standin/loghttp"
	"github.com/hazelworks/hazelworks/standin/memlog"
	"github.com/hazelworks/hazelworks/standin/plain"
)

const (
	accountKey     = "key-of-the-yard"
	operatorSecret = "operator-secret-of-tests"
	budgetID       = record.BudgetID("yard/main")
	prepaid        = 100_000
	shardCount     = 2
	startTimeout   = 30 * time.Second
)

// binaries are built once for all tests.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hazelworks-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(os.PathSeparator), "../../hazelworks", "../../hazelctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	return m.Run()
}

// fleet is three host processes and the stand-ins of the platform and the upstreams,
// which run in the test process.
type fleet struct {
	t        *testing.T
	log      *memlog.Log
	hostList *hostlist.List
	engine   *engine.Engine
	plain    *plain.Service
	hosts    []*process
}

// process is a running host process.
type process struct {
	id     string
	caller string
	admin  string
	cmd    *exec.Cmd
	logs   *bytes.Buffer
	exited chan error
}

func newFleet(t *testing.T, options engine.Options) *fleet {
	t.Helper()
	options.Models = []string{"m"}
	f := &fleet{
		t:        t,
		log:      memlog.New(memlog.Options{Latency: time.Millisecond}),
		hostList: hostlist.New(0),
		engine:   engine.New(options),
		plain:    plain.New("bookings"),
	}
	platformURL := f.serve(loghttp.Handler(loghttp.Services{Log: f.log, Hosts: f.hostList}))
	for i := range 3 {
		f.hosts = append(f.hosts, f.start(fmt.Sprintf("host-%d", i), platformURL))
	}
	f.apply(f.serve(f.engine.Handler()), f.serve(f.plain.Handler()))
	f.ctl("budget", "topup", string(budgetID), fmt.Sprint(prepaid), "--id", "seed")
	for _, h := range f.hosts {
		f.awaitReady(h)
	}
	return f
}

// serve starts a server and returns its URL.
func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.CloseClientConnections)
	return server.URL
}

// start starts a host process and adds it to the host list.
func (f *fleet) start(id, platformURL string) *process {
	f.t.Helper()
	ip := nextLoopbackIP()
	addr := []string{ip + ":7000", ip + ":7001", ip + ":7002"}
	settings := fmt.Sprintf(`{
		// Written by a test.
		"host": {"id": %q, "region": "r", "failure_domain": %q},
		"listen": {"caller": %q, "peer": %q, "admin": %q},
		"platform": {"log_urls": [%q], "host_list_url": %q},
		"secrets": {"peer": "peer-secret-of-tests", "operator": %q},
		"timeouts": {"entry_ttl": "1s", "drain": "30s"},
	}`, id, "domain-"+id, addr[0], addr[1], addr[2], platformURL, platformURL, operatorSecret)
	path := filepath.Join(f.t.TempDir(), "host.jsonc")
	require.NoError(f.t, os.WriteFile(path, []byte(settings), 0o600))
	p := &process{
		id:     id,
		caller: "http://" + addr[0],
		admin:  "http://" + addr[2],
		cmd:    exec.Command(filepath.Join(binaries, "hazelworks"), "serve", "--config", path),
		logs:   new(bytes.Buffer),
		exited: make(chan error, 1),
	}
	p.cmd.Stderr = p.logs
	require.NoError(f.t, p.cmd.Start())
	go func() { p.exited <- p.cmd.Wait() }()
	f.t.Cleanup(func() { f.kill(p) })
	f.hostList.Put(platform.Host{
		ID: record.HostID(id), FailureDomain: "domain-" + id, Region: "r",
		CallerAddr: addr[0], PeerAddr: addr[1], State: platform.HostLive,
	})
	return p
}

// kill kills a process, waits for its exit and logs its output if the test failed.
func (f *fleet) kill(p *process) {
	_ = p.cmd.Process.Kill()
	err := <-p.exited
	p.exited <- err
	if f.t.Failed() {
		f.t.Logf("%s: %v\n%s", p.id, err, p.logs.String())
	}
}

var loopbackIPCount atomic.Uint32

// nextLoopbackIP returns a loopback IP address that no other host of this run has, so
// that fixed ports on it are free.
func nextLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, 1+loopbackIPCount.Add(1))
}

// apply applies a settings tree with a model service and a plain service.
func (f *fleet) apply(engineURL, plainURL string) {
	f.t.Helper()
	hash := sha256.Sum256([]byte(accountKey))
	tree := fmt.Sprintf(`{"shards": %d, "firms": {"yard": {
		"budgets": {"main": {"floor": 2000}},
		"accounts": {"office": {"keys": ["sha256:%s"], "budget": "main"}},
		"services": {
			"chat": {"kind": "model", "repeatable": true, "models": {"m": {}},
				"upstreams": {"engine": {"url": %q, "failure_domain": "d"}}},
			"bookings": {"kind": "plain", "repeatable": false, "price": {"per_call": 5},
				"upstreams": {"app": {"url": %q, "failure_domain": "d"}}}}}}}`,
		shardCount, hex.EncodeToString(hash[:]), engineURL, plainURL)
	path := filepath.Join(f.t.TempDir(), "tree.jsonc")
	require.NoError(f.t, os.WriteFile(path, []byte(tree), 0o600))
	f.awaitStatus(f.hosts[len(f.hosts)-1].admin + "/v1/settings")
	f.ctl("apply", path)
}

// ctl runs hazelctl against the last host, which no test stops, and returns its output.
func (f *fleet) ctl(args ...string) string {
	f.t.Helper()
	args = append(args, "--admin", f.hosts[len(f.hosts)-1].admin)
	cmd := exec.Command(filepath.Join(binaries, "hazelctl"), args...)
	cmd.Env = append(os.Environ(), "HAZEL_OPERATOR_SECRET="+operatorSecret)
	out, err := cmd.CombinedOutput()
	require.NoError(f.t, err, "hazelctl %v: %s", args, out)
	return string(out)
}

func (f *fleet) awaitReady(p *process) { f.awaitStatus(p.admin + "/readyz") }

// awaitStatus waits until a URL answers with status 200.
func (f *fleet) awaitStatus(url string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorSecret)
	require.Eventually(f.t, func() bool {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, startTimeout, 20*time.Millisecond)
}

// post sends a request to a host with the account's key.
func (f *fleet) post(ctx context.Context, p *process, path, requestID, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.caller+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	request.Header.Set("Idempotency-Key", requestID)
	request.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(request)
}

// signal sends a signal to a host's process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.t.Helper()
	require.NoError(f.t, p.cmd.Process.Signal(s))
}

// ledgerBudget returns the budget's state, folded from the records of the log.
func (f *fleet) ledgerBudget() ledger.BudgetState {
	f.t.Helper()
	budget, ok := f.fold().Ledger().Budget(budgetID)
	require.True(f.t, ok)
	return budget
}

// hasClaim reports whether the budget's shard has a claim.
func (f *fleet) hasClaim() bool { return f.fold().Claims().Len() > 0 }

// fold folds the records of the budget's shard and checks the fold after each.
func (f *fleet) fold() *shardfold.Fold {
	f.t.Helper()
	fold := shardfold.New(shardfold.Options{})
	for _, entry := range f.log.Records(record.StreamOfShard(record.ShardOf(budgetID, shardCount))) {
		_, err := fold.Apply(entry)
		require.NoError(f.t, err)
		require.NoError(f.t, fold.Check())
	}
	return fold
}

// holders returns the budget's holders as hazelctl lists them.
func (f *fleet) holders() []budgetadmin.Holder {
	f.t.Helper()
	var list budgetadmin.HolderList
	require.NoError(f.t, json.Unmarshal([]byte(f.ctl("budget", "holders", string(budgetID), "-o", "json")), &list))
	return list.Holders
}
