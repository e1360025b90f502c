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
	bed               *Bed
	id, service, zone string
	slots             int
	record            *Record

	listener net.Listener
	mu       sync.Mutex
	seq      int
}

// AddWorker starts a worker, which registers itself.
func (b *Bed) AddWorker(service, zone string, slots int, record *Record) error {
	b.workers++
	w := &Worker{bed: b, id: fmt.Sprintf("i-%02x%04x", b.Octet, b.workers), service: service, zone: zone, slots: slots, record: record}
	var err error
	if w.listener, err = net.Listen("tcp", b.Addr(2, b.workers, 8080)); err != nil {
		return err
	}
	b.closers = append(b.closers, func() { _ = w.listener.Close() })
	go w.serve()
	w.beat()
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
	return nil
}

// beat writes the worker's entry to the store.
func (w *Worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	value, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": "ready", "cold_left_ms": 0, "call_seq": w.seq,
	})
	if err != nil {
		panic(err) // only plain values, which always encode
	}
	w.bed.Log.Append(standin.UpstreamStream, platform.KeyedRecord{Key: w.id, Value: value})
}

func (w *Worker) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serveConn(c)
	}
}

func (w *Worker) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.answer(c, r) {
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
func (w *Worker) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	if r.Header.Get("Expect-Instance") != w.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
		return err == nil
	}
	run := w.record.run(id, r.Header.Get("Tenant"), w.id)
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
		run.events.Add(1)
		time.Sleep(eventGap)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// seal is the signature of the answer to a request.
func seal(id string) string { return "seal-" + id }
