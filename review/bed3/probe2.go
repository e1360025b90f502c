package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	// Memory: many large uploads to a slow worker, and many callers that read large answers slowly.
	cases["probe2"] = func(bool) bool {
		s := newSystem()
		s.configure(baseConfig(1))
		n := int(number(os.Getenv("N")))
		mode := os.Getenv("MODE")
		s.addWorker("i-desk1", "desk", func(w *worker, c net.Conn, br *bufio.Reader, r *http.Request) bool {
			if mode == "slowworker" {
				time.Sleep(3 * time.Second)
			}
			id := r.Header.Get("Request-Id")
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(time.Second)
			if mode == "slowreader" {
				_, _ = io.WriteString(c, head(id, 200, fmt.Sprintf("Content-Length: %d\r\n", 8<<20))+strings.Repeat("b", 8<<20))
				return true
			}
			_, _ = io.WriteString(c, head(id, 200, "Content-Length: 2\r\n")+"ok")
			return true
		})
		h := s.addHost(s.store.addr())
		h.awaitReady()
		time.Sleep(300 * time.Millisecond)
		var most atomic.Int64
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					most.Store(max(most.Load(), int64(h.rss())))
				}
			}
		}()
		var wg sync.WaitGroup
		var counts sync.Map
		body := strings.Repeat("x", 4<<20)
		if mode == "slowreader" {
			body = "x"
		}
		for i := range n {
			wg.Go(func() {
				c, err := net.DialTimeout("tcp", h.ip+":8227", 2*time.Second)
				if err != nil {
					counts.Store(i, err.Error())
					return
				}
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				_, err = io.WriteString(c, request("POST", "/book/x", fmt.Sprint("m", i), "key-a", "Deadline-Ms: 6000\r\n", body))
				if mode == "slowreader" {
					time.Sleep(5 * time.Second)
				}
				a := readAnswer(bufio.NewReader(c), "POST")
				counts.Store(i, fmt.Sprint(a.status, a.err != nil, err != nil))
			})
		}
		wg.Wait()
		close(stop)
		sum := map[string]int{}
		counts.Range(func(_, v any) bool { sum[v.(string)]++; return true })
		note("RSS at most %d MB; answers %v", most.Load(), sum)
		select {
		case <-h.done:
			note("%s", h.log())
		default:
		}
		return false
	}
}
