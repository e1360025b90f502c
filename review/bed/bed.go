// Command bed plays the cases of a review. It starts the project's own hosts as processes on loopback
// addresses, beside stand-ins of the store, the workers and the clients.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// Bed is a store and some hosts.
type Bed struct {
	Dir    string
	Binary string
	Octet  int
	Log    *memkeyed.Log
	Store  *standin.Store
	Hosts  []*Host

	server  *http.Server
	workers int
	closers []func()
	closed  chan struct{}
	once    sync.Once
}

// Host is one host process.
type Host struct {
	Bed      *Bed
	Name, IP string
	conf     string
	logPath  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// NewBed starts the store of an empty platform with a configuration.
func NewBed(binary string, config standin.Config) (*Bed, error) {
	dir, err := os.MkdirTemp("", "bed")
	if err != nil {
		return nil, err
	}
	b := &Bed{Dir: dir, Binary: binary, Log: memkeyed.New(), closed: make(chan struct{})}
	var l net.Listener
	for i := range 100 {
		b.Octet = 100 + (os.Getpid()+i)%100
		if l, err = net.Listen("tcp", b.Addr(0, 1, 8223)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if err := standin.Configure(b.Log, config); err != nil {
		return nil, err
	}
	b.Store = standin.NewStore(b.Log)
	b.server = &http.Server{Handler: b.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(l) }()
	go b.closeOnSignal()
	return b, nil
}

// closeOnSignal ends all processes if this one is asked to stop.
func (b *Bed) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
		b.Close()
		os.Exit(couldNot)
	case <-b.closed:
	}
}

// Addr returns a loopback address of the bed. The third octet is a role, the fourth a number.
func (b *Bed) Addr(role, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.Octet, role, n, port)
}

// AddHost starts a host.
func (b *Bed) AddHost(zone string, edit func(*standin.HostOptions)) (*Host, error) {
	n := len(b.Hosts) + 1
	h := &Host{Bed: b, Name: fmt.Sprintf("front-%s-%d", zone, n), IP: fmt.Sprintf("127.%d.1.%d", b.Octet, n)}
	h.conf, h.logPath = filepath.Join(b.Dir, h.Name+".conf"), filepath.Join(b.Dir, h.Name+".log")
	o := standin.HostOptions{Name: h.Name, FailureDomain: zone, IP: h.IP, Store: b.Addr(0, 1, 8223), Grace: 8 * time.Second}
	if edit != nil {
		edit(&o)
	}
	if err := os.WriteFile(h.conf, []byte(standin.HostSettings(o)), 0o600); err != nil {
		return nil, err
	}
	b.Hosts = append(b.Hosts, h)
	return h, h.Start()
}

// Start starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	h.cmd = exec.Command(h.Bed.Binary, "platform", "--metrics-port", "9100")
	h.cmd.Env = append(os.Environ(), "HAZELWORKS_BOOT="+h.conf)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, done := h.cmd, make(chan struct{})
	h.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// Wait waits until the process has ended, and kills it after a time.
func (h *Host) Wait(limit time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		h.Signal(syscall.SIGKILL)
		<-done
		return false
	}
}

// Front is the address for clients.
func (h *Host) Front() string { return fmt.Sprintf("%s:%d", h.IP, standin.CallerPort) }

// Ready reports whether the platform's check of readiness succeeds.
func (h *Host) Ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/-/readyz", h.IP, standin.ReadyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until all hosts are ready.
func (b *Bed) AwaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, h := range b.Hosts {
		for !h.Ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// Close ends all processes.
func (b *Bed) Close() {
	b.once.Do(b.close)
}

func (b *Bed) close() {
	close(b.closed)
	for _, f := range b.closers {
		f()
	}
	for _, h := range b.Hosts {
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
		h.Wait(time.Second)
	}
	_ = b.server.Close()
	_ = os.RemoveAll(b.Dir)
}
