package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
)

// binaries is the directory of the binaries, which are built once for all tests.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hazelworks-crowd")
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

func binary(name string) string { return filepath.Join(binaries, name) }

var loopbackIPCount atomic.Uint32

// nextLoopbackIP returns a loopback IP address that nothing else in this run has, so that fixed
// ports on it are free.
func nextLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 60+pid>>8%120, pid%256, 1+loopbackIPCount.Add(1))
}
