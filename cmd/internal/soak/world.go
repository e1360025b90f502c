package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/boot"
	"github.com/hazelworks/hazelworks/platform/standin"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// Sizes and times of the world.
const (
	hostCount     = 4
	modelWorkers  = 3
	plainWorkers  = 3
	beatInterval  = 400 * time.Millisecond
	grace         = 2 * time.Second
	streamEvents  = 8
	eventInterval = 15 * time.Millisecond
	workerPort    = 8080
	storePort     = 8223
)

// world is a platform on loopback addresses, with host processes.
type world struct {
	dir    string
	binary string
	// net is the second number of all loopback addresses, so that worlds of
	// several processes seldom meet.
	net     int
	log     *memkeyed.Log
	books   standin.RunRecorder
	config  standin.Config
	version int
	hosts   []*host
	workers []*worker
	ends    []func()
	stopped chan struct{}
	store   *standin.Store
	// loopback is the address from which the proxies call the store.
	loopback string
	// ongoing counts faults that have not ended.
	ongoing sync.WaitGroup

	mu sync.Mutex
	// prepaid is the most that was ever prepaid.
	prepaid int64
	failed  []string
}

// worker is a stand-in behind a proxy.
type worker struct {
	*standin.Upstream
	proxy *proxy
	usual standin.Behaviour
	gone  chan struct{}
}

// host is one host process and its way to the store.
type host struct {
	w     *world
	name  string
	ip    string
	store *proxy
	file  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// asked is true if the process was asked to end, or killed.
	asked bool
	// taken is true while a fault stops and starts the process.
	taken bool
	logs  *tail
}

func newWorld(dir, binary string, prepaid int64) (*world, error) {
	w := &world{
		dir: dir, binary: binary, net: 16 + os.Getpid()%200, log: memkeyed.New(),
		prepaid: prepaid, version: 1, stopped: make(chan struct{}),
	}
	w.config = standin.BaseConfig(w.version)
	w.config.SetPrepaid(prepaid)
	w.config.SetKeys(goodKey, lostKey)
	if err := standin.Configure(w.log, w.config); err != nil {
		return nil, err
	}
	if err := w.startStore(); err != nil {
		return nil, err
	}
	for i := range modelWorkers + plainWorkers {
		service, usual := "llm", standin.Behaviour{Events: streamEvents, EventGap: eventInterval}
		if i >= modelWorkers {
			service, usual = "desk", standin.Behaviour{Delay: 5 * time.Millisecond}
		}
		if err := w.startWorker(i, service, usual); err != nil {
			return nil, err
		}
	}
	for i := range hostCount {
		if err := w.addHost(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) address(kind, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, kind, i+1, port)
}

func (w *world) startStore() error {
	l, err := net.Listen("tcp", w.address(0, 0, storePort))
	if err != nil {
		return err
	}
	w.store, w.loopback = standin.NewStore(w.log), "127.0.0.1"
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // ends with close
	w.ends = append(w.ends, func() { _ = server.Close() })
	return nil
}

// startWorker starts a worker, and the proxy whose address is in its entry.
func (w *world) startWorker(i int, service string, usual standin.Behaviour) error {
	l, err := net.Listen("tcp", w.address(2, i, workerPort))
	if err != nil {
		return err
	}
	p, err := newProxy(w.address(3, i, workerPort), l.Addr().String())
	if err != nil {
		return err
	}
	worker := &worker{proxy: p, usual: usual, gone: make(chan struct{}), Upstream: &standin.Upstream{
		Log: w.log, Recorder: &w.books, ID: fmt.Sprintf("i-%02d", i), Address: p.listener.Addr().String(),
		Service: service, FailureDomain: "z1", State: "ready", StartedMS: time.Now().UnixMilli(),
	}}
	worker.SetBehaviour(usual)
	worker.Heartbeat()
	go worker.Serve(l)
	go worker.beat(w.stopped)
	w.workers = append(w.workers, worker)
	w.ends = append(w.ends, func() { _ = l.Close(); p.close() })
	return nil
}

// beat renews the worker's entry.
func (w *worker) beat(stopped <-chan struct{}) {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-tick.C:
			w.Heartbeat()
		}
	}
}

func (w *world) addHost(i int) error {
	h := &host{w: w, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", w.net, i+1), logs: &tail{}}
	var err error
	if h.store, err = newProxy(w.address(4, i, storePort), w.address(0, 0, storePort)); err != nil {
		return err
	}
	h.file = filepath.Join(w.dir, h.name+".conf")
	if err := h.writeSettings(); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	w.ends = append(w.ends, h.store.close)
	return h.start()
}

func (h *host) writeSettings() error {
	return os.WriteFile(h.file, []byte(standin.HostSettings(standin.HostOptions{
		Name: h.name, FailureDomain: "z1", IP: h.ip, Store: h.store.listener.Addr().String(), Grace: grace,
	})), 0o600)
}

// start begins a run of the host's process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(h.w.binary, "platform")
	cmd.Env = append(os.Environ(), boot.EnvPath+"="+h.file)
	cmd.Stdout, cmd.Stderr = h.logs, h.logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", h.name, err)
	}
	done := make(chan struct{})
	h.cmd, h.done, h.asked, h.taken = cmd, done, false, false
	go func() {
		_ = cmd.Wait() // how it ended is in the logs
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.asked = true
	}
	_ = h.cmd.Process.Signal(s) // it may have ended
}

// wait waits for the process to end, and kills it after a time.
func (h *host) wait(limit time.Duration) (ended bool) {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		h.signal(syscall.SIGKILL)
		<-done
		return false
	}
}

// endedByItself tells whether the process has ended unasked.
func (h *host) endedByItself() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.done:
		return !h.asked
	default:
		return false
	}
}

// claim takes the process for a fault that restarts it. It returns false if another
// one has it.
func (h *host) claim() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taken {
		return false
	}
	h.taken = true
	return true
}

// later runs what ends a fault.
func (w *world) later(f func()) { w.ongoing.Go(f) }

// note keeps an error of the soak itself.
func (w *world) note(err error) {
	if err != nil {
		w.failed = append(w.failed, err.Error())
	}
}

func (w *world) errors() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// proxies returns all ways to the store and to the workers.
func (w *world) proxies() []*proxy {
	var out []*proxy
	for _, h := range w.hosts {
		out = append(out, h.store)
	}
	for _, worker := range w.workers {
		out = append(out, worker.proxy)
	}
	return out
}

func (w *world) close() {
	close(w.stopped)
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.wait(time.Second)
	}
	for _, end := range w.ends {
		end()
	}
}

// anyHost returns a host, also one that is down.
func (w *world) anyHost(rng *rand.Rand) *host { return w.hosts[rng.IntN(len(w.hosts))] }

// tail keeps the end of what a process has written.
type tail struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// maxTail bounds what is kept of a log.
const maxTail = 1 << 20

// Write implements io.Writer.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.buf.Len()+len(p) > maxTail {
		t.buf.Next(t.buf.Len() / 2)
	}
	return t.buf.Write(p)
}

func (t *tail) text() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Clone(t.buf.Bytes())
}
