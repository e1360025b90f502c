package soak

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/boot"
	"github.com/hazelworks/hazelworks/platform/standin"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

// Sizes, times and ports of the testbed.
const (
	defaultHosts       = 4
	modelUpstreamCount = 4
	plainUpstreamCount = 4
	heartbeatInterval  = 400 * time.Millisecond
	grace              = 2 * time.Second
	streamEvents       = 8
	// limitedUpstream is the index of the upstream that states statedLimit, in requests
	// per second.
	limitedUpstream = modelUpstreamCount
	statedLimit     = 0.5
	// brittleUpstream is the index of the upstream that runs brittleSlots requests at once and
	// crashes if it has to reject more than brittleRejections a second.
	brittleUpstream   = modelUpstreamCount + 1
	brittleSlots      = 2
	brittleRejections = 3
	eventInterval     = 15 * time.Millisecond
	upstreamPort      = 8080
	storePort         = 8223
)

// softwareVersions are the versions of the upstreams of each service, in turn.
var softwareVersions = []string{"v1", "v2"}

// testbed is a stand-in platform and host processes on loopback addresses.
type testbed struct {
	dir string
	// binary is the build with which the hosts begin. other is another one that they are
	// replaced by, or "". lacking is the build that lacks otherLacks.
	binary, other, lacking string
	otherLacks             []string
	// netOctet is the second octet of all loopback addresses. No other soak that runs has it.
	netOctet  int
	log       *memkeyed.Log
	recorder  standin.RunRecorder
	config    standin.Config
	version   int
	hosts     []*host
	upstreams []*upstream
	cleanups  []func()
	stopped   chan struct{}
	store     *standin.Store
	// proxyAddr is the IP address from which the proxies call the store.
	proxyAddr string
	// activeFaults counts faults that have not ended and pending restarts of hosts.
	activeFaults sync.WaitGroup

	mu sync.Mutex
	// crashes are the times at which upstreams have crashed, by service.
	crashes map[string][]time.Time
	// prepaid is the total of tokens prepaid so far.
	prepaid int64
	// internalErrors are failures of the soak itself.
	internalErrors []string
}

// upstream is a stand-in upstream behind a proxy.
type upstream struct {
	*standin.Upstream
	proxy            *proxy
	defaultBehaviour standin.Behaviour
	done             chan struct{}
}

// host is a host process and its proxy to the store.
type host struct {
	tb           *testbed
	name         string
	ip           string
	storeProxy   *proxy
	settingsPath string
	// grace is the time to stop in its settings.
	grace time.Duration

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// binary is the program of the process, or of the next one.
	binary string
	// stopRequested is true if the process was asked to stop or was killed.
	stopRequested bool
	// restarting is true while a fault stops and restarts the process.
	restarting bool
	logs       *logTail
}

