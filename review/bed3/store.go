package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keyedRecord is one record of a keyed topic. Its value is nil if the key was dropped.
type keyedRecord struct {
	key   string
	value []byte
}

// producer is what a topic knows of a named producer.
type producer struct {
	epoch, seq uint64
	// last holds the answers to its last appends, by sequence number.
	last map[uint64][2]int
}

type topic struct {
	records   []keyedRecord
	producers map[string]*producer
}

// store is a stand-in of the platform's metadata store, for keyed topics, as the page PROTOCOL describes it.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	changed  chan struct{}
	listener net.Listener
}

func newStore() *store {
	s := &store{topics: make(map[string]*topic), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.listener = l
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s
}

func (s *store) addr() string { return s.listener.Addr().String() }

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator or a worker does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, []keyedRecord{{key, value}})
}

func (s *store) append(name string, records []keyedRecord) (offset, end int) {
	t := s.topic(name)
	offset = len(t.records)
	t.records = append(t.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(t.records)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/-/log-append":
		s.serveAppend(w, r)
	case "/-/log-read":
		s.serveRead(w, r)
	case "/-/log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []keyedRecord
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+size]
		body = body[4+size:]
		rec := keyedRecord{key: string(data[1 : 1+data[0]])}
		if rest := data[1+data[0]:]; len(rest) > 0 {
			rec.value = rest
		}
		records = append(records, rec)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var p *producer
	epoch, seq := number(q.Get("epoch")), number(q.Get("call_seq"))
	if id := q.Get("producer"); id != "" {
		t := s.topic(name)
		p = t.producers[id]
		if p == nil {
			p = &producer{}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > p.epoch || p.last == nil:
			*p = producer{epoch: epoch, seq: seq - 1, last: make(map[uint64][2]int)}
		}
		if first, ok := p.last[seq]; ok && seq+5 > p.seq {
			reply(w, http.StatusOK, map[string]any{"offset": first[0], "end": first[1]})
			return
		}
		if seq != p.seq+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "call_seq": p.seq + 1})
			return
		}
	}
	offset, end := s.append(name, records)
	if p != nil {
		p.seq = seq
		p.last[seq] = [2]int{offset, end}
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := int(number(q.Get("from")))
	end := time.Now().Add(time.Duration(min(number(q.Get("wait_ms")), 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		records, changed := t.records[min(from, len(t.records)):], s.changed
		s.mu.Unlock()
		if len(records) > 0 || !time.Now().Before(end) {
			out := binary.BigEndian.AppendUint64(nil, uint64(from+len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(append(out, rec.key...), rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name, after := q.Get("topic"), q.Get("start_after")
	s.mu.Lock()
	t := s.topic(name)
	newest := make(map[string]int)
	for i, rec := range t.records {
		newest[rec.key] = i
		if rec.value == nil {
			delete(newest, rec.key)
		}
	}
	var keys []string
	for key := range newest {
		if after == "" || strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	items := []map[string]any{}
	for _, key := range keys[:min(500, len(keys))] {
		i := newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[i].value), "offset": i})
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}
