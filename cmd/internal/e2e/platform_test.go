package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/platform/boot"
)

// platformSettings is a settings file of the platform. Its store does not answer.
const platformSettings = `node=front-1
role=router
zone=z1
region=r1
ip=127.0.0.1
listen.front=127.0.0.1:%d
listen.ready=127.0.0.1:%d
listen.directory=127.0.0.1:%d
port_range=%d,%d
limits.cpu_share=1
limits.cores=1
limits.memory_mb=256
limits.max_fds=1024
limits.link_mbps=1000
heartbeat_ms=1200
bounds.drain_ms=2000
bounds.grace_s=1
bounds.ttl_max_s=1
bounds.reuse_after_s=2
bounds.budget_ratio=0.2
bounds.budget_slack=%d
bounds.budget_window_s=10
platform.address=127.0.0.1:%d
`

// freePorts returns ports that nobody listens on.
func freePorts(t *testing.T, n int) []any {
	var ports []any
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// platformHost is one host process on the platform.
type platformHost struct {
	t     *testing.T
	cmd   *exec.Cmd
	file  string
	ports []any

	mu  sync.Mutex
	log strings.Builder
}

func startPlatformHost(t *testing.T) *platformHost {
	h := &platformHost{t: t, file: filepath.Join(t.TempDir(), "boot.conf"), ports: freePorts(t, 6)}
	h.write(h.settings(54))
	metricsPort := freePorts(t, 1)[0]
	h.cmd = exec.Command(filepath.Join(binaries, "hazelworks"), "platform", "--metrics-port", fmt.Sprint(metricsPort))
	h.cmd.Env = append(os.Environ(), boot.EnvPath+"="+h.file)
	out, err := h.cmd.StdoutPipe()
	require.NoError(t, err)
	h.cmd.Stderr = os.Stderr
	require.NoError(t, h.cmd.Start())
	t.Cleanup(func() {
		_ = h.cmd.Process.Kill() // it has mostly ended
		_ = h.cmd.Wait()
	})
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			h.mu.Lock()
			h.log.WriteString(lines.Text() + "\n")
			h.mu.Unlock()
		}
	}()
	require.Eventually(t, func() bool {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", metricsPort))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, startTimeout, 20*time.Millisecond)
	return h
}

func (h *platformHost) settings(slack int) string {
	p := h.ports
	return fmt.Sprintf(platformSettings, p[0], p[1], p[2], p[3], p[4], slack, p[5])
}

func (h *platformHost) write(text string) {
	require.NoError(h.t, os.WriteFile(h.file, []byte(text), 0o600))
}

func (h *platformHost) logged(text string) func() bool {
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return strings.Contains(h.log.String(), text)
	}
}

// TestReloadSignalOnThePlatform sends SIGHUP with a changed file, with a broken one
// and in a row. The process goes on with the settings that were read last, and ends
// on SIGTERM alone.
func TestReloadSignalOnThePlatform(t *testing.T) {
	t.Parallel()
	h := startPlatformHost(t)
	hangup := func() { require.NoError(t, h.cmd.Process.Signal(syscall.SIGHUP)) }
	h.write(h.settings(40))
	hangup()
	require.Eventually(t, h.logged("Settings in force."), waitTime, 10*time.Millisecond)
	h.write("nonsense\n")
	hangup()
	require.Eventually(t, h.logged("the old ones stay in force"), waitTime, 10*time.Millisecond)
	h.write(h.settings(40))
	for range 20 {
		hangup()
	}
	require.NoError(t, h.cmd.Process.Signal(syscall.Signal(0)), "it runs")
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- h.cmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(waitTime):
		t.Fatal("the host goes on after SIGTERM")
	}
}