func newTestbed(dir string, opt Options, prepaid int64, hosts int) (*testbed, error) {
	tb := &testbed{
		dir: dir, binary: opt.Binary, log: memkeyed.New(),
		prepaid: prepaid, version: 1, stopped: make(chan struct{}), crashes: make(map[string][]time.Time),
	}
	tb.chooseBuilds(opt)
	tb.config = standin.BaseConfig(tb.version)
	tb.config.SetPrepaid(prepaid)
	tb.config.SetKeys(validKey, revokedKey)
	tb.config.SetCold(time.Second, coldPerSecond)
	if err := standin.Configure(tb.log, tb.config); err != nil {
		return nil, err
	}
	if err := tb.startStore(); err != nil {
		return nil, err
	}
	for i := range modelUpstreamCount + plainUpstreamCount {
		service, behaviour := "llm", standin.Behaviour{Events: streamEvents, EventGap: eventInterval, CrashPart: crashPart}
		if i >= modelUpstreamCount {
			service, behaviour = "desk", standin.Behaviour{Delay: 5 * time.Millisecond, CrashBody: crashBody}
		} else {
			tb.setEventForm(&behaviour, i)
		}
		if i == limitedUpstream {
			behaviour.Limit = strconv.FormatFloat(statedLimit, 'g', -1, 64)
		}
		if i == brittleUpstream {
			behaviour.Brittle, behaviour.Room = brittleRejections, brittleSlots
		}
		if err := tb.startUpstream(i, service, behaviour); err != nil {
			return nil, err
		}
	}
	for i := range hosts {
		if err := tb.addHost(i); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

// address returns a loopback address. The third octet is the role: 0 the store, 1 a
// host, 2 an upstream, 3 a proxy to an upstream, 4 a proxy to the store.
func (tb *testbed) address(role, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", tb.netOctet, role, index+1, port)
}

// Second octets of the loopback addresses of soaks.
const (
	firstNetOctet = 16
	netOctets     = 200
)

// listenStore opens the store's address and chooses the second octet of all addresses. The open address
// keeps the octet from other soaks.
func (tb *testbed) listenStore() (net.Listener, error) {
	var l net.Listener
	var err error
	for i := range netOctets {
		tb.netOctet = firstNetOctet + (os.Getpid()+i)%netOctets
		l, err = net.Listen("tcp", tb.address(0, 0, storePort))
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return l, err
}

func (tb *testbed) startStore() error {
	l, err := tb.listenStore()
	if err != nil {
		return err
	}
	tb.store, tb.proxyAddr = standin.NewStore(tb.log), "127.0.0.1"
	server := &http.Server{Handler: tb.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // ends with close
	tb.cleanups = append(tb.cleanups, func() { _ = server.Close() })
	return nil
}

// startUpstream starts an upstream and its proxy. The upstream's entry has the proxy's
// address.
func (tb *testbed) startUpstream(i int, service string, behaviour standin.Behaviour) error {
	l, err := net.Listen("tcp", tb.address(2, i, upstreamPort))
	if err != nil {
		return err
	}
	p, err := newProxy(tb.address(3, i, upstreamPort), l.Addr().String())
	if err != nil {
		return err
	}
	upstream := &upstream{proxy: p, defaultBehaviour: behaviour, done: make(chan struct{}), Upstream: &standin.Upstream{
		Log: tb.log, Recorder: &tb.recorder, ID: fmt.Sprintf("i-%02d", i), Address: p.listener.Addr().String(),
		Service: service, FailureDomain: upstreamDomain(i), Version: softwareVersions[i%len(softwareVersions)], State: "ready", StartedMS: time.Now().UnixMilli(),
	}}
	if behaviour.Room > 0 {
		upstream.Slots = behaviour.Room
	}
	upstream.SetBehaviour(behaviour)
	upstream.OnCrash(func() { tb.crashed(upstream) })
	upstream.Heartbeat()
	go upstream.Serve(l)
	go upstream.sendHeartbeats(tb.stopped)
	tb.upstreams = append(tb.upstreams, upstream)
	tb.cleanups = append(tb.cleanups, func() {
		upstream.OnCrash(nil)
		upstream.Crash() // closes its listener, which may be another one than l
		p.close()
	})
	return nil
}

// sendHeartbeats renews the upstream's entry until stopped is closed.
func (u *upstream) sendHeartbeats(stopped <-chan struct{}) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-tick.C:
			if !u.Down() {
				u.Heartbeat()
			}
		}
	}
}

func (tb *testbed) addHost(i int) error {
	h := &host{tb: tb, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", tb.netOctet, i+1), grace: grace, binary: tb.binary, logs: &logTail{}}
	var err error
	if h.storeProxy, err = newProxy(tb.address(4, i, storePort), tb.address(0, 0, storePort)); err != nil {
		return err
	}
	h.settingsPath = filepath.Join(tb.dir, h.name+".conf")
	if err := h.writeSettings(); err != nil {
		return err
	}
	tb.hosts = append(tb.hosts, h)
	tb.cleanups = append(tb.cleanups, h.storeProxy.close)
	return h.start()
}

func (h *host) writeSettings() error {
	return os.WriteFile(h.settingsPath, []byte(standin.HostSettings(standin.HostOptions{
		Name: h.name, FailureDomain: hostDomain, IP: h.ip, Store: h.storeProxy.listener.Addr().String(), Grace: h.grace,
	})), 0o600)
}

// start starts the host's process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(h.binary, "platform")
	cmd.Env = append(os.Environ(), boot.EnvPath+"="+h.settingsPath)
	cmd.Stdout, cmd.Stderr = h.logs, h.logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", h.name, err)
	}
	done := make(chan struct{})
	h.cmd, h.done, h.stopRequested, h.restarting = cmd, done, false, false
	go func() {
		_ = cmd.Wait() // the logs show why it exited
		close(done)
	}()
	return nil
}

// signal sends a signal to the process if it is running.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.stopRequested = true
	}
	_ = h.cmd.Process.Signal(s) // it may have exited
}

// waitOrKill waits for the process to exit, and kills it after limit. It reports
// whether the process exited within limit.
func (h *host) waitOrKill(limit time.Duration) (exited bool) {
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

// exitedUnexpectedly reports whether the process has exited without a stop request.
func (h *host) exitedUnexpectedly() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.done:
		return !h.stopRequested
	default:
		return false
	}
}

// claimRestart reserves the process for a fault that restarts it. It returns false if
// another fault is restarting it.
func (h *host) claimRestart() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.restarting {
		return false
	}
	h.restarting = true
	return true
}

// goFault runs the end of a fault or the restart of a host in a goroutine.
// injectFaults waits for it.
func (tb *testbed) goFault(f func()) { tb.activeFaults.Go(f) }

// recordError records an error of the soak itself. The caller holds mu.
func (tb *testbed) recordError(err error) {
	if err != nil {
		tb.internalErrors = append(tb.internalErrors, err.Error())
	}
}

func (tb *testbed) errors() []string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.internalErrors
}

// proxies returns the proxies to the store and to the upstreams.
func (tb *testbed) proxies() []*proxy {
	var out []*proxy
	for _, h := range tb.hosts {
		out = append(out, h.storeProxy)
	}
	for _, upstream := range tb.upstreams {
		out = append(out, upstream.proxy)
	}
	return out
}

func (tb *testbed) close() {
	close(tb.stopped)
	for _, h := range tb.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.waitOrKill(time.Second)
	}
	for _, cleanup := range tb.cleanups {
		cleanup()
	}
}

// randomHost returns a random host, which may be down.
func (tb *testbed) randomHost(rng *rand.Rand) *host { return tb.hosts[rng.IntN(len(tb.hosts))] }

// logTail keeps the end of a process's output.
type logTail struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// maxLogBytes bounds the part of a log that is kept.
const maxLogBytes = 1 << 20

// Write implements io.Writer. It drops the older half of a full buffer.
func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.buf.Len()+len(p) > maxLogBytes {
		t.buf.Next(t.buf.Len() / 2)
	}
	return t.buf.Write(p)
}

func (t *logTail) text() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Clone(t.buf.Bytes())
}
