package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is a client's request.
type request struct {
	id, method, path, key string
	// usage is Token-Usage, or empty.
	usage    string
	prefix   string
	deadline time.Duration
	body     string
}

// answer is what the client got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole is true if the answer looks complete.
	whole bool
	// events are the ids of the events of a stream, in order.
	events []int
	took   time.Duration
}

// ask sends a request on a new connection and reads the answer.
func (b *bed) ask(address string, q request) answer {
	began := time.Now()
	b.record.line("client sends %s %s %s to %s, Token-Usage %s", q.id, q.method, q.path, address, q.usage)
	a := exchange(address, q)
	a.took = time.Since(began)
	b.record.line("client gets for %s: status %d, %d bytes, events %v, whole %v", q.id, a.status, len(a.body), a.events, a.whole)
	return a
}

func exchange(address string, q request) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	lines := []string{q.method + " " + q.path + " HTTP/1.1", "Host: " + domain, "Request-Id: " + q.id, "Api-Key: " + q.key,
		"Deadline-Ms: " + strconv.FormatInt(q.deadline.Milliseconds(), 10)}
	if q.usage != "" {
		lines = append(lines, "Model: m", "Token-Usage: "+q.usage, "Prompt-Prefix: "+q.prefix)
	}
	if q.method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	if _, err := io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n"+q.body); err != nil {
		return answer{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{}
	}
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(data), whole: err == nil}
	for line := range strings.SplitSeq(a.body, "\n") {
		if text, ok := strings.CutPrefix(strings.TrimRight(line, "\r"), "id: "); ok {
			n, _ := strconv.Atoi(text)
			a.events = append(a.events, n)
		}
	}
	return a
}
