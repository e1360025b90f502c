package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/platform/boot"
	"github.com/hazelworks/hazelworks/platform/standin"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

const (
	accountKey = "key-a"
	// storePort and upstreamPort are ports of the stand-ins.
	storePort    = 8223
	upstreamPort = 8080
	// peerPort is the first port of the range in the settings of hosts.
	peerPort = 7340
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 10 * time.Second
	// heartbeatInterval is the time between two entries of an upstream.
	heartbeatInterval = 400 * time.Millisecond
	// waitTime only keeps a test from hanging.
	waitTime = 60 * time.Second
)

// host is a host process on the platform. The store and the upstreams run in the test process.
type host struct {
	*process
	ip        string
	upstreams map[string]*standin.Upstream
	store     *http.Server
	runs      standin.RunRecorder
	refusals  refusals
}

// behaviours of the upstream of each service.
var behaviours = map[string]standin.Behaviour{
	"llm":   {Events: 3},
	"desk":  {},
	"files": {Bytes: answerBytes},
	"calm":  {},
}

// startHost starts a host that may use as many descriptors as the tests usually set.
func startHost(t *testing.T, memoryMiB int) *host {
	t.Helper()
	return startHostOn(t, bounds{memoryMiB, maxDescriptors})
}

// startHostOn starts a host on a machine of a size.
func startHostOn(t *testing.T, machine bounds) *host {
	t.Helper()
	h := &host{ip: nextLoopbackIP(), upstreams: make(map[string]*standin.Upstream)}
	log := memkeyed.New()
	require.NoError(t, standin.Configure(log, configuration()))
	storeListener := listen(t, h.ip, storePort)
	h.store = &http.Server{Handler: standin.NewStore(log)}
	go func() { _ = h.store.Serve(storeListener) }()
	for service, behaviour := range behaviours {
		l := listen(t, nextLoopbackIP(), upstreamPort)
		u := &standin.Upstream{
			Log: log, Recorder: &h.runs, ID: "i-" + service, Address: l.Addr().String(), Service: service,
			FailureDomain: "z1", Slots: 128, State: "ready", StartedMS: time.Now().UnixMilli(),
		}
		u.SetBehaviour(behaviour)
		u.Heartbeat()
		h.upstreams[service] = u
		go u.Serve(l)
		go func() {
			for t.Context().Err() == nil {
				time.Sleep(heartbeatInterval)
				u.Heartbeat()
			}
		}()
	}
	path := filepath.Join(t.TempDir(), "boot.conf")
	settings := standin.HostSettings(standin.HostOptions{
		Name: "front-1", FailureDomain: "z1", IP: h.ip, Store: storeListener.Addr().String(), Grace: graceTime,
		MemoryMB: machine.memoryMiB, Descriptors: machine.descriptors,
	})
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	cmd := exec.Command(binary("hazelworks"), "platform")
	cmd.Env = append(os.Environ(), boot.EnvPath+"="+path)
	h.process = startProcess(t, cmd, machine)
	h.requireReachable("after its start")
	h.requireAnswer("before the crowd")
	return h
}

