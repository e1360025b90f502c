// Command casebed plays the scripted cases of the review: a stand-in platform, stand-in workers
// and clients around host processes of the project, on loopback addresses and the real clock.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/platform/standin"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// Names and ports of the bed. Each role has loopback addresses of its own.
const (
	domain       = "h.example"
	programPath  = "target/hazelworks"
	bootVariable = "HAZELWORKS_BOOT"
	metricsPort  = "9100"
	heartbeat    = 1200 * time.Millisecond
	graceTime    = 8 * time.Second
)

// bed is a stand-in platform with host processes.
type bed struct {
	octet int
	dir   string
	began time.Time
	log   *memkeyed.Log
	store *standin.Store
	// storeAddress is where the store listens.
	storeAddress string
	hosts        []*hostProcess
	workers      []*worker
	record       *recordFile
	stop         chan struct{}
}

// recordFile is record.txt of a case.
type recordFile struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recordFile) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newBed starts a store with a configuration.
func newBed(config standin.Config, record *recordFile) (*bed, error) {
	dir, err := os.MkdirTemp("", "casebed")
	if err != nil {
		return nil, err
	}
	b := &bed{octet: 20 + os.Getpid()%200, dir: dir, began: time.Now(), log: memkeyed.New(), record: record, stop: make(chan struct{})}
	if err := standin.Configure(b.log, config); err != nil {
		return nil, err
	}
	b.store = standin.NewStore(b.log)
	l, err := net.Listen("tcp", b.ip(0, 0)+":0")
	if err != nil {
		return nil, err
	}
	b.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, b.store) }()
	return b, nil
}

// ip returns a loopback address of a role: 0 is the store, 1 a host, 2 a worker.
func (b *bed) ip(role, index int) string { return fmt.Sprintf("127.%d.%d.%d", b.octet, role, index+1) }

// hostProcess is a host of the project as a process.
type hostProcess struct {
	name, ip string
	// frontPort and readyPort are the ports for clients and for readiness checks.
	frontPort, readyPort int
	cmd                  *exec.Cmd
	settings             string
	logs                 *os.File
	done                 chan struct{}
}

// addHost starts a host process with settings like those of a small deployment.
func (b *bed) addHost() error {
	i := len(b.hosts)
	h := &hostProcess{name: fmt.Sprintf("front-%d", i+1), ip: b.ip(1, i)}
	h.settings = filepath.Join(b.dir, h.name+".conf")
	text := standin.HostSettings(standin.HostOptions{
		Name: h.name, FailureDomain: "midrand", IP: h.ip, Store: b.storeAddress, Grace: graceTime,
		Rules: "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
	})
	ports, err := freePorts(h.ip, 4)
	if err != nil {
		return err
	}
	h.frontPort, h.readyPort = ports[0], ports[1]
	text = strings.NewReplacer(
		fmt.Sprintf(":%d", standin.CallerPort), fmt.Sprintf(":%d", h.frontPort),
		fmt.Sprintf(":%d", standin.ReadyPort), fmt.Sprintf(":%d", h.readyPort),
		fmt.Sprintf(":%d", standin.DirectoryPort), fmt.Sprintf(":%d", ports[2]),
		"port_range=7340,7355", fmt.Sprintf("port_range=%d,%d", ports[3], ports[3]),
	).Replace(text)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	b.hosts = append(b.hosts, h)
	return b.start(h)
}

// freePorts returns ports of an address at which nothing listens.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts the process of a host as the deploy file does.
func (b *bed) start(h *hostProcess) error {
	logs, err := os.OpenFile(filepath.Join(b.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(programPath, "platform", "--metrics-port", metricsPort)
	h.cmd.Env = append(os.Environ(), bootVariable+"="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr, h.logs = logs, logs, logs
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), h.cmd
	h.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	b.record.line("host %s starts", h.name)
	return nil
}

// signal sends a signal to the process of a host.
func (b *bed) signal(h *hostProcess, s syscall.Signal) {
	b.record.line("host %s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

func (h *hostProcess) caller() string { return fmt.Sprintf("%s:%d", h.ip, h.frontPort) }

// awaitReady waits until all hosts are ready.
func (b *bed) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, h := range b.hosts {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", h.ip, h.readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// writeEntry writes a worker's entry to the store.
func (b *bed) writeEntry(w *worker) {
	w.mu.Lock()
	w.beats++
	entry := map[string]any{"service": w.service, "address": w.address, "zone": "midrand", "version": "v1", "slots": w.slots,
		"state": w.state, "cold_left_ms": 0, "call_seq": w.beats}
	w.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	b.log.Append(standin.UpstreamStream, platform.KeyedRecord{Key: w.id, Value: value})
}

// close ends all processes that the bed has started.
func (b *bed) close() {
	close(b.stop)
	for _, h := range b.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.done
		_ = h.logs.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range b.hosts {
			data, _ := os.ReadFile(filepath.Join(b.dir, h.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(b.dir)
}

// logged returns the number of lines of a host's log that have a text.
func (b *bed) logged(h *hostProcess, text string) int {
	data, _ := os.ReadFile(filepath.Join(b.dir, h.name+".log"))
	return bytes.Count(data, []byte(text))
}
