package crowd

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/hostlist"
	"github.com/hazelworks/hazelworks/standin/loghttp"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

const (
	// gatewayBodyTime is the time that the chat gateway gives a body.
	gatewayBodyTime = 10 * time.Second

	operatorSecret = "operator-secret-of-tests"
	chatPath       = "/v1/chat/completions"
	chatBody       = `{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"tokens=5"}]}`
)

// gatewayHost is a host process of the chat gateway. Its platform and upstreams run in the test process.
type gatewayHost struct {
	*process
	caller, admin string
	engine        *engine.Engine
	refusals      refusals
}

func startGateway(t *testing.T) *gatewayHost {
	t.Helper()
	h := &gatewayHost{engine: engine.New(engine.Options{Models: []string{"m"}})}
	hosts := hostlist.New(0)
	platformURL := serve(t, loghttp.Handler(loghttp.Services{Log: memlog.New(memlog.Options{Latency: time.Millisecond}), Hosts: hosts}))
	ip := nextLoopbackIP()
	peer := ip + ":7001"
	h.caller, h.admin = ip+":7000", ip+":7002"
	settings := fmt.Sprintf(`{
		"host": {"id": "host-0", "region": "r", "failure_domain": "d"},
		"listen": {"caller": %q, "peer": %q, "admin": %q},
		"platform": {"log_urls": [%q], "host_list_url": %q},
		"secrets": {"peer": "peer-secret-of-tests", "operator": %q},
		"timeouts": {"entry_ttl": "1s", "body_read": %q},
		"limits": {"header_bytes": %d, "body_bytes": %d},
	}`, h.caller, peer, h.admin, platformURL, platformURL, operatorSecret, gatewayBodyTime.String(), maxHeaderBytes, maxBodyBytes)
	path := filepath.Join(t.TempDir(), "host.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	cmd := exec.Command(binary("hazelworks"), "serve", "--config", path)
	// The settings file does not state the memory of the machine. The variable leaves room for what the
	// Go runtime does not count.
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", smallMachineMiB*3/4))
	h.process = startProcess(t, cmd, bounds{memoryMiB: smallMachineMiB})
	hosts.Put(platform.Host{
		ID: record.HostID("host-0"), FailureDomain: "d", Region: "r", CallerAddr: h.caller, PeerAddr: peer, State: platform.HostLive,
	})
	h.await("/v1/settings")
	h.apply(serve(t, h.engine.Handler()))
	h.ctl("budget", "topup", "yard/main", "1000000", "--id", "seed")
	h.await("/readyz")
	h.requireAnswer("before the crowd")
	return h
}

// serve starts a server and returns its URL.
func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	return server.URL
}

// apply applies a settings tree with a model service.
func (h *gatewayHost) apply(engineURL string) {
	h.t.Helper()
	hash := sha256.Sum256([]byte(accountKey))
	tree := fmt.Sprintf(`{"shards": 1, "firms": {"yard": {
		"budgets": {"main": {"floor": 2000}},
		"accounts": {"office": {"keys": ["sha256:%s"], "budget": "main"}},
		"services": {
			"chat": {"kind": "model", "repeatable": true, "models": {"m": {}},
				"upstreams": {"engine": {"url": %q, "failure_domain": "d"}}}}}}}`,
		hex.EncodeToString(hash[:]), engineURL)
	path := filepath.Join(h.t.TempDir(), "tree.jsonc")
	require.NoError(h.t, os.WriteFile(path, []byte(tree), 0o600))
	h.ctl("apply", path)
}

// ctl runs hazelctl against the host.
func (h *gatewayHost) ctl(args ...string) {
	h.t.Helper()
	cmd := exec.Command(binary("hazelctl"), append(args, "--admin", "http://"+h.admin)...)
	cmd.Env = append(os.Environ(), "HAZEL_OPERATOR_SECRET="+operatorSecret)
	out, err := cmd.CombinedOutput()
	require.NoError(h.t, err, "hazelctl %v: %s", args, out)
}

// await waits until a path of the admin interface answers with status 200.
func (h *gatewayHost) await(path string) {
	h.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+h.admin+path, nil)
	require.NoError(h.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorSecret)
	require.Eventually(h.t, func() bool {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, waitTime, 20*time.Millisecond)
}

// gatewayHead returns the head of a request to the chat gateway up to its framing.
func gatewayHead(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Type: application/json\r\n",
		path, accountKey, id)
}

// requireAnswer sends a request as an ordinary caller, which retries, and fails the test unless it
// gets the whole answer.
func (h *gatewayHost) requireAnswer(when string) {
	h.t.Helper()
	last, tries := "", 0
	for end := time.Now().Add(waitTime); time.Now().Before(end); time.Sleep(retryPause) {
		h.requireAlive(when)
		tries++
		id := nextRequestID()
		conn, err := net.DialTimeout("tcp", h.caller, time.Second)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
		resp, answer, err := exchange(conn, gatewayHead(chatPath, id), announcedText(chatBody))
		if err != nil {
			last = err.Error()
			continue
		}
		if resp.StatusCode == http.StatusOK && strings.Contains(string(answer), engine.TokenText(id, 4)) && strings.Contains(string(answer), "[DONE]") {
			h.t.Logf("answered %s at try %d (before it: %s)", when, tries, last)
			return
		}
		if promises(resp.StatusCode) {
			h.refusals.note(id, resp.StatusCode)
		}
		last = fmt.Sprintf("status %d, %.100q", resp.StatusCode, answer)
	}
	h.t.Fatalf("no answer to %d ordinary requests %s; the last: %s", tries, when, last)
}

// checkRefusals fails the test if a request has run that was refused as not run.
func (h *gatewayHost) checkRefusals() {
	h.t.Helper()
	statuses, answers := h.refusals.snapshot()
	h.t.Logf("answers by status (0: closed): %s", answers)
	for _, run := range h.engine.Runs() {
		assert.NotContains(h.t, statuses, run.RequestID)
	}
}

func endureAtGateway(t *testing.T, c crowd) {
	t.Helper()
	h := startGateway(t)
	m := newMembers(&h.refusals, gatewayHead)
	t.Cleanup(m.leave)
	m.start(c, h.caller)
	h.requireAnswer("while the crowd begins")
	m.awaitSettled(sendTime)
	h.awaitQuiet(quietTime)
	h.requireAnswer("while the crowd is there")
	m.leave()
	h.requireAnswer("after the crowd has left")
	h.requireAlive("at the end")
	h.checkUsage()
	h.checkRefusals()
}

// Bodies of legal size that stay just short of their end must not fill the memory of the chat gateway.
func TestLargeBodiesAtTheChatGateway(t *testing.T) { endureAtGateway(t, gatewayBodies) }

// Nor must bodies without an announced length, whose buffers grow.
func TestLargeChunksAtTheChatGateway(t *testing.T) { endureAtGateway(t, gatewayChunks) }