func listen(t *testing.T, ip string, port int) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// configuration returns the operator's configuration: the services of [behaviours], and routes that
// leave time enough for a crowd.
func configuration() standin.Config {
	c := standin.BaseConfig(1)
	c.SetPrepaid(1 << 40)
	c["limits"] = standin.Config{
		"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes,
		"header_timeout_ms": headerTimeoutMS, "idle_timeout_ms": idleTimeoutMS,
	}
	routes := c["routes"].([]standin.Config)
	for _, route := range routes {
		route["timeout_ms"], route["latency_slo_ms"] = crowdTimeout.Milliseconds(), 5000
		if route["name"] == "look" {
			route["service"] = "calm"
		}
	}
	c["routes"] = append(routes, standin.Config{
		"name": "files", "host": "h.example", "path_prefix": "/files/", "kind": "idempotent", "service": "files",
		"timeout_ms": crowdTimeout.Milliseconds(), "latency_slo_ms": 5000, "max_attempts": 1, "public": false, "priority": 1,
	})
	services := c["services"].([]standin.Config)
	services[0]["engine"] = standin.Config{"slots": 128, "kv_tokens": 10_000_000, "stride": 3}
	for _, name := range []string{"files", "calm"} {
		services = append(services, standin.Config{"name": name, "health_path": "/healthz"})
	}
	c["services"] = services
	c.SetMaxConns(300)
	return c
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// gather starts a crowd at the port for callers.
func (h *host) gather(crowds ...crowd) *members {
	m := newMembers(&h.refusals, platformHead)
	h.t.Cleanup(m.leave)
	for _, c := range crowds {
		m.start(c, h.address(standin.CallerPort))
	}
	return m
}

// Times that a crowd gets to send, and the host to take it in, before a caller comes.
const (
	sendTime  = 8 * time.Second
	quietTime = 5 * time.Second
)

// endure checks the host while a crowd is there and once it has left.
func (h *host) endure(m *members) {
	h.t.Helper()
	h.requireAnswer("while the crowd begins")
	m.awaitSettled(sendTime)
	h.awaitQuiet(quietTime)
	h.requireAnswer("while the crowd is there")
	m.leave()
	h.requireAnswer("after the crowd has left")
	h.check()
}

// check checks what must hold at the end of each test.
func (h *host) check() {
	h.t.Helper()
	h.requireAlive("at the end")
	h.checkUsage()
	h.checkRefusals()
}

// checkRefusals fails the test if a request has run that was refused as not run.
func (h *host) checkRefusals() {
	h.t.Helper()
	statuses, answers := h.refusals.snapshot()
	h.t.Logf("answers by status (0: closed): %s", answers)
	for id, status := range statuses {
		assert.Empty(h.t, h.runs.Runs(id), "request %s was answered %d", id, status)
	}
}

// get returns the status and the body of one of the host's own interfaces, or 0.
func (h *host) get(port int, path string) (int, []byte) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.address(port) + path)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// requireReachable waits until the host is ready and its directory lists it.
func (h *host) requireReachable(when string) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		h.requireAlive(when)
		if status, _ := h.get(standin.ReadyPort, "/-/readyz"); status != http.StatusOK {
			return false
		}
		status, body := h.get(standin.DirectoryPort, "/-/resolve?name=h.example&region=r1&zone=z1")
		var list struct {
			Addresses []string `json:"addresses"`
		}
		return status == http.StatusOK && json.Unmarshal(body, &list) == nil && len(list.Addresses) > 0
	}, waitTime, 50*time.Millisecond, "the host is not reachable %s", when)
}

// ordinaryTimeout is the time within which a caller wants the answer.
const ordinaryTimeout = 10 * time.Second

// requireAnswer sends a request as an ordinary caller, which retries after refusals and closed
// connections, and fails the test unless it gets the whole answer of the upstream.
func (h *host) requireAnswer(when string) {
	h.t.Helper()
	b := announcedText("an ordinary request")
	last, tries := "", 0
	for end := time.Now().Add(waitTime); time.Now().Before(end); {
		h.requireAlive(when)
		tries++
		status, pause, err := h.try(b)
		switch {
		case err == nil && status == http.StatusOK:
			h.t.Logf("answered %s at try %d (before it: %s)", when, tries, last)
			return
		case err == nil && !promises(status) && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
			h.t.Fatalf("an ordinary request %s got status %d", when, status)
		}
		last = fmt.Sprintf("status %d, %v", status, err)
		time.Sleep(pause)
	}
	h.t.Fatalf("no answer to %d ordinary requests %s; the last: %s", tries, when, last)
}

// retryPause is the time to the next try after a failure without Retry-After.
const retryPause = 100 * time.Millisecond

// try sends one request on a new connection. It returns the status, and the time to wait before the
// next try.
func (h *host) try(b body) (status int, pause time.Duration, err error) {
	conn, err := net.DialTimeout("tcp", h.address(standin.CallerPort), time.Second)
	if err != nil {
		return 0, retryPause, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	id := nextRequestID()
	resp, body, err := exchange(conn, platformHead(ordinaryPath, id), b)
	if err != nil {
		return 0, retryPause, err
	}
	if promises(resp.StatusCode) {
		h.refusals.note(id, resp.StatusCode)
	}
	if resp.StatusCode == http.StatusOK {
		if standin.ResponseSeal(resp) != standin.ExpectedSeal(id) || string(body) != "answer to "+id {
			return 0, retryPause, fmt.Errorf("not the upstream's answer: %.100q", body)
		}
		return resp.StatusCode, 0, nil
	}
	pause = retryPause
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		pause = min(time.Duration(s*float64(time.Second)), ordinaryTimeout/3)
	}
	return resp.StatusCode, pause, nil
}

// announcedText returns a short body with its length.
func announcedText(text string) body {
	return body{length: int64(len(text)), unit: []byte(text), total: int64(len(text)), piece: len(text)}
}

// requireServedAtOnce sends one request and fails the test unless it is answered by the upstream.
func (h *host) requireServedAtOnce(b body) {
	h.t.Helper()
	status, _, err := h.try(b)
	require.NoError(h.t, err)
	require.Equal(h.t, http.StatusOK, status)
}
