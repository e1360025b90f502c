package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func rst(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

func init() {
	cases["probe"] = func(bool) bool {
		s := newSystem()
		s.configure(baseConfig(1))
		var mode string
		desk := s.addWorker("i-desk1", "desk", func(w *worker, c net.Conn, br *bufio.Reader, r *http.Request) bool {
			x := w.begin(r)
			id := x.id
			body := "answer to " + id
			cl := fmt.Sprintf("Content-Length: %d\r\n", len(body))
			wr := func(t string) { _, _ = io.WriteString(c, t) }
			switch mode {
			case "noreason":
				wr("HTTP/1.1 200\r\nrequest-id: " + id + "\r\nresponse-seal: s\r\ncontent-length: 2\r\n\r\nok")
			case "chunkext":
				wr(head(id, 200, "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n") + "A;x=y\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n")
			case "close":
				wr(head(id, 200, "Connection: close\r\n"+cl) + body)
				return false
			case "unframed":
				wr(head(id, 200, "") + body)
				return false
			case "unframed-rst":
				wr(head(id, 200, "") + body)
				time.Sleep(20 * time.Millisecond)
				rst(c)
				return false
			case "short":
				wr(head(id, 200, "Content-Length: 100\r\n") + body)
				return false
			case "chunk-nolast":
				wr(head(id, 200, "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n")
				return false
			case "chunk-halflast":
				wr(head(id, 200, "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n")
				return false
			case "100":
				wr("HTTP/1.1 100 Continue\r\n\r\n" + head(id, 200, cl) + body)
			case "103x5":
				wr(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 5) + head(id, 200, cl) + body)
			case "big":
				n := 6 << 20
				wr(head(id, 200, fmt.Sprintf("Content-Length: %d\r\n", n)) + strings.Repeat("b", n))
			case "bigshort":
				n := 6 << 20
				wr(head(id, 200, fmt.Sprintf("Content-Length: %d\r\n", n)) + strings.Repeat("b", n-5))
				return false
			case "bigchunkcut":
				n := 6 << 20
				wr(head(id, 200, "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n", n) + strings.Repeat("b", n) + "\r\n")
				return false
			case "204":
				wr(head(id, 204, ""))
			case "304":
				wr(head(id, 304, ""))
			case "empty":
				wr(head(id, 200, "Content-Length: 0\r\n"))
			case "twice":
				wr(head(id, 200, cl) + body + head(id, 200, cl) + body)
			case "late-extra":
				wr(head(id, 200, cl) + body)
				time.Sleep(30 * time.Millisecond)
				wr(head(id, 200, "Content-Length: 5\r\n") + "other")
			case "late-junk":
				wr(head(id, 200, cl) + body)
				time.Sleep(30 * time.Millisecond)
				wr("xx")
			case "429":
				wr(head(id, 429, "Content-Length: 0\r\n"))
			case "ne429":
				wr("HTTP/1.1 429 Too Many\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			case "head-slow":
				t := head(id, 200, cl) + body
				for i := range len(t) {
					wr(t[i : i+1])
					if i%10 == 0 {
						time.Sleep(time.Millisecond)
					}
				}
			case "dupcl":
				wr(head(id, 200, cl+cl) + body)
			case "clte":
				wr(head(id, 200, cl+"Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n")
			default:
				wr(head(id, 200, cl) + body)
			}
			return true
		})
		_ = desk
		s.addWorker("i-llm1", "llm", events(8, 20*time.Millisecond))
		s.addWorker("i-llm2", "llm", events(8, 20*time.Millisecond))
		h := s.addHost(s.store.addr())
		h.awaitReady()
		time.Sleep(500 * time.Millisecond)
		n := 0
		for _, m := range []string{"", "noreason", "chunkext", "close", "unframed", "unframed-rst", "short", "chunk-nolast", "chunk-halflast", "100", "103x5", "big", "bigshort", "bigchunkcut",
			"204", "304", "empty", "twice", "", "late-extra", "", "late-junk", "", "429", "ne429", "head-slow", "dupcl", "clte"} {
			mode = m
			n++
			id := fmt.Sprintf("p%d", n)
			a := h.send(request("POST", "/book/x", id, "key-a", "Deadline-Ms: 2000\r\n", "hello"), 4*time.Second)
			note("probe %-14s %s: %v runs %d", m, id, a, desk.ran(id))
			time.Sleep(60 * time.Millisecond)
		}
		mode = ""
		for _, t := range []string{
			"GET /look/a?b=c;d=%zz&&e HTTP/1.1", "GET /look//x/../y HTTP/1.1", "GET /look/%2e%2e/%00? HTTP/1.1", "GET /look/\xff\xfe HTTP/1.1", "HEAD /look/h HTTP/1.1",
			"PUT /look/p HTTP/1.1", "OPTIONS /look/o HTTP/1.1", "get /look/p HTTP/1.1", "GET http://h.example/look/abs HTTP/1.1", "GET /look/f#frag HTTP/1.1", "GET /look HTTP/1.1", "GET /look/a HTTP/1.0",
		} {
			n++
			id := fmt.Sprintf("p%d", n)
			a := h.send(t+"\r\nHost: h.example\r\nRequest-Id: "+id+"\r\nApi-Key: key-a\r\nDeadline-Ms: 2000\r\nX-Multi: 1\r\nX-Multi: 2\r\nCookie: a\r\nCookie: b\r\nX-Empty:\r\nTenant: evil\r\ntenant: evil\r\n\r\n", 4*time.Second)
			note("request %q: %v", t, a)
			desk.mu.Lock()
			for _, x := range desk.runs {
				if x.id == id {
					note("   target %q header %v", x.target, x.header)
				}
			}
			desk.mu.Unlock()
		}
		for _, t := range []string{
			"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello", "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
		} {
			n++
			id := fmt.Sprintf("p%d", n)
			a := h.send("POST /book/b HTTP/1.1\r\nHost: h.example:8227\r\nRequest-Id: "+id+"\r\nApi-Key: key-a\r\nDeadline-Ms: 2000\r\n"+t, 4*time.Second)
			note("body %q: %v", t, a)
			desk.mu.Lock()
			for _, x := range desk.runs {
				if x.id == id {
					note("   body %q header %v", x.body, x.header)
				}
			}
			desk.mu.Unlock()
		}
		a := h.send(request("POST", "/chat/x", "c1", "key-a", "Deadline-Ms: 6000\r\nModel: m\r\nToken-Usage: 100,24\r\nPrompt-Prefix: a:50,b:50\r\n", "hello"), 4*time.Second)
		note("chat: %v %q", a, a.body)
		if m := h.log(); strings.Contains(m, "panic") {
			note("PANIC %s", m)
		}
		return false
	}
}
