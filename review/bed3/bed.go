// Command bed3 has the stand-ins and the cases of an independent review. A case starts the project's own
// program as separate processes on loopback addresses; the store, the workers and the clients are stand-ins
// that speak what the page PROTOCOL says.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		cleanup()
		os.Exit(2)
	}
}

var (
	mu       sync.Mutex
	cleanups []func()
	record   io.Writer = os.Stdout
	began              = time.Now()
)

func cleanup() {
	mu.Lock()
	fs := cleanups
	cleanups = nil
	mu.Unlock()
	for _, f := range fs {
		f()
	}
}

// note writes a line into the record of the case.
func note(format string, args ...any) {
	mu.Lock()
	defer mu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

type object = map[string]any

// baseConfig returns a configuration with a model service and a plain one.
func baseConfig(version int) object {
	route := func(name, prefix, kind, service string, more object) object {
		o := object{"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 6000,
			"latency_slo_ms": 600, "max_attempts": 1, "public": false, "priority": 1, "sticky": kind == "streaming", "resumable": false}
		for k, v := range more {
			o[k] = v
		}
		return o
	}
	return object{
		"version": version,
		"routes": []object{
			route("chat", "/chat/", "streaming", "llm", object{"gap_slo_ms": 300, "timeout_ms": 15000}),
			route("resume", "/resume/", "streaming", "llm", object{"gap_slo_ms": 300, "resumable": true, "max_attempts": 2}),
			route("book", "/book/", "non_idempotent", "desk", nil),
			route("look", "/look/", "idempotent", "desk", object{"max_attempts": 2}),
		},
		"services": []object{
			{"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": object{"slots": 64, "kv_tokens": 374509,
				"kv_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
				"handle_s": 5.0, "models": []object{{"name": "m"}}}},
			{"name": "desk", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "acme", "api_keys": []string{"key-a"}, "priority": 1, "prepaid": 2900465}, {"name": "bolt", "api_keys": []string{"key-b"}, "priority": 1, "prepaid": 100000}},
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	check(err)
	return data
}

// system is the platform's side: the store, and the addresses of the machines.
type system struct {
	store *store
	dir   string
	octet int
	hosts []*host
}

func newSystem() *system {
	dir, err := os.MkdirTemp("", "bed3-")
	check(err)
	s := &system{store: newStore(), dir: dir, octet: 20 + os.Getpid()%200}
	mu.Lock()
	cleanups = append(cleanups, func() {
		for _, h := range s.hosts {
			h.kill()
		}
		_ = os.RemoveAll(dir)
	})
	mu.Unlock()
	return s
}

func (s *system) configure(c object) {
	s.store.put("keyed.op", "config", encode(c))
	note("operator: version %v is acknowledged", c["version"])
}

// host is one machine with a process of the system.
type host struct {
	s        *system
	name, ip string
	settings string
	extra    map[string]string
	cmd      *exec.Cmd
	done     chan struct{}
	logs     *bytes.Buffer
	logMu    sync.Mutex
}

// Write implements io.Writer, for the logs.
func (h *host) Write(p []byte) (int, error) {
	h.logMu.Lock()
	defer h.logMu.Unlock()
	return h.logs.Write(p)
}

func (h *host) log() string {
	h.logMu.Lock()
	defer h.logMu.Unlock()
	return h.logs.String()
}

func (s *system) addHost(store string) *host {
	n := len(s.hosts) + 1
	h := &host{s: s, name: fmt.Sprintf("front-midrand-%d", n), ip: fmt.Sprintf("127.%d.1.%d", s.octet, n), logs: &bytes.Buffer{}}
	h.settings = filepath.Join(s.dir, h.name+".conf")
	text := strings.NewReplacer("NODE", h.name, "IP", h.ip, "STORE", store).Replace(`node=NODE
role=router
machine_class=front
serves=front,directory
ip=IP
zone=midrand
region=gauteng
zones.midrand=gauteng
listen.front=IP:8227
listen.ready=IP:8220
listen.directory=IP:8224
port_range=7340,7355
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.outer_ms=5000
bounds.revoke_fail_closed=false
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=54
bounds.recovery_s=12
bounds.pass_ms=120
bounds.again_s=10
bounds.settle_ms=1500
bounds.ttl_max_s=5
platform.address=STORE
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=24
platform.append_ms=1.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
`)
	check(os.WriteFile(h.settings, []byte(text), 0o600))
	s.hosts = append(s.hosts, h)
	h.start()
	return h
}

func (h *host) start() {
	h.cmd = exec.Command("target/hazelworks", "platform", "--metrics-port", "9100")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HAZELWORKS_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h, h
	check(h.cmd.Start())
	done := make(chan struct{})
	h.done = done
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		note("%s: its process has ended: %v", h.name, err)
		close(done)
	}(h.cmd)
	note("%s: its process is started", h.name)
}

func (h *host) signal(sig syscall.Signal) {
	note("%s: signal %v", h.name, sig)
	_ = h.cmd.Process.Signal(sig)
}

func (h *host) kill() {
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	_ = h.cmd.Process.Kill()
	<-h.done
}

func (h *host) awaitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ip + ":8220/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == 200 {
			note("%s: ready", h.name)
			return
		}
	}
	check(fmt.Errorf("%s is not ready: %s", h.name, h.log()))
}

