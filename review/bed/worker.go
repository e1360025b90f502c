package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/platform/standin"
)

// heartbeat is the time between two entries of a worker.
const heartbeat = 1200 * time.Millisecond

// Worker is a sound worker: a model engine if its service streams, otherwise a plain service.
type Worker struct {
	bed                     *Bed
	id, name, service, zone string
	slots                   int
	record                  *Record

	mu       sync.Mutex
	address  string
	listener net.Listener // nil while it is down
	conns    map[net.Conn]struct{}
	seq      int
	starts   int
}

// AddWorker starts a worker, which registers itself.
func (b *Bed) AddWorker(service, zone string, slots int, record *Record) (*Worker, error) {
	b.workers++
	w := &Worker{bed: b, name: fmt.Sprintf("%02x%02x", b.Octet, b.workers), service: service, zone: zone, slots: slots, record: record,
		address: b.Addr(2, b.workers, 8080)}
	if err := w.Start(); err != nil {
		return nil, err
	}
	b.closers = append(b.closers, w.Crash)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-b.closed:
				return
			case <-tick.C:
				w.beat()
			}
		}
	}()
	return w, nil
}

// Start starts a new incarnation of the worker at its address, with a new ID.
func (w *Worker) Start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.starts++
	w.seq = 0
	w.id = fmt.Sprintf("i-%s%04x", w.name, w.starts)
	w.listener, w.conns = l, make(map[net.Conn]struct{})
	id := w.id
	w.mu.Unlock()
	w.beat()
	go w.serve(l, id)
	return nil
}

// expiry is the silence after which the entry of a worker is removed.
const expiry = 3 * heartbeat

// Crash ends the worker: its connections are reset, its address refuses others, and its entry is removed
// three heartbeats later.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	_ = w.listener.Close()
	w.listener = nil
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	w.conns = nil
	id := w.id
	time.AfterFunc(expiry, func() {
		w.bed.Log.Append(standin.UpstreamStream, platform.KeyedRecord{Key: id})
	})
}

// beat writes the worker's entry to the store, unless it is down.
func (w *Worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	w.seq++
	value, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": "ready", "cold_left_ms": 0, "call_seq": w.seq,
	})
	if err != nil {
		panic(err) // only plain values, which always encode
	}
	w.bed.Log.Append(standin.UpstreamStream, platform.KeyedRecord{Key: w.id, Value: value})
}

func (w *Worker) serve(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		alive := w.listener == l
		if alive {
			w.conns[c] = struct{}{}
		}
		w.mu.Unlock()
		if !alive {
			_ = c.Close()
			continue
		}
		go w.serveConn(c, id)
	}
}

func (w *Worker) serveConn(c net.Conn, id string) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.answer(c, r, id) {
			return
		}
	}
}

// eventGap is the time between two events of a stream, firstEvent the time before the first one.
const (
	firstEvent = 60 * time.Millisecond
	eventGap   = 6 * time.Millisecond
)

// answer answers a request with a stream of as many events as the request's body says, and reports whether
// the connection is kept.
func (w *Worker) answer(c net.Conn, r *http.Request, instance string) bool {
	id := r.Header.Get("Request-Id")
	w.record.arrive(id, instance)
	if r.Header.Get("Expect-Instance") != instance {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, instance)
		return err == nil
	}
	w.record.Logf("%s runs at %s", id, instance)
	events, _ := strconv.Atoi(r.Header.Get("X-Events"))
	time.Sleep(firstEvent)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + seal(id) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := 1; n <= events; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 30))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventGap)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// seal is the signature of the answer to a request.
func seal(id string) string { return "seal-" + id }
