package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It speaks what the pages say and is sound, unless a test tells it
// to crash.
type worker struct {
	id, service, address string
	slots                int
	// eventTokens is the number of tokens in an event, memory the tokens that fit into its memory.
	eventTokens, memory int64
	// lineEnd ends the lines of its events.
	lineEnd string
	// burst is the number of events that it sends at once, gap the time between two bursts.
	burst int
	gap   time.Duration
	// work is how long a request that is no stream takes.
	work time.Duration
	// breakOff tells after how many events of a request the worker crashes; 0 is never.
	breakOff func(id string) int
	// fails tells whether the worker fails the n-th request that it runs, with a 503 of its own.
	fails  func(n int) bool
	record *recordFile

	mu       sync.Mutex
	state    string
	beats    int
	started  int
	runs     map[string]int
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
}

// addWorker starts a worker and writes its entry now and then.
func (b *bed) addWorker(w *worker) error {
	i := len(b.workers)
	w.id, w.state, w.record = fmt.Sprintf("i-%04x", 0x7f3a+i), "ready", b.record
	w.runs, w.conns = make(map[string]int), make(map[net.Conn]bool)
	l, err := net.Listen("tcp", b.ip(2, i)+":0")
	if err != nil {
		return err
	}
	w.listener, w.address = l, l.Addr().String()
	go w.serve(l)
	b.workers = append(b.workers, w)
	b.writeEntry(w)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-b.stop:
				return
			case <-tick.C:
				if !w.isDown() {
					b.writeEntry(w)
				}
			}
		}
	}()
	return nil
}

func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// crash closes the listener and resets all connections.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.down = true
	_ = w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (w *worker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go func() {
			w.serveConn(c)
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
			_ = c.Close()
		}()
	}
}

func (w *worker) serveConn(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !w.answer(c, r) {
			return
		}
	}
}

// tokenUsage returns the prompt tokens and the most output tokens of a request.
func tokenUsage(r *http.Request) (input, output int64) {
	in, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	input, _ = strconv.ParseInt(in, 10, 64)
	output, _ = strconv.ParseInt(out, 10, 64)
	return input, output
}

// answer answers a request. It returns false if the connection ends.
func (w *worker) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	head := func(status int, lines ...string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s\r\n\r\n", status, http.StatusText(status), id, strings.Join(lines, "\r\n"))
	}
	send := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if r.Header.Get("Expect-Instance") != w.id {
		return send(head(421, "Not-Executed: 1", "Content-Length: 0"))
	}
	input, output := tokenUsage(r)
	if w.eventTokens > 0 && (input > w.memory || output > w.memory || input+output > w.memory) {
		w.record.line("worker %s rejects request %s: larger than its memory", w.id, id)
		return send(head(503, "Not-Executed: 1", "Content-Length: 0"))
	}
	w.mu.Lock()
	w.runs[id]++
	w.started++
	started := w.started
	w.mu.Unlock()
	w.record.line("worker %s runs request %s of tenant %s, Token-Usage %s, Last-Event-Id %q", w.id, id, r.Header.Get("Tenant"), r.Header.Get("Token-Usage"), r.Header.Get("Last-Event-Id"))
	if w.eventTokens == 0 {
		time.Sleep(w.work)
		if w.fails != nil && w.fails(started) {
			body := "failed: " + id
			w.record.line("worker %s has run request %s and answers 503, without Not-Executed", w.id, id)
			return send(head(503, "Response-Seal: seal."+id, "Content-Length: "+strconv.Itoa(len(body))) + body)
		}
		body := "answer to " + id
		return send(head(200, "Response-Seal: seal."+id, "Content-Length: "+strconv.Itoa(len(body))) + body)
	}
	if !send(head(200, "Response-Seal: seal."+id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")) {
		return false
	}
	from, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	events := (output + w.eventTokens - 1) / w.eventTokens
	last := int64(0)
	if w.breakOff != nil {
		last = int64(w.breakOff(id))
	}
	for n := from + 1; n <= events; {
		text := ""
		for i := 0; i < max(1, w.burst) && n <= events; i++ {
			text += fmt.Sprintf("id: %d%sdata: piece %d of %s%s%s", n, w.lineEnd, n, id, w.lineEnd, w.lineEnd)
			n++
		}
		if !send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
			return false
		}
		time.Sleep(w.gap)
		if last > 0 && from == 0 && n > last {
			w.record.line("worker %s crashes in request %s after event %d", w.id, id, n-1)
			w.crash()
			return false
		}
	}
	return send("0\r\n\r\n")
}

// runsOf returns how often a worker has run a request.
func (w *worker) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
