package e2e

import (
	"bufio"
	"fmt"
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
	"github.com/hazelworks/hazelworks/platform/standin"
)

// platformIP is the loopback address of the host. It depends on the process ID, so that
// concurrent test processes rarely share it. Nothing listens on the store's port.
var platformIP = fmt.Sprintf("127.9.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

// metricsPort is the port of the host's metrics.
const metricsPort = 9100

// platformHost is a host process that runs the platform command.
type platformHost struct {
	t            *testing.T
	cmd          *exec.Cmd
	settingsPath string

	mu  sync.Mutex
	log strings.Builder
}

func startPlatformHost(t *testing.T) *platformHost {
	h := &platformHost{t: t, settingsPath: filepath.Join(t.TempDir(), "boot.conf")}
	h.writeSettings(hostSettings(54))
	h.cmd = exec.Command(filepath.Join(binaries, "hazelworks"), "platform", "--metrics-port", fmt.Sprint(metricsPort))
	h.cmd.Env = append(os.Environ(), boot.EnvPath+"="+h.settingsPath)
	out, err := h.cmd.StdoutPipe()
	require.NoError(t, err)
	h.cmd.Stderr = os.Stderr
	require.NoError(t, h.cmd.Start())
	t.Cleanup(func() {
		_ = h.cmd.Process.Kill() // it has exited already if the test passed
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
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", platformIP, metricsPort))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, startTimeout, 20*time.Millisecond)
	return h
}

func hostSettings(retrySlack int) string {
	return standin.HostSettings(standin.HostOptions{
		Name: "front-1", FailureDomain: "z1", IP: platformIP, Store: platformIP + ":8223", Grace: time.Second, RetrySlack: retrySlack,
	})
}

func (h *platformHost) writeSettings(text string) {
	require.NoError(h.t, os.WriteFile(h.settingsPath, []byte(text), 0o600))
}

func (h *platformHost) hasLogged(text string) func() bool {
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return strings.Contains(h.log.String(), text)
	}
}

// TestReloadSignalKeepsPlatformHostRunning sends SIGHUP with a changed settings file,
// with an invalid one and 20 times in a row. The process keeps the last valid settings
// and exits only on SIGTERM.
func TestReloadSignalKeepsPlatformHostRunning(t *testing.T) {
	t.Parallel()
	h := startPlatformHost(t)
	hangup := func() { require.NoError(t, h.cmd.Process.Signal(syscall.SIGHUP)) }
	h.writeSettings(hostSettings(40))
	hangup()
	require.Eventually(t, h.hasLogged("Settings in force."), waitTime, 10*time.Millisecond)
	h.writeSettings("nonsense\n")
	hangup()
	require.Eventually(t, h.hasLogged("the old ones stay in force"), waitTime, 10*time.Millisecond)
	h.writeSettings(hostSettings(40))
	for range 20 {
		hangup()
	}
	require.NoError(t, h.cmd.Process.Signal(syscall.Signal(0)), "the host has exited")
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGTERM))
	exited := make(chan error, 1)
	go func() { exited <- h.cmd.Wait() }()
	select {
	case err := <-exited:
		require.NoError(t, err)
	case <-time.After(waitTime):
		t.Fatal("the host did not exit after SIGTERM")
	}
}

// A SIGTERM right after the start must not end the process by the signal's default action, which cuts
// off whatever the host has accepted.
func TestSignalDuringTheStartStopsGracefully(t *testing.T) {
	t.Parallel()
	for range 20 {
		cmd := exec.Command(filepath.Join(binaries, "hazelworks"), "platform")
		settingsPath := filepath.Join(t.TempDir(), "boot.conf")
		require.NoError(t, os.WriteFile(settingsPath, []byte(startingHostSettings()), 0o600))
		cmd.Env = append(os.Environ(), boot.EnvPath+"="+settingsPath)
		out, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		lines := bufio.NewScanner(out)
		require.True(t, lines.Scan())
		require.Contains(t, lines.Text(), "Starting.")
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		for lines.Scan() {
		}
		require.NoError(t, cmd.Wait())
	}
}

// startingHostSettings returns the settings of a host with an address of its own and little time to stop.
func startingHostSettings() string {
	ip := fmt.Sprintf("127.10.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	return standin.HostSettings(standin.HostOptions{Name: "front-2", FailureDomain: "z1", IP: ip, Store: ip + ":8223", Grace: 800 * time.Millisecond})
}