// run is a request that a worker has begun to run.
type run struct {
	worker, id, method, target, body string
	header                           http.Header
}

// worker is a stand-in of a worker.
type worker struct {
	s           *system
	id, service string
	state       string
	born        int64
	listener    net.Listener
	mu          sync.Mutex
	runs        []run
	open        map[net.Conn]struct{}
	conns       int
	// answer handles a request whose head was read. It returns false if the connection is to be closed.
	answer func(w *worker, c net.Conn, br *bufio.Reader, r *http.Request) bool
	beats  int
	gone   bool
}

func (s *system) addWorker(id, service string, answer func(*worker, net.Conn, *bufio.Reader, *http.Request) bool) *worker {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.2.1:0", s.octet))
	check(err)
	w := &worker{s: s, id: id, service: service, state: "ready", listener: l, answer: answer, open: make(map[net.Conn]struct{}), born: time.Now().UnixMilli()}
	w.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			w.mu.Lock()
			gone := w.gone
			w.mu.Unlock()
			if gone {
				return
			}
			w.beat()
		}
	}()
	go w.serve(l)
	return w
}

func (w *worker) beat() {
	w.mu.Lock()
	w.beats++
	entry := object{"service": w.service, "address": w.listener.Addr().String(), "zone": "midrand", "version": "v1", "slots": 64, "state": w.state, "cold_left_ms": 0,
		"stage": "colocated", "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "call_seq": w.beats}
	w.mu.Unlock()
	w.s.store.put("keyed.servers", w.id, encode(entry))
}

func (w *worker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.open[c] = struct{}{}
		w.conns++
		w.mu.Unlock()
		go func() {
			defer func() {
				_ = c.Close()
				w.mu.Lock()
				delete(w.open, c)
				w.mu.Unlock()
			}()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id {
					_, _ = io.Copy(io.Discard, r.Body)
					fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), w.id)
					continue
				}
				if !w.answer(w, c, br, r) {
					return
				}
			}
		}()
	}
}

// begin records that the worker begins to run a request, after its whole body was read.
func (w *worker) begin(r *http.Request) run {
	body, _ := io.ReadAll(r.Body)
	x := run{worker: w.id, id: r.Header.Get("Request-Id"), method: r.Method, target: r.RequestURI, body: string(body), header: r.Header}
	w.mu.Lock()
	w.runs = append(w.runs, x)
	w.mu.Unlock()
	note("worker %s runs %s (%s %s, %d bytes)", w.id, x.id, x.method, x.target, len(body))
	return x
}

// head returns the head of an answer of the worker to a request.
func head(id string, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%s\r\n", status, http.StatusText(status), id, id, more)
}

// answer is what a client has got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is why the answer is not complete, or nil.
	err error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, seal %q, %d bytes, error %v", a.status, a.header.Get("Response-Seal"), len(a.body), a.err)
}

// request returns the bytes of a request.
func request(method, target, id, key string, more, body string) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nApi-Key: %s\r\n%s%s\r\n%s", method, target, id, key, more, length, body)
}

// readAnswer reads one answer.
func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// dialSmall opens a connection with a receive buffer of a size.
func (h *host) dialSmall(size int) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) })
	}}
	return d.DialContext(context.Background(), "tcp", h.ip+":8227")
}

// manyEvents answers as a sound model worker, with n events of a size, one each gap.
func manyEvents(n, size int, gap time.Duration) func(*worker, net.Conn, *bufio.Reader, *http.Request) bool {
	return func(w *worker, c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		x := w.begin(r)
		if _, err := io.WriteString(c, head(x.id, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
			return false
		}
		from := int(number(r.Header.Get("Last-Event-Id")))
		for i := from + 1; i <= n; i++ {
			time.Sleep(gap)
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", size))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				note("worker %s: event %d of %s can't be sent: %v", w.id, i, x.id, err)
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		note("worker %s: the whole answer to %s is sent: %v", w.id, x.id, err)
		return err == nil
	}
}
