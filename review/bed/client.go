package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Directory is what a client knows of the hosts: it asks one for the addresses and keeps the answer.
type Directory struct {
	bed  *Bed
	zone string

	mu    sync.Mutex
	addrs []string
	until time.Time
}

// Addresses returns the addresses of the hosts.
func (d *Directory) Addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.until) {
		return d.addrs
	}
	for _, i := range rand.Perm(len(d.bed.Hosts))[:min(3, len(d.bed.Hosts))] {
		addrs, ttl, err := d.ask(d.bed.Hosts[i])
		if err != nil || len(addrs) == 0 {
			continue
		}
		d.addrs, d.until = addrs, time.Now().Add(ttl)
		break
	}
	return d.addrs
}

func (d *Directory) ask(h *Host) ([]string, time.Duration, error) {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/-/resolve?name=h.example&region=r1&zone=%s", h.IP, standin.DirectoryPort, d.zone))
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = r.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(r.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	return out.Addresses, time.Duration(out.TTL * float64(time.Second)), nil
}

// Answer is what a client got for one attempt. Status is zero if there was no complete answer.
type Answer struct {
	Status     int
	RetryAfter time.Duration
	Events     int
	Err        error
}

// Generation is a request to a model.
type Generation struct {
	ID, Key, Path        string
	Input, MaxOut, Event int
	Deadline             time.Duration
}

// Send sends a request over a new connection and reads its answer.
func (g Generation) Send(addr string) Answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(g.Deadline))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nApi-Key: %s\r\nModel: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: %s:%d\r\n"+
		"Deadline-Ms: %d\r\nX-Events: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", g.Path, g.ID, g.Key, g.Input, g.MaxOut, g.ID, g.Input, g.Deadline.Milliseconds(), g.Event)
	if err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	a := Answer{Events: strings.Count(string(body), "\n\n"), Err: err}
	if err != nil {
		return a
	}
	a.Status = resp.StatusCode
	if a.Status == http.StatusOK && (resp.Header.Get("Response-Seal") != seal(g.ID) || a.Events != g.Event) {
		a.Status, a.Err = 0, fmt.Errorf("%d events of %d", a.Events, g.Event)
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}
