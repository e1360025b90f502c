package crowd

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// bounds are what a process may use of its machine.
type bounds struct {
	memoryMiB   int
	descriptors int // 0 means any number
}

// usage is what a process uses.
type usage struct {
	// peakKiB is the most memory that it had resident so far, residentKiB what it has now.
	peakKiB, residentKiB int
	// descriptors is the most descriptors that were seen open.
	descriptors int
}

// process is a running host process whose use of memory and descriptors is sampled.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	bounds bounds
	exited chan struct{}
	// exit is the result of the process once exited is closed.
	exit error

	mu   sync.Mutex
	seen usage
}

const sampleInterval = 10 * time.Millisecond

func startProcess(t *testing.T, cmd *exec.Cmd, b bounds) *process {
	t.Helper()
	p := &process{t: t, cmd: cmd, bounds: b, exited: make(chan struct{})}
	path := filepath.Join(t.TempDir(), "output")
	output, err := os.Create(path)
	require.NoError(t, err)
	cmd.Stdout, cmd.Stderr = output, output
	require.NoError(t, cmd.Start())
	go func() {
		p.exit = cmd.Wait()
		close(p.exited)
	}()
	go p.sample()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it has exited already if the test stopped it
		<-p.exited
		_ = output.Close()
		if t.Failed() {
			t.Logf("end of the output of the process (%v):\n%s", p.exit, tail(path))
		}
	})
	return p
}

// tail returns the last bytes of a file.
func tail(path string) string {
	const size = 4 << 10
	data, _ := os.ReadFile(path)
	return string(data[max(0, len(data)-size):])
}

func (p *process) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
			p.measure()
		}
	}
}

// measure reads what the process uses now, and returns it with the peaks so far.
func (p *process) measure() usage {
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	now := usage{peakKiB: memoryKiB(dir, "VmHWM:"), residentKiB: memoryKiB(dir, "VmRSS:"), descriptors: openDescriptors(dir)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = usage{max(p.seen.peakKiB, now.peakKiB), now.residentKiB, max(p.seen.descriptors, now.descriptors)}
	return p.seen
}

// memoryKiB returns a line of the memory use in a directory of /proc, or 0 if the process has exited.
func memoryKiB(dir, name string) int {
	file, err := os.Open(filepath.Join(dir, "status"))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), name); ok {
			var n int
			_, _ = fmt.Sscan(text, &n)
			return n
		}
	}
	return 0
}

func openDescriptors(dir string) int {
	file, err := os.Open(filepath.Join(dir, "fd"))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	names, _ := file.Readdirnames(-1)
	return len(names)
}

// awaitQuiet waits until the memory of the process has not changed for a while, or for at most a time.
func (p *process) awaitQuiet(limit time.Duration) {
	const (
		quiet        = 500 * time.Millisecond
		toleranceKiB = 1 << 10
	)
	end, since, last := time.Now().Add(limit), time.Now(), p.measure().residentKiB
	for time.Now().Before(end) && time.Since(since) < quiet && p.lives() {
		time.Sleep(sampleInterval)
		if now := p.measure().residentKiB; now > last+toleranceKiB || now < last-toleranceKiB {
			since, last = time.Now(), now
		}
	}
}

// lives reports whether the process has not exited.
func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// requireAlive fails the test if the process has exited.
func (p *process) requireAlive(when string) {
	p.t.Helper()
	if !p.lives() {
		p.t.Fatalf("the process has exited %s: %v", when, p.exit)
	}
}

// checkUsage fails the test if the process has used more than its bounds.
func (p *process) checkUsage() {
	p.t.Helper()
	seen := p.measure()
	p.t.Logf("peak memory %d KiB (bound %d), descriptors %d (bound %d)", seen.peakKiB, p.bounds.memoryMiB<<10, seen.descriptors, p.bounds.descriptors)
	assert.LessOrEqual(p.t, seen.peakKiB, p.bounds.memoryMiB<<10, "peak memory in KiB")
	if p.bounds.descriptors > 0 {
		assert.LessOrEqual(p.t, seen.descriptors, p.bounds.descriptors, "open descriptors")
	}
}

// stop sends SIGTERM and requires that the process exits with status 0 within its grace time.
func (p *process) stop(grace time.Duration) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
		assert.NoError(p.t, p.exit)
	case <-time.After(grace):
		p.t.Errorf("the process runs %s after SIGTERM", grace)
	}
}
