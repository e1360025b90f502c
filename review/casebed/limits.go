package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// oldLimits raises the limit on the size of a request's header while clients keep their connections open.
// They send requests within the new limit later than config_apply_ms after the store has accepted it.
func oldLimits(record *recordFile, trouble bool) (bool, error) {
	const clients, before, after, header = 12, 8192, 65536, 24000
	config := func(version, bytes int) standin.Config {
		c := standin.BaseConfig(version)
		limits := c["limits"].(standin.Config)
		limits["max_header_bytes"] = bytes
		return c
	}
	first := before
	if !trouble {
		first = after
	}
	b, err := newBed(config(1, first), record)
	if err != nil {
		return false, err
	}
	defer b.close()
	for range 4 {
		if err := b.addWorker(&worker{service: "desk", slots: 6, work: 15 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for range 2 {
		if err := b.addHost(); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(readyLimit); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var kept []*keptConn
	for i := range clients {
		k, err := b.keep(b.hosts[i%len(b.hosts)].caller())
		if err != nil {
			return false, err
		}
		defer k.Close()
		kept = append(kept, k)
		if status := k.book(b, fmt.Sprintf("small-%d", i), 100); status != http.StatusOK {
			return false, fmt.Errorf("a small request got %d", status)
		}
	}
	if err := standin.Configure(b.log, config(2, after)); err != nil {
		return false, err
	}
	record.line("the store has accepted version 2: max_header_bytes %d, before %d", after, first)
	time.Sleep(4 * time.Second) // config_apply_ms is 2,000
	denied := 0
	for i, k := range kept {
		status := k.book(b, fmt.Sprintf("large-%d", i), header)
		if status >= 300 && status < 500 {
			denied++
		}
	}
	status := 0
	if k, err := b.keep(b.hosts[0].caller()); err == nil {
		status = k.book(b, "new-connection", header)
		k.Close()
	}
	record.line("%d of %d proper requests on kept connections were denied; on a new connection: %d", denied, clients, status)
	if status != http.StatusOK {
		return false, errors.New("version 2 is not in force")
	}
	return denied <= 5, nil // more than 5 + one in 500
}

// keptConn is a connection that a client keeps open.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (b *bed) keep(address string) (*keptConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// book sends a request whose header has about so many bytes, and returns the status of the answer.
func (k *keptConn) book(b *bed, id string, bytes int) int {
	_ = k.SetDeadline(time.Now().Add(2 * time.Second))
	b.record.line("client sends %s, a header of %d bytes", id, bytes)
	_, err := io.WriteString(k, "POST /book/1 HTTP/1.1\r\nHost: "+domain+"\r\nRequest-Id: "+id+"\r\nApi-Key: key-a\r\nDeadline-Ms: 600\r\nNote: "+
		strings.Repeat("n", bytes)+"\r\nContent-Length: 4\r\n\r\nslab")
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		b.record.line("client gets for %s: no answer (%v)", id, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	b.record.line("client gets for %s: status %d", id, resp.StatusCode)
	return resp.StatusCode
}
